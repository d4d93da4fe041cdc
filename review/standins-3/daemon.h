#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <fstream>
#include <optional>
#include <string>
#include <sys/types.h>

namespace gooseberrywall::review {

/// @returns a loopback address whose port is free for TCP and UDP
[[nodiscard]] auto freeAddress() -> Address;

/// The lines of record.txt, each with the time since the start.
class Record
{
public:
    explicit Record(const std::string &file);

    auto write(const std::string &line) -> void;
    [[nodiscard]] auto seconds(Instant moment) const -> double;

private:
    std::ofstream out;
    Instant start;
};

/// A gooseberrywall-edge process, started with the command of the deploy file.
class Daemon
{
public:
    /// @param store address of the store, or of a proxy in front of it
    Daemon(std::string name, std::string program, const std::string &folder, const Address &store,
           Record &record);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /// @param isFirstStart the whole system starts for the first time
    auto start(bool isFirstStart) -> void;
    auto signal(int number) -> void;
    /// @returns whether the process runs; reaps it if not
    [[nodiscard]] auto isRunning() -> bool;
    /// @returns whether the process has run for `contact` before `moment`, without a signal or
    /// start
    [[nodiscard]] auto isInTouch(Instant moment, Duration contact) const -> bool
    {
        return this->processId != 0 && moment - this->disturbedAt >= contact;
    }
    [[nodiscard]] auto name() const -> const std::string & { return this->daemonName; }
    [[nodiscard]] auto callerAddress() const -> const Address & { return this->callerListen; }
    [[nodiscard]] auto readyAddress() const -> const Address & { return this->readyListen; }

private:
    auto writeSettings(bool isFirstStart) const -> void;

    std::string daemonName;
    std::string program;
    std::string settingsFile;
    Address store;
    Record &record;
    Address callerListen = freeAddress();
    Address readyListen = freeAddress();
    Address peerListen = freeAddress();
    Address metricsListen = freeAddress();
    pid_t processId = 0;
    Instant disturbedAt{};
};

} // namespace gooseberrywall::review
