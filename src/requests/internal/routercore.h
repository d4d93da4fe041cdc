#pragma once

#include "insight/counters.h"
#include "insight/eventring.h"
#include "membership/types/membershipview.h"
#include "ownership/table.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"
#include "protocol/types/servicepolicy.h"
#include "requests/internal/exchange.h"
#include "requests/internal/transferqueue.h"
#include "requests/retrybudget.h"
#include "requests/types/routersettings.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// Where a shard's requests go now, or the reason why they can't be forwarded.
struct RouteResult
{
    std::optional<ForwardTarget> target;
    Reason reason = Reason::None;
};

/// Implements RequestRouter.
class RouterCore
{
public:
    RouterCore(DaemonIdentity self, RouterSettings settings, Counters &counters, EventRing &events,
               std::uint64_t randomSeed);

    auto open(Instant now, ExchangeId id, ExchangePurpose purpose, Request request, Outbox &out)
        -> void;
    auto close(Instant now, ExchangeId id, Outbox &out) -> void;
    auto onTable(Instant now, TablePointer table, Outbox &out) -> void;
    auto onPolicies(const std::vector<ServicePolicy> &policies) -> void;
    auto onMembership(Instant now, const MembershipView &view, Outbox &out) -> void;
    auto onForwardEnd(Instant now, const DaemonId &from, const ForwardEnd &message, Outbox &out)
        -> void;
    auto tick(Instant now, Outbox &out) -> void;
    auto beginShutdown(Instant lastEnd) -> void;
    [[nodiscard]] auto isIdle() const -> bool { return this->exchanges.empty(); }

private:
    /// @returns why the request is refused on arrival; Reason::None where it isn't
    [[nodiscard]] auto refusalReason(Instant now, const Request &request) const -> Reason;
    [[nodiscard]] auto routeOf(const ShardId &shard) const -> RouteResult;
    [[nodiscard]] auto policyOf(const ServiceName &service) const -> const ServicePolicy *;
    [[nodiscard]] auto nextAttempt() -> AttemptId;
    /// @returns the delay before the next try, with jitter
    [[nodiscard]] auto backoff(int tries) -> Duration;
    [[nodiscard]] auto retryBudgetOf(const ServiceName &service) -> RetryBudget &;

    auto forwardOrQueue(Instant now, Exchange &exchange, Outbox &out) -> void;
    auto forward(Instant now, Exchange &exchange, const ForwardTarget &target, Outbox &out) -> void;
    auto enqueue(Exchange &exchange, Reason reason) -> TransferQueue &;
    auto retry(Instant now, Exchange &exchange, const ForwardEnd &message, Outbox &out) -> void;
    auto abandonAttempt(Instant now, Exchange &exchange, Reason reason, Outbox &out) -> void;
    auto releaseTransferQueues(Instant now, Outbox &out) -> void;
    auto releaseTransferQueue(Instant now, TransferQueue &queue, const ForwardTarget &target,
                              Outbox &out) -> void;
    auto onTimer(Instant now, Exchange &exchange, Outbox &out) -> void;
    auto setTimer(Exchange &exchange, Instant when) -> void;
    auto finish(Instant now, Exchange &exchange, RequestEnd end, Outbox &out) -> void;
    auto countEnd(Instant now, const Exchange &exchange, const RequestEnd &end) -> void;
    auto erase(Exchange &exchange) -> void;
    auto leaveTransferQueue(const Exchange &exchange) -> void;
    auto applyTable(Instant now, Exchange &exchange) -> void;
    /// Turns a refusal into an unknown end where an earlier attempt may have run, and for outcome
    /// queries, since a refused query says nothing about the request that it asks for.
    [[nodiscard]] static auto finalEnd(const Exchange &exchange, RequestEnd end) -> RequestEnd;
    [[nodiscard]] static auto isListed(const ServicePolicy &policy, const CallerId &caller) -> bool;
    [[nodiscard]] auto refusal(Reason reason) const -> RequestEnd;
    /// @returns the caller's name in metrics; a common one for callers that the policy doesn't list
    [[nodiscard]] auto callerLabel(const Request &request) const -> CallerId;

    DaemonIdentity self;
    RouterSettings settings;
    Counters &counters;
    EventRing &events;
    std::mt19937_64 random;
    TablePointer table;
    std::optional<MembershipView> membership;
    std::map<ServiceName, ServicePolicy> policies;
    std::map<ServiceName, RetryBudget> retryBudgets;
    std::unordered_map<ExchangeId, Exchange> exchanges;
    std::unordered_map<AttemptId, ExchangeId> attempts;
    std::map<ShardId, TransferQueue> transferQueues;
    std::set<std::pair<Instant, ExchangeId>> timers;
    std::uint64_t lastOrder = 0;
    /// Once a shutdown has begun: the latest deadline of a request.
    std::optional<Instant> lastDeadline;
};

} // namespace gooseberrywall
