#pragma once

#include "common/types/instant.h"

namespace gooseberrywall {

/// Bounds the requests to one upstream while it is cold: a token bucket that holds about one
/// request and is empty when the upstream begins to count as cold.
class WarmUpLimit
{
public:
    /// @param perSecond requests that the upstream takes while it is cold; 0: no bound
    /// @param end until when the upstream counts as cold
    auto set(double perSecond, Instant end, Instant now) -> void;
    /// Counts a request that is sent to the upstream.
    auto onSent(Instant now) -> void;
    /// Takes back a request that has certainly not reached the upstream.
    auto onNotSent(Instant now) -> void;

    /// @returns whether the upstream counts as cold and there is a bound
    [[nodiscard]] auto isCold(Instant now) const -> bool
    {
        return this->rate > 0 && now < this->end;
    }
    /// @returns the requests per second that the upstream gets at most; infinity unless it is cold
    [[nodiscard]] auto ratePerSecond(Instant now) const -> double;
    /// @returns whether the bound allows another request now
    [[nodiscard]] auto allows(Instant now) const -> bool;
    /// @returns the time until the bound allows the next request
    [[nodiscard]] auto timeToNext(Instant now) const -> Duration;

private:
    [[nodiscard]] auto tokensAt(Instant now) const -> double;

    double rate = 0;
    Instant end{};
    double tokens = 0;
    Instant tokensUpdatedAt{};
};

} // namespace gooseberrywall
