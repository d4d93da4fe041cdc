#pragma once

#include "ownership/internal/granttracker.h"
#include "ownership/table.h"
#include "ownership/types/grantorsettings.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"
#include "protocol/types/servicepolicy.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gooseberrywall {

/// What a session needs from its grantor at each step.
struct SessionContext
{
    Instant now;
    const DaemonIdentity &self;
    const GrantorSettings &settings;
    const ServicePolicy &policy;
    /// The grantor's authority covers orders to this upstream.
    bool mayOrder = false;
    DaemonId coordinator;
};

/// A grantor's work for one upstream: sends orders, tracks their effect, reports the outcome.
/// After the record names another grantor it only waits until its orders can have no effect.
class UpstreamSession
{
public:
    UpstreamSession(Instant now, const UpstreamEntry &entry);

    /// Takes the record's word on the upstream.
    /// @param active the record names this daemon as the grantor
    /// @param formerTerm the record lists this daemon among the former grantors, with this term
    /// @param shards the record's shards of which the upstream is the owner
    auto update(Instant now, const UpstreamEntry &entry, bool active,
                std::optional<Term> formerTerm, std::vector<ShardEntry> shards) -> void;

    auto tick(const SessionContext &context, Outbox &out) -> void;

    /// @returns whether the call was one of this session
    auto onAnswer(const SessionContext &context, CallId id, const UpstreamAnswer &answer,
                  Outbox &out) -> bool;

    /// A request for authority leaves; the clock readings so far precede it.
    auto onAuthorityRequested(std::uint64_t sequence) -> void;

    /// Such a request was answered.
    auto onAuthorityConfirmed(std::uint64_t sequence) -> void;

    /// The process was paused: silence of the upstream during the pause proves nothing.
    auto resume(Instant now) -> void;

    /// @returns the record's fence of the shard where the upstream surely holds it
    [[nodiscard]] auto fenceFor(const SessionContext &context, const ShardEntry &shard) const
        -> std::optional<Fence>;

    [[nodiscard]] auto isActive() const -> bool { return this->active; }
    /// @returns whether nothing is left to wait for or to report
    [[nodiscard]] auto isOver() const -> bool { return !this->active && !this->formerTerm; }
    [[nodiscard]] auto service() const -> const ServiceName & { return this->entry.service; }

private:
    struct OpenCall
    {
        Instant sentAt;
        std::vector<GrantOrder> orders;
        ClockReading reading;
        Term term;
        Incarnation incarnation;
    };

    auto sendDueCalls(const SessionContext &context, Outbox &out) -> void;
    auto sendGrants(const SessionContext &context, Outbox &out) -> void;
    auto sendRevokes(const SessionContext &context, Outbox &out) -> void;
    auto send(const SessionContext &context, OpenCall call, Duration timeout, Outbox &out)
        -> CallId;
    auto applyAnswer(const SessionContext &context, const OpenCall &call,
                     const GrantBatchAnswer &answer) -> void;
    auto applyResult(const SessionContext &context, const OpenCall &call,
                     const ClockReading &reading, std::size_t index, GrantStatus status) -> void;
    auto applyFailure(const SessionContext &context, const OpenCall &call, UpstreamFailure failure)
        -> void;
    auto report(const SessionContext &context, Outbox &out) -> void;
    auto reportFormerTermEnded(const SessionContext &context, Outbox &out) const -> void;
    auto reportHealth(const SessionContext &context, Outbox &out) const -> void;
    auto reportGrantsEnded(const SessionContext &context, Outbox &out) const -> void;
    auto reportReleases(const SessionContext &context, Outbox &out) const -> void;
    [[nodiscard]] auto grantsEnded(const SessionContext &context) const -> bool;
    [[nodiscard]] auto isReleased(const SessionContext &context, const ShardEntry &shard) const
        -> bool;
    [[nodiscard]] auto needsHealthReport(const SessionContext &context) const -> bool;
    [[nodiscard]] auto grantOrders(const SessionContext &context, const ClockReading &reading) const
        -> std::vector<GrantOrder>;
    [[nodiscard]] auto revokeOrders() const -> std::vector<GrantOrder>;
    [[nodiscard]] auto isSafeFromFormerGrantors(const SessionContext &context) const -> bool;
    [[nodiscard]] auto canOrder(const SessionContext &context) const -> bool;
    [[nodiscard]] auto readingForOrders(const SessionContext &context) const
        -> std::optional<ClockReading>;
    [[nodiscard]] auto mustRevoke(const ShardEntry &shard) const -> bool;
    [[nodiscard]] auto isUnreachable(const SessionContext &context) const -> bool;

    UpstreamEntry entry;
    std::vector<ShardEntry> shards;
    bool active = true;
    std::optional<Term> formerTerm;
    bool superseded = false;
    bool accepted = false;
    bool draining = false;
    /// Send at the next occasion, without waiting for the interval.
    bool isSendDue = true;
    Instant nextGrantCallAt;
    Instant nextRevocationAt;
    Instant lastAnswerAt;
    /// Since when no other grantor's order can take effect, as far as this session knows.
    Instant soleGrantorSince;
    std::optional<Instant> lastReportAt;
    Incarnation answeringIncarnation;
    std::optional<ClockReading> lastReading;
    std::map<std::uint64_t, ClockReading> readingsByRequest;
    std::optional<ClockReading> authorizedReading;
    GrantTracker grants;
    std::optional<CallId> grantCall;
    std::map<CallId, OpenCall> calls;
    std::set<ShardId> shardsInOpenCalls;
    std::map<ShardId, Fence> revokedFences;
};

} // namespace gooseberrywall
