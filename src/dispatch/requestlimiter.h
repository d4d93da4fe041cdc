#pragma once

#include "dispatch/statedrequestlimit.h"

namespace gooseberrywall {

/// Keeps the requests to one upstream within the limit that its answers state: a token bucket that
/// fills at the limit's rate and holds a fraction of a second's requests.
class RequestLimiter
{
public:
    /// Takes in what an answer states, as StatedRequestLimit does.
    auto onStated(RequestLimit limit, Instant sentAt, Instant now) -> void;
    /// Counts a request that is sent to the upstream.
    auto onSent(Instant now) -> void;
    /// Takes back a request that has certainly not reached the upstream.
    auto onNotSent(Instant now) -> void;

    [[nodiscard]] auto limit() const -> RequestLimit { return this->stated.value(); }
    /// @returns whether the limit allows another request now
    [[nodiscard]] auto allows(Instant now) const -> bool;
    /// @returns the requests per second that the upstream gets at most; infinity without a limit
    [[nodiscard]] auto ratePerSecond() const -> double { return this->limit().sendingRate(); }
    /// @returns the time until the limit allows the next request
    [[nodiscard]] auto timeToNext(Instant now) const -> Duration;

private:
    [[nodiscard]] auto tokensAt(Instant now) const -> double;

    StatedRequestLimit stated;
    double tokens = 0;
    Instant tokensUpdatedAt{};
};

} // namespace gooseberrywall
