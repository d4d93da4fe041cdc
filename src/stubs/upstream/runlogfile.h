#pragma once

#include "stubs/upstream/runlog.h"

#include <string>

namespace gooseberrywall {

/// Writes a line of JSON to a file whenever a run starts or ends. Lines aren't buffered in the
/// process, so that they survive if it is killed.
class RunLogFile
{
public:
    /// @param path the file to append to; created if missing
    /// @param upstream the address under which the upstream listens, written on each line
    RunLogFile(const std::string &path, Address upstream);
    ~RunLogFile();
    RunLogFile(const RunLogFile &) = delete;
    RunLogFile(RunLogFile &&) = delete;
    auto operator=(const RunLogFile &) -> RunLogFile & = delete;
    auto operator=(RunLogFile &&) -> RunLogFile & = delete;

    /// @returns whether the file could be opened and all lines so far were written completely
    [[nodiscard]] auto hasWrittenAll() const -> bool { return this->allWritten; }

    auto write(RunNumber number, const RunRecord &record) -> void;

private:
    int descriptor;
    Address upstream;
    bool allWritten;
};

} // namespace gooseberrywall
