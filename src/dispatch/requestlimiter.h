#pragma once

#include "dispatch/statedrequestlimit.h"
#include "dispatch/warmuplimit.h"

#include <algorithm>

namespace gooseberrywall {

/// Keeps the requests to one upstream within the limit that its answers state, by a token bucket
/// that fills at the limit's rate and holds a fraction of a second's requests, and within the bound
/// for cold upstreams.
class RequestLimiter
{
public:
    /// Takes in what an answer states, as StatedRequestLimit does.
    auto onStated(RequestLimit limit, Instant sentAt, Instant now) -> void;
    /// Sets the bound for a cold upstream, as WarmUpLimit does.
    auto setWarmUp(double perSecond, Instant end, Instant now) -> void
    {
        this->warmUp.set(perSecond, end, now);
    }
    /// Counts a request that is sent to the upstream.
    auto onSent(Instant now) -> void;
    /// Takes back a request that has certainly not reached the upstream.
    auto onNotSent(Instant now) -> void;

    /// @returns the lower one of the stated limit and the bound for cold upstreams
    [[nodiscard]] auto limit(Instant now) const -> RequestLimit
    {
        return RequestLimit{
            std::min(this->stated.value().perSecond, this->warmUp.ratePerSecond(now))};
    }
    [[nodiscard]] auto isCold(Instant now) const -> bool { return this->warmUp.isCold(now); }
    /// @returns whether both limits allow another request now
    [[nodiscard]] auto allows(Instant now) const -> bool;
    /// @returns the requests per second that the upstream gets at most; infinity without a limit
    [[nodiscard]] auto ratePerSecond(Instant now) const -> double
    {
        return std::min(this->stated.value().sendingRate(), this->warmUp.ratePerSecond(now));
    }
    /// @returns the time until both limits allow the next request
    [[nodiscard]] auto timeToNext(Instant now) const -> Duration;

private:
    [[nodiscard]] auto tokensAt(Instant now) const -> double;

    StatedRequestLimit stated;
    WarmUpLimit warmUp;
    double tokens = 0;
    Instant tokensUpdatedAt{};
};

} // namespace gooseberrywall
