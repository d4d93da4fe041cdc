#pragma once

#include "dispatch/loadestimate.h"
#include "dispatch/types/permits.h"

#include <map>
#include <optional>
#include <set>

namespace gooseberrywall {

/// What one daemon knows of the upstreams' loads and speeds, from the answers to its own requests.
/// It estimates with that what other daemons, which it doesn't hear of, send there.
class DirectLoads
{
public:
    auto onSent(const UpstreamId &upstream) -> void { ++this->upstreams[upstream].inFlight; }
    auto onEnd(const UpstreamId &upstream) -> void;
    /// Takes in an answer; called after onEnd().
    /// @param load as the answer reports it; empty where it reports none
    /// @param latency from sending the request to its answer
    auto onAnswered(const ServiceName &service, const UpstreamId &upstream,
                    const std::optional<ReportedLoad> &load, Duration latency, Instant now) -> void;
    /// Forgets the upstreams that are not listed, unless requests are at them.
    auto retain(const std::set<UpstreamId> &listed) -> void;

    /// @returns the weight with which the upstream is drawn, 0 to 1; it grows with the slots and
    /// with the measured speed
    [[nodiscard]] auto drawWeight(const ServiceName &service, const UpstreamId &upstream,
                                  int slots) const -> double;
    /// @returns the weighted time to the response of a further request, for a comparison of drawn
    /// upstreams: the speed counts in the draws only; lower is better
    [[nodiscard]] auto cost(const ServiceName &service, const UpstreamId &upstream, int slots,
                            Instant now) const -> double;

private:
    /// What is known of one upstream.
    struct Upstream
    {
        /// Requests of this daemon.
        int inFlight = 0;
        LoadEstimate estimate;
        /// Moving average of the time from a request to its answer in microseconds; 0 if unknown.
        double latency = 0;
        /// Moving average of the reported requests of others per slot; empty if unknown.
        std::optional<double> usualOthers = std::nullopt;
    };
    /// Moving averages over all upstreams of a service.
    struct Service
    {
        double latency = 0;
        double utilisation = 0;
    };

    [[nodiscard]] auto findUpstream(const UpstreamId &upstream) const -> const Upstream *;
    [[nodiscard]] auto findService(const ServiceName &service) const -> Service;

    std::map<UpstreamId, Upstream> upstreams;
    std::map<ServiceName, Service> services;
};

} // namespace gooseberrywall
