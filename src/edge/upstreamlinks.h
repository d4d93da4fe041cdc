#pragma once

#include "edge/grantorrole.h"
#include "edge/upstreamprobes.h"
#include "entry/upstreamreach.h"
#include "logging/logger.h"

#include <functional>
#include <optional>

struct event_base;

namespace gooseberrywall {

/// Finds out whether this VM reaches the upstreams, from requests, orders about keys, and probes.
class UpstreamLinks
{
public:
    /// @param now reads the clock
    /// @param onProbed called after each probe: advance() is due
    UpstreamLinks(event_base *base, const std::function<Instant()> &now, Logger &logger,
                  std::function<void()> onProbed);

    /// @returns a sender that also takes in how its orders end
    [[nodiscard]] auto observed(SendRangeOrder orders) -> SendRangeOrder;
    /// Starts probes that are due, and logs where links are lost or back.
    auto advance() -> void;

    [[nodiscard]] auto reach() -> UpstreamReach & { return this->upstreamReach; }
    [[nodiscard]] auto isIsolated() const -> bool { return this->upstreamReach.isIsolated(); }
    /// @returns when to call advance() next
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>
    {
        return this->upstreamReach.nextDue();
    }

private:
    std::function<Instant()> now;
    Logger &logger;
    UpstreamReach upstreamReach{UpstreamReachSettings{}};
    UpstreamProbes probes;
    std::optional<Instant> lostSince;
};

} // namespace gooseberrywall
