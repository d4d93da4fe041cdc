#pragma once

#include "common/types/ids.h"

#include <map>
#include <string>
#include <sys/types.h>

namespace gooseberrywall::review {

/// A daemon in a child process, started with the command and the settings template of the deploy
/// file. The destructor kills the process.
class EdgeProcess
{
public:
    /// @param program path of the daemon's binary
    /// @param settingsFile where its settings are written; its output goes to the same path with
    ///                     ".log"
    EdgeProcess(std::string program, std::string settingsFile);
    ~EdgeProcess();
    EdgeProcess(const EdgeProcess &) = delete;
    auto operator=(const EdgeProcess &) -> EdgeProcess & = delete;

    /// Fills in the template and writes the settings file.
    /// @param fields the platform's fields by name
    auto writeSettings(const std::string &templateText,
                       const std::map<std::string, std::string> &fields) const -> void;
    /// @throws std::runtime_error if the process can't be started
    auto start() -> void;
    auto signal(int number) -> void;
    /// @returns whether the process runs; reaps it if it has ended
    [[nodiscard]] auto isRunning() -> bool;
    /// @returns the signal that ended the process last; zero where it exited, or none has ended
    [[nodiscard]] auto endSignal() const -> int { return this->lastEndSignal; }
    [[nodiscard]] auto processId() const -> pid_t { return this->id; }

private:
    std::string program;
    std::string settingsFile;
    pid_t id = 0;
    int lastEndSignal = 0;
};

} // namespace gooseberrywall::review
