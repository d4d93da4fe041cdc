#pragma once

#include "dispatch/slotbroker.h"
#include "dispatch/types/upstreamentry.h"
#include "keyranges/releaseround.h"
#include "keyranges/types/rangeorders.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace gooseberrywall {

struct RangeGrantorSettings
{
    /// Length of a grant while the store answers: keys of a lost upstream have a new owner about
    /// this long after its last renewal.
    Duration holdTime = std::chrono::milliseconds{3500};
    /// Length of a grant that bridges an outage of the store; the longest that upstreams accept.
    Duration longestHoldTime = std::chrono::seconds{10};
    /// Longest time between two renewals of a grant.
    Duration renewalInterval = std::chrono::milliseconds{1200};
    /// Share by which an upstream's clock may run slower.
    double clockDriftShare = 0.02;
    /// Allowance for the time in which an order travels: added to the latest end of a grant, and
    /// taken off the time for which it counts as confirmed.
    Duration deliveryMargin = std::chrono::milliseconds{150};
    /// Pause after a failed order.
    Duration retryPause = std::chrono::milliseconds{150};
    /// An upstream that has answered a release refuses grants with lower fences from then on, also
    /// those that were sent before. Where upstreams don't, outdated ranges have to wait until all
    /// earlier grants have run out.
    bool doReleasesRaiseFences = false;
    ReleaseRoundSettings releaseRound;
    auto operator==(const RangeGrantorSettings &) const -> bool = default;
};

/// Progress of a release round, for logs.
struct ReleaseRoundStatus
{
    /// Some ranges are outdated, and upstreams are asked to release them.
    bool isActive = false;
    std::uint32_t outdatedKeys = 0;
    std::size_t upstreams = 0;
    std::uint64_t orders = 0;
    std::vector<UpstreamId> silent;
    auto operator==(const ReleaseRoundStatus &) const -> bool = default;
};

/// A range of keys as the planner sees it.
struct RangeView
{
    KeyRange range;
    /// The upstream that owns it or is to own it; nothing where one has to be chosen.
    std::optional<UpstreamId> owner;
    /// It has an owner, no order or move is under way, and no earlier grant can still arrive.
    bool isMovable = false;
    /// When its owner got it.
    Instant ownedSince{};
    /// Its holder is evacuated and serves it until it moves or the time for that has passed.
    bool isEvacuated = false;
    auto operator==(const RangeView &) const -> bool = default;
};

/// Grants the keys of one sharded service to its upstreams, so that no key ever has two owners.
/// Does no input or output itself: orders to send and records to store are taken from it, and their
/// results are reported to it.
///
/// A range changes its owner only after the record that names both owners has been stored, and
/// after the earlier owner has released the range, has ended, or can hold no grant that still
/// lasts. Only the answer to the first release of a range tells that the work on it has ended;
/// where an earlier one may have gone unanswered, the time that work takes at most passes, too.
/// Fencing tokens are above those of all earlier grantors, whose terms are lower.
class RangeGrantor
{
public:
    /// @param term above the terms of all earlier grantors of the service
    RangeGrantor(RangeGrantorSettings settings, std::uint64_t term);

    /// Takes over the owners that earlier grantors have recorded. Called once, before any move.
    auto adopt(const RangeRecord &record, Instant now) -> void;
    /// Takes over from earlier grantors whose last changes of owners the store has lost: any
    /// upstream may hold any key. A key is granted once all upstreams but its likely owner have
    /// released it, or once the longest grants have run out. Called once, before any move.
    /// @param record owners as they were some time ago; most of them still own their keys
    auto adoptOutdated(const RangeRecord &record, Instant now) -> void;
    /// Goes on under a higher term, after the store has lost this grantor's claim and its last
    /// records. Each owner is first asked with its present fence: it refuses where another grantor
    /// has granted its keys since.
    /// @param mayOthersHaveLed another grantor may have led meanwhile, so that ranges whose owner
    /// can't be asked may belong to any upstream
    auto raiseTerm(std::uint64_t newTerm, bool mayOthersHaveLed, Instant now) -> void;
    /// @param entries all upstreams of the service
    auto setUpstreams(const std::vector<UpstreamEntry> &entries, Instant now) -> void;
    /// @param areAll no upstream that may hold keys is missing from the entries, apart from those
    /// that the adopted record names
    auto setAreAllUpstreamsListed(bool areAll) -> void { this->areAllUpstreamsListed = areAll; }
    /// @param time an upstream ends its work on a request at the latest this long after it has
    /// begun; where it isn't set, the work ends with the hold
    auto setLongestWork(Duration time) -> void
    {
        this->longestWork = time;
        this->releaseRound.setWorkTime(this->latestEndOfHold(Instant{}, time) - Instant{});
    }
    /// @param end no order is issued from then on
    auto setAuthorityEnd(Instant end) -> void { this->authorityEnd = end; }
    /// Starts moves; those of evacuated holders in the order of the list. A move is left out where
    /// an order about its range is open, where the range is changing its owner, or where the target
    /// is unknown, draining or evacuated.
    auto move(const std::vector<RangeMove> &moves, Instant now) -> void;
    /// While set, grants are renewed for the longest hold time, and shorter ones at once.
    auto setGrantsProlonged(bool areProlonged) -> void { this->areGrantsProlonged = areProlonged; }
    /// Takes in how an order from takeOrders() ended.
    auto onOrderEnd(const RangeOrderEnd &end, Instant now) -> void;
    /// Takes in that a record has been stored.
    /// @param version as takeRecord() gave it
    auto onRecordStored(std::uint64_t version, Instant now) -> void;
    /// Takes in that the store has reached a revision; later grantors have higher terms.
    auto setStoreRevision(std::uint64_t revision) -> void;
    /// Issues the orders that are due.
    auto advance(Instant now) -> void;

    /// @returns the orders issued since the last call, which are to be sent now
    [[nodiscard]] auto takeOrders() -> std::vector<RangeOrder>;
    /// @param version receives the version of the returned record
    /// @returns the record if it has changed since it was last taken; nothing otherwise
    [[nodiscard]] auto takeRecord(std::uint64_t &version) -> std::optional<RangeRecord>;
    /// @returns whether a grant waits until a record is stored; other changes needn't be stored at
    /// once
    [[nodiscard]] auto isRecordUrgent() const -> bool;
    /// @returns for all keys, which upstream may be sent requests
    [[nodiscard]] auto owners(Instant now) const -> std::vector<OwnedRange>;
    /// @returns whether a higher fence is left that is below those of all later grantors; without
    /// one, no key gets a new owner
    [[nodiscard]] auto hasFence() const -> bool;
    /// @returns whether an owner has to be chosen for a range
    [[nodiscard]] auto hasUnowned() const -> bool;
    /// @returns all ranges in the order of their keys
    [[nodiscard]] auto views() const -> std::vector<RangeView>;
    [[nodiscard]] auto releaseRoundStatus() const -> ReleaseRoundStatus;
    /// @returns how many keys get no other owner before the hold of an earlier one has run out
    [[nodiscard]] auto keysWaitingForHoldEnd() const -> std::uint32_t;
    /// @returns when to call advance() next
    [[nodiscard]] auto nextDue(Instant now) const -> Instant;
    /// @returns how many keys have been granted again after their first owner; a key counts each
    /// time
    [[nodiscard]] auto movedKeys() const -> std::uint64_t { return this->movedKeyCount; }

private:
    enum class Phase : std::uint8_t {
        /// No upstream holds it.
        Unowned,
        /// The first grant to `holder` was sent, but not yet accepted.
        Granting,
        /// Owned by `holder`, whose grant is renewed.
        Held,
        /// `holder` was ordered to release it.
        Releasing,
        /// `holder` is lost or didn't release it; its grants have to run out.
        Expiring,
        /// Owners under an earlier grantor are ordered to release it, one after the other.
        ReleasingEarlier,
        /// Most likely held by `holder`, but maybe by any other upstream, until `latestHoldEnd`.
        Outdated,
    };
    /// A range of keys, and what is known about its owners.
    struct RangeState
    {
        KeyRange range;
        Phase phase = Phase::Unowned;
        std::optional<RangeHolder> holder;
        /// The upstream that is to own it.
        std::optional<UpstreamId> target;
        /// As in RangeRow.
        std::vector<RangeHolder> earlierOwners;
        /// Fencing token of the last order.
        std::uint64_t fence = 0;
        /// The next grant needs a higher fence: a grant with this fence or a lower one may still
        /// arrive, or the holder has seen a higher one.
        bool needsNewFence = false;
        /// By then all grants of the holder have run out, even by the slowest clock.
        Instant latestHoldEnd{};
        /// Until then the holder is certain to own the range; zero: it has confirmed no grant.
        Instant confirmedUntil{};
        /// No order is due before.
        Instant nextOrderAt{};
        Instant ownedSince{};
        /// What the previous owner returned with its release.
        std::string handover;
        /// The order without a result so far; zero: none.
        CallId call;
        /// Of the last order, and of the last grant.
        Instant sentAt{};
        Duration sentHoldTime{0};
        /// Failed grants in a row.
        int failures = 0;
        /// The record has to be stored in this version before the range is granted.
        std::uint64_t requiredRecordVersion = 0;
        bool hasHadOwner = false;
        /// ReleasingEarlier only: the first of `earlierOwners` has released the range; its work
        /// ends by `nextOrderAt`.
        bool isReleased = false;
        /// The term was raised, and the holder hasn't confirmed the earlier fence since.
        bool isUnconfirmedInTerm = false;
    };

    /// Makes a range begin at `first`.
    auto splitAt(KeyPosition first) -> void;
    /// Joins neighbouring ranges of one holder that need no order but renewals.
    auto coalesce() -> void;
    auto startMove(RangeState &state, Instant now) -> void;
    auto issueOrder(RangeState &state, RangeOrder::Kind kind, const RangeHolder &holder,
                    Instant now) -> void;
    auto renew(RangeState &state, Duration holdTime, Instant now) -> void;
    auto advanceRange(RangeState &state, Instant now) -> void;
    auto grantToTarget(RangeState &state, Instant now) -> void;
    /// Takes in that the holder has restarted. At the same address it keeps the range, as it may
    /// have taken grants meant for its earlier incarnation.
    auto followRestart(RangeState &state, Instant now) -> void;
    auto releaseEarlierOwners(RangeState &state, Instant now) -> void;
    auto onGrantEnd(RangeState &state, const RangeOrderEnd &end, Instant now) -> void;
    auto onReleaseEnd(RangeState &state, const RangeOrderEnd &end, Instant now) -> void;
    /// Takes in that the holder has released the range, or has ended.
    auto endHold(RangeState &state, Instant now) -> void;
    auto markUnowned(RangeState &state, Instant now) -> void;
    auto markOutdated(RangeState &state, Instant now) -> void;
    /// Keeps the upstreams that may hold the range for the release round.
    auto recordHolders(const RangeState &state) -> void;
    /// Gives an outdated range to its likely owner, as all earlier grants have run out.
    auto endOutdated(RangeState &state, Instant now) -> void;
    /// Has upstreams release outdated ranges, apart from those that they are likely to own.
    auto advanceReleaseRound(Instant now) -> void;
    auto startReleaseRound() -> void;
    /// Gives outdated ranges that all others have released to their likely owners.
    auto endReleasedRanges(Instant now) -> void;
    [[nodiscard]] auto uncertainRanges() const -> std::vector<UncertainRange>;
    /// @returns the version of the next record, which has the change
    auto markRecordChanged() -> std::uint64_t;
    /// @returns the upstream that owns the range or is to own it; nullptr where one has to be
    /// chosen
    [[nodiscard]] auto plannedOwner(const RangeState &state) const -> const UpstreamId *;
    [[nodiscard]] auto stateOf(CallId call) -> RangeState *;
    [[nodiscard]] auto entryOf(const UpstreamId &id) const -> const UpstreamEntry *;
    /// @returns whether another grantor may have given the range to an upstream that isn't known
    [[nodiscard]] auto isOwnerUncertain(const RangeState &state) const -> bool;
    /// @returns whether the upstream runs as a later incarnation at another address, which no grant
    /// of the holder has reached
    [[nodiscard]] auto hasEnded(const RangeHolder &holder) const -> bool;
    /// @returns whether the store shows an earlier incarnation, or none, as a restored one does for
    /// a while: neither proves that the holder has ended
    [[nodiscard]] auto isContradicted(const RangeHolder &holder) const -> bool;
    /// @returns whether the upstream still runs as this incarnation and isn't draining
    [[nodiscard]] auto isRunning(const RangeHolder &holder) const -> bool;
    /// @returns whether the holder runs and isn't evacuated, so that it may keep its ranges
    [[nodiscard]] auto isUsable(const RangeHolder &holder) const -> bool;
    /// @returns whether the holder runs, and requests for its keys may be sent to it
    [[nodiscard]] auto isServing(const RangeHolder &holder, Instant now) const -> bool;
    /// @returns when a grant that has arrived by `now` ends at the latest
    [[nodiscard]] auto latestEndOfHold(Instant now, Duration holdTime) const -> Instant;
    /// @returns when work has ended that began by `now`, even by the slowest clock
    [[nodiscard]] auto latestEndOfWork(Instant now) const -> Instant
    {
        return this->latestEndOfHold(now, this->longestWork);
    }
    [[nodiscard]] auto nextFence() -> std::uint64_t;
    [[nodiscard]] auto jitteredRenewalInterval(const RangeState &state) const -> Duration;
    [[nodiscard]] auto currentHoldTime() const -> Duration;
    [[nodiscard]] auto isRenewalDue(const RangeState &state, Instant now) const -> bool;

    RangeGrantorSettings settings;
    std::uint64_t term;
    /// The highest that is known.
    std::uint64_t storeRevision = 0;
    /// Counts the fences given out.
    std::uint64_t sequence = 0;
    Duration longestWork{0};
    std::uint64_t nextCallId = 1;
    Instant authorityEnd{};
    /// In the order of their keys; together they cover all keys.
    std::vector<RangeState> rangeStates;
    std::map<UpstreamId, UpstreamEntry> upstreams;
    std::vector<RangeOrder> orders;
    /// Version of the record as it is, as it was last taken, and as it was last stored.
    std::uint64_t recordVersion = 1;
    std::uint64_t takenRecordVersion = 0;
    std::uint64_t storedRecordVersion = 0;
    bool areGrantsProlonged = false;
    /// As raiseTerm() was told.
    bool mayOthersHaveLed = false;
    /// The store has no record of this term yet.
    bool isFirstRecordDue = false;
    std::uint64_t movedKeyCount = 0;
    ReleaseRound releaseRound;
    /// The term in which the release round was started; zero where there is none.
    std::uint64_t releaseRoundTerm = 0;
    /// Upstreams named in the adopted record.
    std::vector<RangeHolder> recordedHolders;
    bool areAllUpstreamsListed = false;
};

} // namespace gooseberrywall
