#pragma once

#include "common/types/ids.h"

#include <string>
#include <sys/types.h>

namespace gooseberrywall {

/// An edge daemon in a child process. The destructor kills the process, also if the soak fails.
class DaemonProcess
{
public:
    /// @param program path of the daemon's binary
    /// @param settingsFile path of its settings; standard output is appended to the same path with
    ///                     ".log"
    DaemonProcess(std::string program, std::string settingsFile);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    auto operator=(const DaemonProcess &) -> DaemonProcess & = delete;

    /// @throws std::runtime_error if the process can't be started
    auto start() -> void;
    auto signal(int number) -> void;
    /// @returns whether the process runs; reaps it and counts an unexpected exit if not
    [[nodiscard]] auto isRunning() -> bool;
    /// @returns the id of the process; zero where none was started or it was reaped
    [[nodiscard]] auto processId() const -> pid_t { return this->id; }
    /// @returns whether the process runs, and got no signal that ends or freezes it since it was
    ///          started
    [[nodiscard]] auto isUndisturbed() const -> bool { return this->id != 0 && !this->isDisturbed; }
    /// @returns the number of exits without a SIGTERM or SIGKILL from the soak
    [[nodiscard]] auto unexpectedExits() const -> int { return this->unexpectedExitCount; }

private:
    std::string program;
    std::string settingsFile;
    pid_t id = 0;
    bool isExitExpected = false;
    bool isDisturbed = false;
    int unexpectedExitCount = 0;
};

} // namespace gooseberrywall
