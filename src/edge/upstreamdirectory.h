#pragma once

#include "dispatch/types/upstreamentry.h"

#include <map>
#include <optional>
#include <vector>

namespace gooseberrywall {

struct UpstreamDirectorySettings
{
    /// Entries that lapsed in an outage of the store are back within about this time of its return.
    Duration reregistrationTime = std::chrono::milliseconds{2300};
    /// For this long after a failed call of the store, missing entries may have lapsed wrongly.
    Duration outageSuspicionTime = std::chrono::seconds{4};
    /// So large a share of entries missing at once means an outage that this daemon didn't see.
    double outageMissingShare = 0.35;
    auto operator==(const UpstreamDirectorySettings &) const -> bool = default;
};

/// Knows which upstreams live. Entries that vanish around an outage of the store are kept for as
/// long as living upstreams need to come back.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(UpstreamDirectorySettings settings);

    /// @param present all entries of the store
    /// @param storeFailedAt when a call of the store last failed
    auto update(const std::vector<UpstreamEntry> &present, Instant storeFailedAt, Instant now)
        -> void;
    /// Drops entries that haven't come back.
    auto advance(Instant now) -> void;

    [[nodiscard]] auto entries() const -> std::vector<UpstreamEntry>;
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;

private:
    struct Known
    {
        UpstreamEntry entry;
        /// Missing from the store; dropped at this moment.
        std::optional<Instant> dropAt;
    };

    UpstreamDirectorySettings settings;
    std::map<UpstreamId, Known> known;
};

} // namespace gooseberrywall
