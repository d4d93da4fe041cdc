#pragma once

#include "settings/types/daemonsettings.h"

#include <memory>

namespace gooseberrywall {

/// The daemon: creates its tasks, connects their mailboxes, and stops them in order.
class Daemon
{
public:
    explicit Daemon(const DaemonSettings &settings);
    ~Daemon();
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /// Starts all tasks except the core.
    /// @throws std::runtime_error if an address can't be bound; the message names the remedy
    auto start() -> void;

    /// Runs the core on the calling thread, until the graceful shutdown has ended.
    auto run() -> void;

    /// Asks for a graceful shutdown; callable from any thread.
    auto requestShutdown() -> void;

private:
    struct Tasks;
    std::unique_ptr<Tasks> tasks;
};

} // namespace gooseberrywall
