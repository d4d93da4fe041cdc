#pragma once

#include "dispatch/types/upstreamentry.h"

#include <map>
#include <optional>
#include <utility>
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
    /// An upstream that has drained is remembered for this long after it was last known, as a
    /// restored store may show it as ready once more.
    Duration drainedRetention = std::chrono::seconds{60};
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
    /// Takes in that an upstream has stated that it is about to stop. This process is draining from
    /// now on, whatever the store shows.
    /// @returns whether entries() has changed
    auto setLeaving(const UpstreamId &upstream, Incarnation incarnation, Instant now) -> bool;
    /// Drops entries whose upstreams haven't registered again in time.
    auto advance(Instant now) -> void;

    [[nodiscard]] auto entries() const -> std::vector<UpstreamEntry>;
    /// @returns whether entries() has the upstream although the store doesn't show it
    [[nodiscard]] auto isMissing(const UpstreamId &upstream) const -> bool;
    /// @returns which process has the address as this upstream; empty where that isn't known
    [[nodiscard]] auto incarnationOf(const UpstreamId &upstream, const Address &address) const
        -> std::optional<Incarnation>;
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;

private:
    struct Known
    {
        UpstreamEntry entry;
        /// When an entry that is missing from the store is dropped; empty where it isn't missing.
        std::optional<Instant> dropAt;
    };

    /// One of the successive processes with an upstream's id.
    using Process = std::pair<UpstreamId, Incarnation>;

    /// Marks the entry as draining if its process has started to drain before.
    auto markDrained(UpstreamEntry &entry, Instant now) -> void;

    UpstreamDirectorySettings settings;
    std::map<UpstreamId, Known> known;
    /// Processes that have started to drain, and when they were last known; they are never ready
    /// again.
    std::map<Process, Instant> drained;
};

} // namespace gooseberrywall
