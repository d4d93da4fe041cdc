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
    /// Whether the grantor's authority allows orders to this upstream.
    bool mayOrder = false;
    DaemonId coordinator;
};

/// A grantor's session with one upstream: sends orders, tracks their effect and reports it to the
/// coordinator. After the record names another grantor, the session only waits until its orders can
/// no longer take effect, and reports that.
class UpstreamSession
{
public:
    UpstreamSession(Instant now, const UpstreamEntry &entry);

    /// Takes a new version of the upstream's entry in the record.
    /// @param active whether the record names this daemon and incarnation as the grantor
    /// @param formerTerm this daemon's term if it is among the record's former grantors
    /// @param shards the record's shards that the upstream owns, including those in transfer
    auto update(Instant now, const UpstreamEntry &entry, bool active,
                std::optional<Term> formerTerm, std::vector<ShardEntry> shards) -> void;

    auto tick(const SessionContext &context, Outbox &out) -> void;

    /// @returns whether the call was made by this session
    auto onAnswer(const SessionContext &context, CallId id, const UpstreamAnswer &answer,
                  Outbox &out) -> bool;

    /// A request for authority is being sent; the last clock reading precedes it.
    auto onAuthorityRequested(std::uint64_t sequence) -> void;

    /// The coordinator answered that request.
    auto onAuthorityConfirmed(std::uint64_t sequence) -> void;

    /// Restarts the upstream's timeout after a pause of this process, in which no answer could
    /// arrive.
    auto resume(Instant now) -> void;

    /// @returns the record's fence of the shard if the upstream certainly holds it; else nothing
    [[nodiscard]] auto fenceFor(const SessionContext &context, const ShardEntry &shard) const
        -> std::optional<Fence>;

    [[nodiscard]] auto isActive() const -> bool { return this->active; }
    /// @returns whether the record doesn't name this daemon, as grantor or former grantor
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
    auto sendRevocations(const SessionContext &context, Outbox &out) -> void;
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
    [[nodiscard]] auto revocationOrders() const -> std::vector<GrantOrder>;
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
    /// The upstream refused this term since it knows a higher one.
    bool superseded = false;
    /// The upstream accepted a call of this term and incarnation.
    bool accepted = false;
    /// The upstream answered that it is draining.
    bool draining = false;
    /// The next grants are sent without waiting for the renewal interval.
    bool isSendDue = true;
    Instant nextGrantCallAt;
    Instant nextRevocationAt;
    Instant lastAnswerAt;
    /// Since when no other grantor's orders can take effect, as far as this session knows.
    Instant soleGrantorSince;
    std::optional<Instant> lastReportAt;
    Incarnation answeringIncarnation;
    std::optional<ClockReading> lastReading;
    /// The last clock reading before each open request for authority, by sequence number.
    std::map<std::uint64_t, ClockReading> readingsByRequest;
    /// A clock reading that precedes a request which the coordinator answered.
    std::optional<ClockReading> authorizedReading;
    GrantTracker grants;
    std::optional<CallId> grantCall;
    std::map<CallId, OpenCall> calls;
    std::set<ShardId> shardsInOpenCalls;
    /// Fences of the grants whose revocation the upstream acknowledged.
    std::map<ShardId, Fence> revokedFences;
};

} // namespace gooseberrywall
