#pragma once

#include "dispatch/types/upstreamentry.h"

#include <map>
#include <optional>
#include <vector>

namespace gooseberrywall {

struct UpstreamDirectorySettings
{
    /// Upstreams whose entries expired during an outage of the store register again within about
    /// this time of its end.
    Duration reregistrationTime = std::chrono::milliseconds{2300};
    /// For this long after a failed call to the store, missing entries may have expired only
    /// because of an outage.
    Duration outageSuspicionTime = std::chrono::seconds{4};
    /// A larger share than this of entries missing at once indicates an outage that this daemon
    /// didn't notice.
    double outageMissingShare = 0.35;
    auto operator==(const UpstreamDirectorySettings &) const -> bool = default;
};

/// Keeps the entries of live upstreams. Entries that disappear around an outage of the store are
/// kept for as long as live upstreams need to register again.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(UpstreamDirectorySettings settings);

    /// @param present all entries that the store shows
    /// @param storeFailedAt when a call to the store last failed
    auto update(const std::vector<UpstreamEntry> &present, Instant storeFailedAt, Instant now)
        -> void;
    /// Drops entries whose upstreams haven't registered again in time.
    auto advance(Instant now) -> void;

    [[nodiscard]] auto entries() const -> std::vector<UpstreamEntry>;
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;

private:
    struct Known
    {
        UpstreamEntry entry;
        /// When an entry that is missing from the store is dropped; empty where it isn't missing.
        std::optional<Instant> dropAt;
    };

    UpstreamDirectorySettings settings;
    std::map<UpstreamId, Known> known;
};

} // namespace gooseberrywall
