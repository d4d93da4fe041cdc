#include "requests/internal/routercore.h"

#include "common/logline.h"
#include "common/mutation.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

constexpr int maximalBackoffDoublings = 6;

} // namespace

RouterCore::RouterCore(DaemonIdentity self, RouterSettings settings, Counters &counters,
                       EventRing &events, std::uint64_t randomSeed)
    : self(std::move(self))
    , settings(settings)
    , counters(counters)
    , events(events)
    , random(randomSeed)
{
}

auto RouterCore::refusal(Reason reason) const -> RequestEnd
{
    return RequestEnd::refused(reason, this->settings.defaultRetryAfter);
}

auto RouterCore::policyOf(const ServiceName &service) const -> const ServicePolicy *
{
    const auto found = this->policies.find(service);
    return found == this->policies.end() ? nullptr : &found->second;
}

auto RouterCore::retryBudgetOf(const ServiceName &service) -> RetryBudget &
{
    const auto *policy = this->policyOf(service);
    const int percent = policy != nullptr ? policy->retryBudgetPercent : 0;
    return this->retryBudgets.try_emplace(service, percent).first->second;
}

auto RouterCore::nextAttempt() -> AttemptId
{
    if (isMutated(Mutation::ReuseAttemptId)) {
        return AttemptId{1};
    }
    auto attempt = AttemptId{this->random()};
    while (attempt.value == 0 || this->attempts.contains(attempt)) {
        attempt = AttemptId{this->random()};
    }
    return attempt;
}

auto RouterCore::backoff(int tries) -> Duration
{
    const int doublings = std::clamp(tries - 1, 0, maximalBackoffDoublings);
    const auto longest =
        std::min(this->settings.firstBackoff * (1 << doublings), this->settings.maximalBackoff);
    std::uniform_int_distribution<Duration::rep> jitter(longest.count() / 2, longest.count());
    return Duration{jitter(this->random)};
}

auto RouterCore::refusalReason(Instant now, const Request &request) const -> Reason
{
    if (this->lastDeadline && request.deadline > *this->lastDeadline) {
        return Reason::ShuttingDown;
    }
    // Until the operators' document has arrived, an unlisted service can't be called unknown.
    if (!this->table || this->policies.empty()) {
        return Reason::NotReady;
    }
    const auto *policy = this->policyOf(request.service);
    if (policy == nullptr || !this->table->shardOf(request.service, request.key)) {
        return Reason::UnknownService;
    }
    if (policy->onlyListedCallers && !RouterCore::isListed(*policy, request.caller)) {
        return Reason::UnknownCaller;
    }
    if (request.body.size() > policy->bodyLimitBytes) {
        return Reason::BodyTooLarge;
    }
    if (request.deadline <= now) {
        return Reason::DeadlinePassed;
    }
    if (this->exchanges.size() >= this->settings.maximalExchanges) {
        return Reason::QueueFull;
    }
    return Reason::None;
}

auto RouterCore::routeOf(const ShardId &shard) const -> RouteResult
{
    const auto *entry = this->table->shard(shard);
    if (entry == nullptr || entry->stage != ShardStage::Owned) {
        return {std::nullopt, Reason::NoOwner};
    }
    const auto *upstream = this->table->upstream(entry->owner);
    if (upstream == nullptr || upstream->grantor.empty()) {
        return {std::nullopt, Reason::NoOwner};
    }
    const bool isSelf = upstream->grantor == this->self.id;
    const bool isPresenceKnown = this->membership.has_value() && !isSelf;
    if (isPresenceKnown
        && !this->membership->isPresent(upstream->grantor, upstream->grantorIncarnation)) {
        return {std::nullopt, Reason::GrantorUnreachable};
    }
    return {ForwardTarget{upstream->grantor, upstream->grantorIncarnation, upstream->id,
                          upstream->term},
            Reason::None};
}

auto RouterCore::open(Instant now, ExchangeId id, ExchangePurpose purpose, Request request,
                      Outbox &out) -> void
{
    Exchange exchange;
    exchange.id = id;
    exchange.purpose = purpose;
    exchange.arrivedAt = now;
    exchange.request = std::move(request);
    // A resent request may have run on its first sending, so its end must not be a refusal.
    exchange.mayHaveRun = exchange.request.resend;
    if (purpose == ExchangePurpose::Query) {
        exchange.request.deadline = now + this->settings.outcomeQueryTimeout;
    }
    const auto reason = this->refusalReason(now, exchange.request);
    if (reason != Reason::None) {
        const auto end = this->finalEnd(exchange, this->refusal(reason));
        this->countEnd(now, exchange, end);
        out.toCaller(id, end);
        return;
    }
    exchange.shard = *this->table->shardOf(exchange.request.service, exchange.request.key);
    exchange.order = ++this->lastOrder;
    const auto [position, isNew] = this->exchanges.try_emplace(id, std::move(exchange));
    if (!isNew) {
        return;
    }
    this->setTimer(position->second, position->second.request.deadline);
    this->forwardOrQueue(now, position->second, out);
}

auto RouterCore::forwardOrQueue(Instant now, Exchange &exchange, Outbox &out) -> void
{
    const auto queue = this->transferQueues.find(exchange.shard);
    const auto route = this->routeOf(exchange.shard);
    if (queue == this->transferQueues.end() && route.target) {
        this->forward(now, exchange, *route.target, out);
        return;
    }
    const auto *policy = this->policyOf(exchange.request.service);
    const auto limit = static_cast<std::size_t>(std::max(0, policy->transferQueueLimit));
    if (queue != this->transferQueues.end() && queue->second.waiting.size() >= limit) {
        this->finish(now, exchange, this->refusal(Reason::TransferQueueFull), out);
        return;
    }
    this->enqueue(exchange, route.reason);
}

auto RouterCore::enqueue(Exchange &exchange, Reason reason) -> TransferQueue &
{
    const auto &request = exchange.request;
    exchange.shard = this->table->shardOf(request.service, request.key).value_or(exchange.shard);
    auto &queue = this->transferQueues[exchange.shard];
    exchange.stage = ExchangeStage::Waiting;
    exchange.waitReason = reason == Reason::None ? queue.reason : reason;
    queue.reason = exchange.waitReason;
    queue.waiting.emplace(exchange.order, exchange.id);
    this->setTimer(exchange, exchange.request.deadline);
    return queue;
}

auto RouterCore::onTable(Instant now, TablePointer table, Outbox &out) -> void
{
    if (!table || (this->table && table->version() < this->table->version())) {
        return;
    }
    this->table = std::move(table);
    for (auto &[id, exchange] : this->exchanges) {
        this->applyTable(now, exchange);
    }
    this->releaseTransferQueues(now, out);
}

auto RouterCore::applyTable(Instant now, Exchange &exchange) -> void
{
    if (exchange.stage == ExchangeStage::Forwarded) {
        const auto *upstream = this->table->upstream(exchange.target.upstream);
        if (upstream == nullptr || upstream->term != exchange.target.term) {
            const auto finalDeadline = exchange.request.deadline + this->settings.endMargin;
            this->setTimer(exchange, std::min(now + this->settings.takeoverGrace, finalDeadline));
        }
        return;
    }
    const auto &request = exchange.request;
    const auto shard = this->table->shardOf(request.service, request.key);
    if (shard && *shard != exchange.shard) {
        this->leaveTransferQueue(exchange);
        this->enqueue(exchange, Reason::OwnerChanged);
    }
}

auto RouterCore::onPolicies(const std::vector<ServicePolicy> &policies) -> void
{
    this->policies.clear();
    for (const auto &policy : policies) {
        this->policies.emplace(policy.service, policy);
        this->retryBudgetOf(policy.service).configure(policy.retryBudgetPercent);
    }
}

auto RouterCore::onMembership(Instant now, const MembershipView &view, Outbox &out) -> void
{
    this->membership = view;
    std::vector<ExchangeId> abandoned;
    for (const auto &[id, exchange] : this->exchanges) {
        const auto &target = exchange.target;
        const bool isRemote =
            exchange.stage == ExchangeStage::Forwarded && target.grantor != this->self.id;
        if (isRemote && !view.isPresent(target.grantor, target.grantorIncarnation)) {
            abandoned.push_back(id);
        }
    }
    for (const auto id : abandoned) {
        this->abandonAttempt(now, this->exchanges.at(id), Reason::GrantorUnreachable, out);
    }
    if (this->table) {
        this->releaseTransferQueues(now, out);
    }
}

auto RouterCore::releaseTransferQueues(Instant now, Outbox &out) -> void
{
    for (auto queue = this->transferQueues.begin(); queue != this->transferQueues.end();) {
        const bool isDue = queue->second.retryAt <= now
                           && queue->second.minimalTableVersion <= this->table->version();
        const auto route = isDue ? this->routeOf(queue->first) : RouteResult{};
        if (!route.target) {
            ++queue;
            continue;
        }
        this->releaseTransferQueue(now, queue->second, *route.target, out);
        queue = this->transferQueues.erase(queue);
    }
}

auto RouterCore::releaseTransferQueue(Instant now, TransferQueue &queue,
                                      const ForwardTarget &target, Outbox &out) -> void
{
    for (const auto &[order, id] : queue.waiting) {
        this->forward(now, this->exchanges.at(id), target, out);
    }
}

auto RouterCore::tick(Instant now, Outbox &out) -> void
{
    while (!this->timers.empty() && this->timers.begin()->first <= now) {
        const auto id = this->timers.begin()->second;
        this->timers.erase(this->timers.begin());
        this->onTimer(now, this->exchanges.at(id), out);
    }
    if (this->table) {
        this->releaseTransferQueues(now, out);
    }
}

auto RouterCore::beginShutdown(Instant lastEnd) -> void
{
    this->lastDeadline = lastEnd - this->settings.endMargin;
    for (auto &[id, exchange] : this->exchanges) {
        if (exchange.request.deadline > *this->lastDeadline) {
            exchange.request.deadline = *this->lastDeadline;
            this->setTimer(exchange, std::min(exchange.timerAt, *this->lastDeadline));
        }
    }
}

auto RouterCore::onTimer(Instant now, Exchange &exchange, Outbox &out) -> void
{
    const auto deadline = exchange.request.deadline;
    if (exchange.stage == ExchangeStage::Waiting && now >= deadline) {
        this->finish(now, exchange, RequestEnd::refused(exchange.waitReason), out);
        return;
    }
    const auto finalDeadline = deadline + this->settings.endMargin;
    if (exchange.stage == ExchangeStage::Forwarded && now >= finalDeadline) {
        exchange.mayHaveRun = true;
        this->finish(now, exchange, RequestEnd::unknown(Reason::AnswerLost), out);
        return;
    }
    if (exchange.stage == ExchangeStage::Forwarded && now < deadline) {
        this->abandonAttempt(now, exchange, Reason::WrongGrantor, out);
        return;
    }
    this->setTimer(exchange, exchange.stage == ExchangeStage::Forwarded ? finalDeadline : deadline);
}

auto RouterCore::setTimer(Exchange &exchange, Instant when) -> void
{
    this->timers.erase({exchange.timerAt, exchange.id});
    exchange.timerAt = when;
    this->timers.emplace(when, exchange.id);
}

auto RouterCore::close(Instant now, ExchangeId id, Outbox &out) -> void
{
    const auto found = this->exchanges.find(id);
    if (found == this->exchanges.end()) {
        return;
    }
    auto &exchange = found->second;
    if (exchange.attempt.value != 0) {
        out.toPeer(exchange.target.grantor, ForwardCancel{exchange.attempt});
    }
    this->countEnd(now, exchange, RequestEnd::unknown(Reason::CallerGone));
    this->erase(exchange);
}

auto RouterCore::erase(Exchange &exchange) -> void
{
    this->timers.erase({exchange.timerAt, exchange.id});
    this->attempts.erase(exchange.attempt);
    this->leaveTransferQueue(exchange);
    this->exchanges.erase(exchange.id);
}

auto RouterCore::leaveTransferQueue(const Exchange &exchange) -> void
{
    const auto queue = this->transferQueues.find(exchange.shard);
    if (queue == this->transferQueues.end()) {
        return;
    }
    queue->second.waiting.erase(exchange.order);
    if (queue->second.waiting.empty()) {
        this->transferQueues.erase(queue);
    }
}

} // namespace gooseberrywall
