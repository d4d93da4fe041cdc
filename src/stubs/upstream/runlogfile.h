#pragma once

#include "stubs/upstream/runlog.h"

#include <string>

namespace gooseberrywall {

/// Writes runs to a file, a line of JSON when a run starts and another when it ends. Each line is
/// handed to the operating system at once, so that it outlives a killed process.
class RunLogFile
{
public:
    /// @param path appended to
    /// @param upstream the address under which the upstream listens, for the lines
    RunLogFile(const std::string &path, Address upstream);
    ~RunLogFile();
    RunLogFile(const RunLogFile &) = delete;
    RunLogFile(RunLogFile &&) = delete;
    auto operator=(const RunLogFile &) -> RunLogFile & = delete;
    auto operator=(RunLogFile &&) -> RunLogFile & = delete;

    /// @returns whether all lines could be written so far
    [[nodiscard]] auto hasWrittenAll() const -> bool { return this->allWritten; }

    auto write(RunNumber number, const RunRecord &record) -> void;

private:
    int descriptor;
    Address upstream;
    bool allWritten;
};

} // namespace gooseberrywall
