#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "http/clocktimer.h"
#include "streams/socketstream.h"

#include <functional>
#include <list>
#include <memory>

namespace gooseberrywall {

/// Connects to upstreams to find out whether this VM reaches them; sends nothing.
class UpstreamProbes
{
public:
    /// Called once for each probe, never from within start().
    using OnEnd = std::function<void(bool isOpen)>;

    /// @param now reads the clock
    UpstreamProbes(event_base *base, std::function<Instant()> now, OnEnd onEnd);

    auto start(const Address &upstream) -> void;

private:
    /// Far above the round trip within a region, and short enough that a VM finds out before its
    /// callers' deadlines.
    static constexpr Duration timeout = std::chrono::milliseconds{150};

    struct Probe
    {
        Instant dueAt{};
        std::unique_ptr<SocketStream> stream;
        bool isEnded = false;
    };

    auto end(Probe &probe, bool isOpen) -> void;
    auto onTimer() -> void;

    event_base *base;
    std::function<Instant()> now;
    OnEnd onEnd;
    std::list<Probe> probes;
    ClockTimer timer;
};

} // namespace gooseberrywall
