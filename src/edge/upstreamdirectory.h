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
    /// A larger share than this of entries missing at once indicates an outage that this daemon
    /// didn't notice.
    double outageMissingShare = 0.35;
    /// An upstream that has drained is remembered for this long after it was last known, as a
    /// restored store may show it as ready once more.
    Duration drainedRetention = std::chrono::seconds{60};
    auto operator==(const UpstreamDirectorySettings &) const -> bool = default;
};

/// How the entries that the store shows were read.
struct UpstreamReading
{
    /// When the last list of all entries began; changes since are known.
    Instant listedAt;
    /// When a call to the store failed last in an absence of the store in which entries may have
    /// expired, and when it was back.
    Instant storeFailedAt;
    Instant storeBackAt;
    auto operator==(const UpstreamReading &) const -> bool = default;
};

/// Keeps the entries of live upstreams. Entries that have disappeared in an outage of the store are
/// kept for as long as live upstreams need to register again. An entry that was listed after the
/// outage and disappears then is that of an upstream that has left.
class UpstreamDirectory
{
public:
    explicit UpstreamDirectory(UpstreamDirectorySettings settings);

    /// @param present all entries that the store shows
    auto update(const std::vector<UpstreamEntry> &present, const UpstreamReading &reading,
                Instant now) -> void;
    /// Takes in that an upstream has stated that it is about to stop. This process is draining from
    /// now on, whatever the store shows.
    /// @returns whether entries() has changed
    auto setLeaving(const UpstreamId &upstream, Incarnation incarnation, Instant now) -> bool;
    /// Forgets all entries, as changes from now on aren't known: those that are missing later have
    /// left. Processes that have started to drain are remembered.
    auto forget() -> void { this->known.clear(); }
    /// Drops entries whose upstreams haven't registered again in time.
    auto advance(Instant now) -> void;

    [[nodiscard]] auto entries() const -> std::vector<UpstreamEntry>;
    /// @returns which process has the address as this upstream; empty where that isn't known
    [[nodiscard]] auto incarnationOf(const UpstreamId &upstream, const Address &address) const
        -> std::optional<Incarnation>;
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;

private:
    struct Known
    {
        UpstreamEntry entry;
        /// Begin of the last list of all entries that had it, itself or with a change since.
        Instant listedAt;
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
