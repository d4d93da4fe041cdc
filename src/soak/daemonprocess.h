#pragma once

#include "common/types/ids.h"

#include <string>
#include <sys/types.h>

namespace gooseberrywall {

/// An edge daemon as a process of its own; ended by its id, also where the soak fails.
class DaemonProcess
{
public:
    /// @param program the daemon's binary
    /// @param settingsFile its settings
    DaemonProcess(std::string program, std::string settingsFile);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    auto operator=(const DaemonProcess &) -> DaemonProcess & = delete;

    /// @throws std::runtime_error where the process can't be started
    auto start() -> void;
    auto signal(int number) -> void;
    /// @returns whether it runs; takes note of its end
    [[nodiscard]] auto isRunning() -> bool;
    /// @returns ends that no signal of the soak explains
    [[nodiscard]] auto unexpectedEnds() const -> int { return this->unexpected; }

private:
    std::string program;
    std::string settingsFile;
    pid_t id = 0;
    bool isEndExpected = false;
    int unexpected = 0;
};

} // namespace gooseberrywall
