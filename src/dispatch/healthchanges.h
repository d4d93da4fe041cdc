#pragma once

#include "dispatch/slotbroker.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// A change in the status of an upstream as its grantor sees it.
struct HealthChange
{
    enum class Kind : std::uint8_t {
        Joined,
        Gone,
        /// The upstream gets requests as usual.
        Usable,
        /// The upstream drains, is silent, or its last attempts failed; it gets no requests or one
        /// at a time.
        Unusable,
        /// The upstream names a limit of requests per second, or a clearly different one.
        Limited,
        /// It names none any more.
        Unlimited,
        /// It is granted clearly more requests than its limit.
        OverLimit,
        /// The upstream begins to count as cold.
        Cold,
        /// It ceases to count as cold.
        Warm,
    };

    Kind kind = Kind::Joined;
    /// The current status; for Gone, the last one.
    UpstreamStatus upstream;
    auto operator==(const HealthChange &) const -> bool = default;
};

/// @returns the name of the kind in logs, such as "unusable"
[[nodiscard]] auto toString(HealthChange::Kind kind) -> std::string_view;

/// Finds the changes between successive statuses of a service's upstreams.
class HealthChanges
{
public:
    /// @param upstreams the statuses of all upstreams of the service
    /// @returns the changes since the last call
    [[nodiscard]] auto update(const std::vector<UpstreamStatus> &upstreams)
        -> std::vector<HealthChange>;

private:
    /// @returns the change of the upstream's request limit since the last one that was returned
    [[nodiscard]] auto limitChange(const UpstreamStatus &upstream)
        -> std::optional<HealthChange::Kind>;

    std::map<UpstreamId, UpstreamStatus> lastStatuses;
    /// The last limits returned as changes, of upstreams that name one.
    std::map<UpstreamId, RequestLimit> returnedLimits;
};

} // namespace gooseberrywall
