#pragma once

#include "dispatch/statedrequestlimit.h"

#include <cstddef>
#include <cstdint>

namespace gooseberrywall {

/// One daemon's share of a rate that all daemons keep together: one request in each period of the
/// number of daemons over the rate. The periods of different daemons begin at different times. A
/// request may only be sent within a short time from the start of a period, so that daemons can't
/// save up their shares and use them at once.
class PeriodShare
{
public:
    /// @param seed spreads the starts of the periods; differs between daemons and upstreams
    explicit PeriodShare(std::uint64_t seed);

    auto onSent(Instant now) -> void { this->sentAt = now; }
    /// @param perSecond the rate of all daemons together
    /// @param usableSeconds time from the start of a period in which a request may be sent
    /// @returns whether a request may be sent now
    [[nodiscard]] auto allows(double perSecond, double usableSeconds, std::size_t daemonCount,
                              Instant now) const -> bool;

private:
    double phase;
    Instant sentAt{};
};

/// One daemon's share of the requests that a limited upstream takes, while no grantor divides them
/// between the daemons.
class RequestLimitShare
{
public:
    /// @param seed spreads the starts of the periods; differs between daemons and upstreams
    explicit RequestLimitShare(std::uint64_t seed);

    /// Takes in what an answer states, as StatedRequestLimit does.
    auto onStated(RequestLimit limit, Instant answeredSentAt, Instant now) -> void
    {
        this->stated.onStated(limit, answeredSentAt, now);
    }
    /// Counts a request that is sent without a permit.
    auto onSent(Instant now) -> void { this->share.onSent(now); }
    /// @returns whether a request may be sent now
    [[nodiscard]] auto allows(std::size_t daemonCount, Instant now) const -> bool;

private:
    PeriodShare share;
    StatedRequestLimit stated;
};

} // namespace gooseberrywall
