#include "ownership/internal/upstreamsession.h"

#include "ownership/internal/servicepolicies.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t requestReadingLimit = 16;

/// @returns the fence of a revocation, above the revoked grant's and below that of the next grant
auto revocationFence(Fence fence) -> Fence
{
    return {fence.term, fence.sequence + 1};
}

} // namespace

UpstreamSession::UpstreamSession(Instant now, const UpstreamEntry &entry)
    : entry(entry)
    , nextGrantCallAt(now)
    , nextRevocationAt(now)
    , lastAnswerAt(now)
    , soleGrantorSince(now)
{
}

auto UpstreamSession::update(Instant now, const UpstreamEntry &newEntry, bool isActive,
                             std::optional<Term> newFormerTerm, std::vector<ShardEntry> newShards)
    -> void
{
    const auto becomesSoleGrantor =
        newEntry.formerGrantors.empty() && !this->entry.formerGrantors.empty();
    // A new term may follow versions with another grantor that this daemon didn't see.
    const auto mayHaveMissedGrantor = newEntry.term != this->entry.term;
    if (becomesSoleGrantor || mayHaveMissedGrantor) {
        this->soleGrantorSince = now;
    }
    const auto isUnchanged =
        newEntry == this->entry && newShards == this->shards && isActive == this->active;
    this->isSendDue = this->isSendDue || !isUnchanged;
    if (newEntry.incarnation != this->entry.incarnation) {
        this->grants.clear();
        this->lastReading.reset();
        this->readingsByRequest.clear();
        this->authorizedReading.reset();
    }
    if (newEntry.term != this->entry.term) {
        this->accepted = false;
        this->superseded = false;
        this->draining = false;
    }
    this->entry = newEntry;
    this->active = isActive;
    this->formerTerm = newFormerTerm;
    this->shards = std::move(newShards);
}

auto UpstreamSession::resume(Instant now) -> void
{
    this->lastAnswerAt = now;
}

auto UpstreamSession::tick(const SessionContext &context, Outbox &out) -> void
{
    this->sendDueCalls(context, out);
    if (this->lastReportAt && context.now - *this->lastReportAt < context.settings.reportInterval) {
        return;
    }
    this->report(context, out);
}

auto UpstreamSession::sendDueCalls(const SessionContext &context, Outbox &out) -> void
{
    if (!this->active || this->superseded) {
        return;
    }
    if (!this->grantCall && (this->isSendDue || context.now >= this->nextGrantCallAt)) {
        this->sendGrants(context, out);
    }
    if (context.now >= this->nextRevocationAt) {
        this->sendRevocations(context, out);
    }
}

auto UpstreamSession::isSafeFromFormerGrantors(const SessionContext &context) const -> bool
{
    return context.policy.checksSender || this->entry.formerGrantors.empty();
}

auto UpstreamSession::canOrder(const SessionContext &context) const -> bool
{
    return this->active && !this->superseded && context.mayOrder
           && this->entry.incarnation.value != 0
           && this->answeringIncarnation == this->entry.incarnation
           && this->isSafeFromFormerGrantors(context);
}

auto UpstreamSession::readingForOrders(const SessionContext &context) const
    -> std::optional<ClockReading>
{
    const auto kind = authorityKind(context.policy);
    return kind == AuthorityKind::RoundTrip ? this->authorizedReading : this->lastReading;
}

auto UpstreamSession::mustRevoke(const ShardEntry &shard) const -> bool
{
    return shard.stage == ShardStage::Transferring || this->entry.state == UpstreamState::Lost;
}

auto UpstreamSession::isUnreachable(const SessionContext &context) const -> bool
{
    return context.now - this->lastAnswerAt >= context.settings.unreachableAfter;
}

auto UpstreamSession::grantOrders(const SessionContext &context, const ClockReading &reading) const
    -> std::vector<GrantOrder>
{
    std::vector<GrantOrder> orders;
    for (const auto &shard : this->shards) {
        if (this->mustRevoke(shard) || this->shardsInOpenCalls.contains(shard.id)) {
            continue;
        }
        GrantOrder order{shard.id, shard.fence, GrantAction::Grant, std::nullopt, Duration{0}};
        if (context.policy.grantsExpire) {
            order.until = reading.clock + context.policy.grantTimeToLive;
            order.timeToLive = context.policy.grantTimeToLive;
        }
        orders.push_back(std::move(order));
    }
    return orders;
}

auto UpstreamSession::sendGrants(const SessionContext &context, Outbox &out) -> void
{
    OpenCall call;
    call.sentAt = context.now;
    call.term = this->entry.term;
    const auto reading = this->readingForOrders(context);
    if (reading && this->canOrder(context)) {
        call.reading = *reading;
        call.orders = this->grantOrders(context, *reading);
    }
    if (context.mayOrder && this->isSafeFromFormerGrantors(context)) {
        call.incarnation = this->entry.incarnation;
    }
    for (const auto &order : call.orders) {
        this->grants.onGrantSent(order.shard, call.reading, context.policy);
    }
    this->isSendDue = false;
    this->nextGrantCallAt = context.now + context.settings.renewInterval;
    this->grantCall = this->send(context, std::move(call), context.settings.callTimeout, out);
}

auto UpstreamSession::revocationOrders() const -> std::vector<GrantOrder>
{
    std::vector<GrantOrder> orders;
    for (const auto &shard : this->shards) {
        const auto revocation = this->revokedFences.find(shard.id);
        const auto isAcknowledged =
            revocation != this->revokedFences.end() && revocation->second == shard.fence;
        if (!this->mustRevoke(shard) || isAcknowledged
            || this->shardsInOpenCalls.contains(shard.id)) {
            continue;
        }
        orders.push_back({shard.id, revocationFence(shard.fence), GrantAction::Revoke, std::nullopt,
                          Duration{0}});
    }
    return orders;
}

auto UpstreamSession::sendRevocations(const SessionContext &context, Outbox &out) -> void
{
    const auto isSilent = this->entry.state == UpstreamState::Lost && this->isUnreachable(context);
    if (!this->canOrder(context) || isSilent) {
        return;
    }
    OpenCall call;
    call.orders = this->revocationOrders();
    if (call.orders.empty()) {
        return;
    }
    call.sentAt = context.now;
    call.term = this->entry.term;
    call.incarnation = this->entry.incarnation;
    const auto timeout = context.policy.drainTimeout + context.settings.callTimeout;
    this->send(context, std::move(call), timeout, out);
}

auto UpstreamSession::send(const SessionContext &context, OpenCall call, Duration timeout,
                           Outbox &out) -> CallId
{
    for (const auto &order : call.orders) {
        this->shardsInOpenCalls.insert(order.shard);
    }
    const GrantBatch batch{context.self.id, call.term, call.incarnation, call.orders};
    const auto id = out.toUpstream(this->entry.id, this->entry.address, batch, timeout);
    this->calls.emplace(id, std::move(call));
    return id;
}

auto UpstreamSession::onAnswer(const SessionContext &context, CallId id,
                               const UpstreamAnswer &answer, Outbox &out) -> bool
{
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
        return false;
    }
    const auto call = std::move(found->second);
    this->calls.erase(found);
    if (this->grantCall == id) {
        this->grantCall.reset();
    }
    for (const auto &order : call.orders) {
        this->shardsInOpenCalls.erase(order.shard);
    }
    if (const auto *batch = std::get_if<GrantBatchAnswer>(&answer)) {
        this->applyAnswer(context, call, *batch);
    } else if (const auto *failure = std::get_if<UpstreamFailure>(&answer)) {
        this->applyFailure(context, call, *failure);
    } else {
        this->applyFailure(context, call, UpstreamFailure::BadAnswer);
    }
    this->tick(context, out);
    return true;
}

auto UpstreamSession::applyFailure(const SessionContext &context, const OpenCall &call,
                                   UpstreamFailure failure) -> void
{
    const auto retryAt = context.now + context.settings.retryInterval;
    const auto isRevocation =
        !call.orders.empty() && call.orders.front().action == GrantAction::Revoke;
    if (isRevocation) {
        this->nextRevocationAt = retryAt;
        return;
    }
    this->nextGrantCallAt = retryAt;
    for (const auto &order : call.orders) {
        if (failure != UpstreamFailure::NotSent) {
            this->grants.onNoAnswer(order.shard);
        }
    }
}

auto UpstreamSession::applyAnswer(const SessionContext &context, const OpenCall &call,
                                  const GrantBatchAnswer &answer) -> void
{
    this->lastAnswerAt = context.now;
    this->answeringIncarnation = answer.incarnation;
    const auto isCurrent = call.term == this->entry.term;
    if (answer.incarnation != this->entry.incarnation) {
        return;
    }
    const ClockReading reading{call.sentAt, context.now, answer.clock};
    if (!this->lastReading || reading.clock > this->lastReading->clock) {
        this->isSendDue = this->isSendDue || !this->lastReading;
        this->lastReading = reading;
    }
    for (const auto &held : answer.held) {
        this->grants.onGrantHeld(held, reading, context.policy);
    }
    if (answer.refused) {
        this->superseded = isCurrent && answer.highestTerm > this->entry.term;
        return;
    }
    this->accepted = this->accepted || (isCurrent && call.incarnation == this->entry.incarnation);
    const auto count = std::min(call.orders.size(), answer.results.size());
    for (std::size_t i = 0; i < count; ++i) {
        if (answer.results[i].shard == call.orders[i].shard) {
            this->applyResult(context, call, reading, i, answer.results[i].status);
        }
    }
}

auto UpstreamSession::applyResult(const SessionContext &context, const OpenCall &call,
                                  const ClockReading &reading, std::size_t index,
                                  GrantStatus status) -> void
{
    const auto &order = call.orders[index];
    if (status == GrantStatus::Draining) {
        this->draining = true;
    }
    if (order.action == GrantAction::Revoke) {
        if (status == GrantStatus::Done) {
            this->grants.onRevoked(order.shard, reading, context.policy);
            this->revokedFences[order.shard] = {order.fence.term, order.fence.sequence - 1};
        }
        return;
    }
    if (status == GrantStatus::Done) {
        this->grants.onGrantConfirmed(order.shard, order.fence, call.reading, context.policy);
        return;
    }
    this->grants.onGrantRejected(order.shard);
    if (status == GrantStatus::Expired) {
        this->nextGrantCallAt = context.now;
    }
}

auto UpstreamSession::onAuthorityRequested(std::uint64_t sequence) -> void
{
    if (!this->lastReading) {
        return;
    }
    this->readingsByRequest[sequence] = *this->lastReading;
    if (this->readingsByRequest.size() > requestReadingLimit) {
        this->readingsByRequest.erase(this->readingsByRequest.begin());
    }
}

auto UpstreamSession::onAuthorityConfirmed(std::uint64_t sequence) -> void
{
    const auto reading = this->readingsByRequest.find(sequence);
    if (reading == this->readingsByRequest.end()) {
        return;
    }
    this->isSendDue = this->isSendDue || !this->authorizedReading;
    this->authorizedReading = reading->second;
    this->readingsByRequest.erase(this->readingsByRequest.begin(), std::next(reading));
}

auto UpstreamSession::fenceFor(const SessionContext &context, const ShardEntry &shard) const
    -> std::optional<Fence>
{
    if (shard.stage != ShardStage::Owned || this->entry.state == UpstreamState::Lost) {
        return std::nullopt;
    }
    if (!this->canOrder(context)) {
        return std::nullopt;
    }
    const auto fence = this->grants.liveFence(context.now, shard.id);
    return fence == shard.fence ? fence : std::nullopt;
}

} // namespace gooseberrywall
