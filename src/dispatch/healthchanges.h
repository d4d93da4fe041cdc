#pragma once

#include "dispatch/slotbroker.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// A change of what a grantor believes of an upstream.
struct HealthChange
{
    enum class Kind : std::uint8_t {
        Joined,
        Gone,
        /// It is given requests as usual.
        Usable,
        /// It drains, is silent, or its last attempts failed: at most single trials are sent.
        Unusable,
    };

    Kind kind = Kind::Joined;
    /// As the grantor sees it now; of one that has gone, as it saw it last.
    UpstreamStatus upstream;
    auto operator==(const HealthChange &) const -> bool = default;
};

/// @returns the kind as it stands in logs, such as "unusable"
[[nodiscard]] auto toString(HealthChange::Kind kind) -> std::string_view;

/// Finds what has changed between two looks at a service's upstreams.
class HealthChanges
{
public:
    /// @returns what has changed since the last call
    [[nodiscard]] auto update(const std::vector<UpstreamStatus> &upstreams)
        -> std::vector<HealthChange>;

private:
    std::map<UpstreamId, UpstreamStatus> lastStatuses;
};

} // namespace gooseberrywall
