#pragma once

#include "dispatch/types/leavehint.h"
#include "dispatch/types/upstreamentry.h"
#include "dispatch/types/upstreamprocess.h"

#include <map>
#include <optional>
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
    /// An upstream that may have left is used for this long after it was last known to stay.
    Duration useAfterLastStay = std::chrono::milliseconds{1600};
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
    /// Up to when the store has confirmed the entries.
    Instant confirmedAt = {};
    auto operator==(const UpstreamReading &) const -> bool = default;
};

/// Keeps the entries of live upstreams. Entries that have disappeared in an outage of the store are
/// kept for as long as live upstreams need to register again. An entry that was listed after the
/// outage and disappears then is that of an upstream that has left.
///
/// A daemon that the store refuses can't tell this from an outage. So answers count as well: an
/// upstream that leaves hints at it with each answer. A hint that neither a later answer nor the
/// store has refuted, or a missing entry while most others are present, lets the upstream be used
/// for a limited time after it was last known to stay.
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
    /// Takes in whether an answer hints that its upstream leaves.
    /// @param askedAt when the answered request was permitted or sent: an answer to a request from
    ///        before a hint may be older than the hint, and doesn't refute it
    /// @returns whether entries() has changed
    auto onLeaveHint(const UpstreamProcess &process, LeaveHint hint, Instant askedAt, Instant now)
        -> bool;
    /// Takes in that the store has shown all entries that aren't missing up to this time.
    /// @returns whether entries() has changed
    auto confirm(Instant at) -> bool;
    /// @returns up to when the store has shown all entries that aren't missing
    [[nodiscard]] auto confirmedUpTo() const -> Instant { return this->confirmedAt; }
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
        /// An answer has last shown then that the upstream stays; for a missing entry also the
        /// store.
        Instant staysAt = {};
        /// When an answer first hinted that the upstream leaves, if nothing has refuted it since.
        std::optional<Instant> hintedAt = {};
        /// Missing while most other entries aren't: the upstream has rather left.
        bool isDoubtful = false;
        /// It gets no requests, because of the hint.
        bool isHeld = false;
    };

    /// @returns when the upstream was last known to stay
    [[nodiscard]] auto lastStay(const Known &each) const -> Instant;
    /// @returns when the entry is dropped; empty where it isn't missing
    [[nodiscard]] auto dropDue(const Known &each) const -> std::optional<Instant>;
    /// @returns when the upstream gets no requests any more because of a hint
    [[nodiscard]] auto holdDue(const Known &each) const -> std::optional<Instant>;

    /// Marks the entry as draining if its process has started to drain before.
    auto markDrained(UpstreamEntry &entry, Instant now) -> void;

    UpstreamDirectorySettings settings;
    /// The store has last shown all entries that aren't missing.
    Instant confirmedAt{};
    std::map<UpstreamId, Known> known;
    /// Processes that have started to drain, and when they were last known; they are never ready
    /// again.
    std::map<UpstreamProcess, Instant> drained;
};

} // namespace gooseberrywall
