#pragma once

#include "daemon.h"
#include "http/clocktimer.h"
#include "streams/outboundpool.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrywall::review {

using Daemons = std::vector<std::unique_ptr<Daemon>>;

/// Stand-in for clients and for the platform's balancer: asks daemons whether they are ready, and
/// sends each request on a connection of its own.
class Callers
{
public:
    /// @param status zero where no answer came
    using Done = std::function<void(int status)>;

    Callers(event_base *base, Daemons &daemons);

    /// Asks the daemons once per second whether they are ready.
    auto tick() -> void;
    /// @returns whether the daemon is in rotation: it has answered one of its last two checks
    [[nodiscard]] auto isInRotation(std::size_t daemon) const -> bool
    {
        return this->misses.at(daemon) < missLimit;
    }
    [[nodiscard]] auto areAllInRotation() const -> bool;
    /// @returns the id of the request
    auto send(std::size_t daemon, const std::string &method, const std::string &target,
              const std::string &body, Done done) -> std::string;

private:
    static constexpr int missLimit = 2;

    Daemons &daemons;
    std::vector<int> misses;
    Instant nextCheckAt{};
    std::uint64_t nextRequest = 1;
    OutboundPool pool;
};

} // namespace gooseberrywall::review
