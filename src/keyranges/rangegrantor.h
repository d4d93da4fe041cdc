#pragma once

#include "dispatch/slotbroker.h"
#include "dispatch/types/upstreamentry.h"
#include "keyranges/types/rangeorders.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace gooseberrywall {

struct RangeGrantorSettings
{
    /// Length of a grant in ordinary times: keys of a lost upstream have a new owner this long
    /// after its last renewal.
    Duration holdTime = std::chrono::milliseconds{3500};
    /// Longest grant that upstreams take; bridges an outage of the store.
    Duration longestHoldTime = std::chrono::seconds{10};
    Duration renewalInterval = std::chrono::milliseconds{1200};
    /// How much slower an upstream's clock may run.
    double clockDriftShare = 0.02;
    /// Added to each hold for the time in which an order travels.
    Duration deliveryMargin = std::chrono::milliseconds{150};
    /// Pause after an order that failed.
    Duration retryPause = std::chrono::milliseconds{150};
    auto operator==(const RangeGrantorSettings &) const -> bool = default;
};

/// A span as the planner sees it.
struct RangeView
{
    KeySpan range;
    /// Who owns it or is to own it; nothing where an owner has to be chosen.
    std::optional<UpstreamId> owner;
    /// Owned, and free to move.
    bool isMovable = false;
    Instant ownedSince{};
    auto operator==(const RangeView &) const -> bool = default;
};

/// Grants the keys of one sharded service to its upstreams, so that no key ever has two owners.
/// Without input or output: orders and records are taken from it, their ends are told to it.
///
/// A span changes owner only after the record that names both owners is stored, and the earlier
/// owner has released it, or its life has ended, or its last grant has surely run out. All orders
/// carry fences above those of earlier grantors, whose term is lower.
class RangeGrantor
{
public:
    /// @param term above the term of each earlier grantor of the service
    RangeGrantor(RangeGrantorSettings settings, std::uint64_t term);

    /// Takes over what earlier grantors have recorded; called once, before anything else.
    auto adopt(const RangeRecord &record, Instant now) -> void;
    auto setUpstreams(const std::vector<UpstreamEntry> &entries, Instant now) -> void;
    /// @param end no order is issued from then on
    auto setAuthorityEnd(Instant end) -> void { this->authorityEnd = end; }
    /// Changes owners; moves of spans that aren't settled or of unknown targets are left out.
    auto move(const std::vector<RangeMove> &moves, Instant now) -> void;
    /// While set, grants are renewed for the longest time, and at once where they were shorter.
    auto setGrantsProlonged(bool areProlonged) -> void { this->areGrantsProlonged = areProlonged; }
    auto onOrderEnd(const RangeOrderEnd &end, Instant now) -> void;
    /// @param version as takeRecord() gave it
    auto onRecordStored(std::uint64_t version, Instant now) -> void;
    auto advance(Instant now) -> void;

    [[nodiscard]] auto takeOrders() -> std::vector<RangeOrder>;
    /// @param version receives the record's version
    /// @returns the record, where it has changed since it was last taken
    [[nodiscard]] auto takeRecord(std::uint64_t &version) -> std::optional<RangeRecord>;
    /// @returns whether a grant waits for a record to be stored; others may be gathered
    [[nodiscard]] auto isRecordUrgent() const -> bool;
    /// @returns who can be sent requests, for all keys
    [[nodiscard]] auto owners(Instant now) const -> std::vector<OwnedSpan>;
    [[nodiscard]] auto views() const -> std::vector<RangeView>;
    [[nodiscard]] auto nextDue(Instant now) const -> Instant;
    /// @returns how many keys have changed hands after their first grant
    [[nodiscard]] auto movedKeys() const -> std::uint64_t { return this->movedKeyCount; }

private:
    enum class Phase : std::uint8_t {
        /// Nobody holds it.
        Unowned,
        /// Granted for the first time to `holder`.
        Granting,
        Held,
        /// `holder` was told to release it.
        Releasing,
        /// `holder` doesn't answer; its grant has to run out.
        Expiring,
        /// Earlier owners under another grantor are told to release it.
        ReleasingEarlier,
    };
    struct RangeState
    {
        KeySpan range;
        Phase phase = Phase::Unowned;
        std::optional<RangeHolder> holder;
        std::optional<UpstreamId> target;
        std::vector<RangeHolder> earlierOwners;
        std::uint64_t fence = 0;
        /// A grant with this fence or a lower one may still arrive.
        bool needsNewFence = false;
        /// By then each grant of the holder has surely run out.
        Instant latestHoldEnd{};
        /// Until then the holder has surely accepted the span.
        Instant confirmedUntil{};
        Instant nextOrderAt{};
        Instant ownedSince{};
        std::string handover;
        CallId call;
        Instant sentAt{};
        Duration sentHoldTime{0};
        int failures = 0;
        std::uint64_t requiredRecordVersion = 0;
        bool hasHadOwner = false;
        /// ReleasingEarlier only: the first of `earlier` has released the span.
        bool isReleased = false;
    };

    auto splitAt(KeyPosition first) -> void;
    auto coalesce() -> void;
    auto startMove(RangeState &state, Instant now) -> void;
    auto issueOrder(RangeState &state, RangeOrder::Kind kind, const RangeHolder &holder,
                    Instant now) -> void;
    auto renew(RangeState &state, Duration holdTime, Instant now) -> void;
    auto advanceRange(RangeState &state, Instant now) -> void;
    auto grantToTarget(RangeState &state, Instant now) -> void;
    auto releaseEarlierOwners(RangeState &state, Instant now) -> void;
    auto onGrantEnd(RangeState &state, const RangeOrderEnd &end, Instant now) -> void;
    auto onReleaseEnd(RangeState &state, const RangeOrderEnd &end, Instant now) -> void;
    auto markUnowned(RangeState &state, Instant now) -> void;
    auto markRecordChanged() -> std::uint64_t;
    [[nodiscard]] auto stateOf(CallId call) -> RangeState *;
    [[nodiscard]] auto entryOf(const UpstreamId &id) const -> const UpstreamEntry *;
    [[nodiscard]] auto hasRestarted(const RangeHolder &holder) const -> bool;
    [[nodiscard]] auto isUsable(const RangeHolder &holder) const -> bool;
    [[nodiscard]] auto latestEndOfHold(Instant now, Duration holdTime) const -> Instant;
    [[nodiscard]] auto nextFence() -> std::uint64_t;
    [[nodiscard]] auto jitteredRenewalInterval(const RangeState &state) const -> Duration;
    [[nodiscard]] auto currentHoldTime() const -> Duration;
    [[nodiscard]] auto isRenewalDue(const RangeState &state, Instant now) const -> bool;

    RangeGrantorSettings settings;
    std::uint64_t term;
    std::uint64_t sequence = 0;
    std::uint64_t nextCallId = 1;
    Instant authorityEnd{};
    std::vector<RangeState> rangeStates;
    std::map<UpstreamId, UpstreamEntry> upstreams;
    std::vector<RangeOrder> orders;
    std::uint64_t recordVersion = 1;
    std::uint64_t takenRecordVersion = 0;
    std::uint64_t storedRecordVersion = 0;
    bool areGrantsProlonged = false;
    std::uint64_t movedKeyCount = 0;
};

} // namespace gooseberrywall
