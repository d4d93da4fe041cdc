#pragma once

#include "dispatch/types/permits.h"
#include "dispatch/types/upstreamentry.h"

#include <map>
#include <optional>
#include <random>
#include <vector>

namespace gooseberrywall {

/// Who owns a range of keys, and where it is.
struct DirectOwner
{
    KeySpan range;
    UpstreamId upstream;
    Address address;
    auto operator==(const DirectOwner &) const -> bool = default;
};

/// Chooses upstreams for an entry daemon while its grantor can't be reached: from what the store
/// last said and from the keys' owners in earlier permits.
class DirectChoice
{
public:
    explicit DirectChoice(std::uint64_t seed);

    /// Replaces what is known of all services.
    auto setUpstreams(const std::vector<UpstreamEntry> &entries) -> void;
    /// While what is known may be outdated, nothing is chosen: an upstream may have begun to leave.
    /// At first it isn't trusted.
    auto setTrusted(bool trusted) -> void { this->isTrusted = trusted; }
    /// @param verdict a granted permit, with the keys that the upstream owns
    auto onGranted(const ServiceName &service, const PermitVerdict &verdict) -> void;
    /// Replaces what is known of a service's owners by what the store has.
    auto setOwners(const ServiceName &service, const std::vector<DirectOwner> &owners) -> void;
    auto onSent(const UpstreamId &upstream) -> void { ++this->inFlight[upstream]; }
    auto onEnd(const UpstreamId &upstream, AttemptEnd end, Instant now) -> void;

    /// @param request names service, key and upstreams to avoid
    /// @returns nothing where no upstream is known to serve the request
    [[nodiscard]] auto choose(const PermitRequest &request, Instant now)
        -> std::optional<PermitVerdict>;

private:
    [[nodiscard]] auto isUsable(const UpstreamId &id, Instant now) const -> bool;

    std::mt19937_64 random;
    bool isTrusted = false;
    std::map<ServiceName, std::vector<UpstreamEntry>> services;
    /// By the range's first key; newer ranges replace those that they overlap.
    std::map<ServiceName, std::map<KeyPosition, DirectOwner>> owners;
    std::map<UpstreamId, int> inFlight;
    std::map<UpstreamId, Instant> avoidedUntil;
};

} // namespace gooseberrywall
