#pragma once

#include "dispatch/types/permits.h"
#include "dispatch/types/upstreamentry.h"
#include "entry/requestlimitshare.h"
#include "routing/types/routeconfiguration.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace gooseberrywall {

/// One daemon's shares of the requests that cold upstreams take, for requests without a permit.
class ColdShares
{
public:
    /// @param seed spreads the shares of the daemons over time; differs between them
    explicit ColdShares(std::uint64_t seed);

    /// Sets the rates of all services.
    auto setServices(const std::vector<ServiceSpec> &services) -> void;
    /// Replaces the entries of all upstreams.
    auto setUpstreams(const std::vector<UpstreamEntry> &entries, Instant now) -> void;
    /// Counts an upstream as cold, as it may have become cold: until its entry states another time,
    /// and 2 s at most.
    auto suspectCold(const UpstreamId &id, Instant now) -> void;
    auto onSent(const UpstreamId &id, Instant now) -> void;
    auto onEnd(const UpstreamId &id, AttemptEnd end, Instant now) -> void;
    /// @returns whether a request may be sent to the upstream now
    [[nodiscard]] auto allows(const UpstreamId &id, std::size_t daemonCount, Instant now) const
        -> bool;
    /// @returns the requests per second that all daemons without a grantor together send to a cold
    /// upstream at most, on average
    /// @param warmUpPerSecond the service's rate for cold upstreams
    [[nodiscard]] static auto sharedRate(double warmUpPerSecond) -> double;

private:
    struct Upstream
    {
        UpstreamEntry entry;
        /// Until when it counts as cold.
        Instant coldUntil{};
        /// Attempts in a row that didn't reach it, or got no answer.
        int failures = 0;
        PeriodShare share;
    };

    std::uint64_t seed;
    std::map<ServiceName, double> rates;
    std::map<UpstreamId, Upstream> upstreams;
    /// Upstreams whose entries have disappeared, which may be cold when they are back.
    std::set<UpstreamId> goneUpstreams;
};

} // namespace gooseberrywall
