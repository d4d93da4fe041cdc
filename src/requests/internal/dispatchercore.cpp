#include "requests/internal/dispatchercore.h"

#include <utility>
#include <variant>

namespace gooseberrywall {

DispatcherCore::DispatcherCore(DaemonIdentity self, DispatcherSettings settings, GrantAccess grants,
                               Counters &counters, EventRing &events, std::uint64_t randomSeed)
    : context{std::move(self),
              settings,
              std::move(grants),
              counters,
              events,
              std::mt19937_64(randomSeed),
              CrashTracker(settings.suspectRetention),
              nullptr,
              {},
              {},
              0,
              Instant{}}
    , mirrors(context.self)
    , memories(context)
{
}

auto DispatcherCore::isSelfGrantor(const UpstreamEntry &entry) const -> bool
{
    return entry.grantor == this->context.self.id
           && entry.grantorIncarnation == this->context.self.incarnation;
}

auto DispatcherCore::refuse(const DaemonId &to, AttemptId attempt, Reason reason, Outbox &out)
    -> void
{
    const auto version = this->context.table ? this->context.table->version() : RecordVersion{};
    out.toPeer(to, ForwardEnd{attempt, RequestEnd::refused(reason), version});
}

auto DispatcherCore::channelFor(const UpstreamId &upstream, Term term) -> UpstreamChannel *
{
    const auto found = this->channels.find(upstream);
    const bool isServed = found != this->channels.end() && !found->second->isRetired()
                          && found->second->entry().term == term
                          && this->context.grants.isGrantorOf(upstream);
    return isServed ? found->second.get() : nullptr;
}

auto DispatcherCore::isCurrentShard(const ForwardRequest &message) const -> bool
{
    const auto &request = message.request;
    return this->context.table->shardOf(request.service, request.key) == message.shard;
}

auto DispatcherCore::onMessage(Instant now, const DaemonId &from, const PeerMessage &message,
                               Outbox &out) -> bool
{
    if (const auto *forward = std::get_if<ForwardRequest>(&message)) {
        this->onForward(now, from, *forward, out);
        return true;
    }
    if (const auto *query = std::get_if<OutcomeQuery>(&message)) {
        this->onQuery(now, from, *query, out);
        return true;
    }
    if (const auto *cancel = std::get_if<ForwardCancel>(&message)) {
        this->onCancel(now, from, cancel->attempt, out);
        return true;
    }
    if (const auto *update = std::get_if<MirrorUpdate>(&message)) {
        this->mirrors.onUpdate(this->context.outcomeTime(now), from, *update, out);
        return true;
    }
    if (const auto *answer = std::get_if<MirrorAnswer>(&message)) {
        this->onMirrorAnswer(now, from, *answer, out);
        return true;
    }
    if (const auto *crash = std::get_if<CrashSuspects>(&message)) {
        // Not for the dispatcher alone: the coordinator counts crashes too.
        this->context.crashes.onCrash(now, *crash);
        return false;
    }
    if (const auto *cleared = std::get_if<SuspectsCleared>(&message)) {
        this->context.crashes.onCleared(*cleared);
        return false;
    }
    return this->memories.onMessage(now, from, message, this->channels, out);
}

auto DispatcherCore::onForward(Instant now, const DaemonId &from, const ForwardRequest &message,
                               Outbox &out) -> void
{
    if (!this->seenAttempts.insert(now, message.attempt)) {
        return;
    }
    auto *channel = this->channelFor(message.upstream, message.term);
    if (this->shuttingDown || channel == nullptr || !this->isCurrentShard(message)) {
        const auto reason = this->shuttingDown ? Reason::ShuttingDown : Reason::WrongGrantor;
        this->refuse(from, message.attempt, reason, out);
        return;
    }
    const auto *shard = this->context.table->shard(message.shard);
    const bool isOwned = shard != nullptr && shard->stage == ShardStage::Owned
                         && shard->owner == message.upstream
                         && this->context.grants.fenceFor(now, message.shard).has_value();
    if (!isOwned) {
        this->refuse(from, message.attempt, Reason::OwnerChanged, out);
        return;
    }
    channel->accept(now, from, message, out);
}

auto DispatcherCore::onQuery(Instant now, const DaemonId &from, const OutcomeQuery &message,
                             Outbox &out) -> void
{
    auto *channel = this->channelFor(message.upstream, message.term);
    if (channel == nullptr) {
        this->refuse(from, message.attempt, Reason::WrongGrantor, out);
        return;
    }
    channel->query(now, from, message, out);
}

auto DispatcherCore::onCancel(Instant now, const DaemonId &from, AttemptId attempt, Outbox &out)
    -> void
{
    // The request may arrive after its cancellation.
    this->seenAttempts.insert(now, attempt);
    for (auto &[id, channel] : this->channels) {
        if (channel->cancel(now, from, attempt, out)) {
            return;
        }
    }
}

auto DispatcherCore::onMirrorAnswer(Instant now, const DaemonId &from, const MirrorAnswer &message,
                                    Outbox &out) -> void
{
    const auto channel = this->channels.find(message.upstream);
    if (channel != this->channels.end()) {
        channel->second->onMirrorAnswer(now, from, message, out);
    }
}

auto DispatcherCore::onUpstreamAnswer(Instant now, CallId call, const UpstreamAnswer &answer,
                                      Outbox &out) -> bool
{
    for (auto &[id, channel] : this->channels) {
        if (channel->onAnswer(now, call, answer, out)) {
            return true;
        }
    }
    return false;
}

auto DispatcherCore::onTable(Instant now, TablePointer table, Outbox &out) -> void
{
    if (!table || (this->context.table && table->version() <= this->context.table->version())) {
        return;
    }
    const auto previous = std::exchange(this->context.table, std::move(table));
    this->context.crashes.onTable(this->context.table);
    this->updateChannels(now, previous, out);
    this->mirrors.onTable(this->context.table);
    this->memories.onTable(now, previous, this->channels, out);
}

auto DispatcherCore::updateChannels(Instant now, const TablePointer &previous, Outbox &out) -> void
{
    for (auto &[id, channel] : this->channels) {
        const auto *entry = this->context.table->upstream(id);
        if (entry != nullptr && this->isSelfGrantor(*entry)) {
            channel->resume();
        } else if (!channel->isRetired()) {
            channel->retire(now, Reason::WrongGrantor, out);
        }
        if (entry != nullptr) {
            channel->updateEntry(now, *entry, out);
        }
    }
    for (const auto &entry : this->context.table->record().upstreams) {
        if (this->isSelfGrantor(entry)) {
            this->openChannel(now, entry, previous, out);
        }
    }
}

auto DispatcherCore::openChannel(Instant now, const UpstreamEntry &entry,
                                 const TablePointer &previous, Outbox &out) -> void
{
    const auto policy = this->policies.find(entry.service);
    if (policy == this->policies.end() || this->channels.contains(entry.id)) {
        return;
    }
    auto channel = std::make_unique<UpstreamChannel>(now, entry, policy->second, this->context);
    const auto *previousEntry = previous ? previous->upstream(entry.id) : nullptr;
    if (previous && (previousEntry == nullptr || previousEntry->incarnation != entry.incarnation)) {
        channel->onColdStart(now);
    }
    const bool isNext = previous && previous->version().next() == this->context.table->version();
    if (isNext && previousEntry != nullptr) {
        if (auto memory = this->mirrors.take(entry.id, previousEntry->term)) {
            channel->adoptMemory(now, std::move(*memory));
        }
    }
    channel->tick(now, out);
    this->channels.emplace(entry.id, std::move(channel));
}

auto DispatcherCore::onPolicies(const std::vector<ServicePolicy> &policies) -> void
{
    this->policies.clear();
    for (const auto &policy : policies) {
        this->policies.emplace(policy.service, policy);
        this->context.crashes.setThreshold(policy.service, policy.quarantineAfterCrashes);
    }
    for (auto &[id, channel] : this->channels) {
        const auto policy = this->policies.find(channel->entry().service);
        if (policy != this->policies.end()) {
            channel->configure(policy->second);
        }
    }
    this->policiesChanged = true;
}

auto DispatcherCore::applyPolicies(Instant now, Outbox &out) -> void
{
    // The table may already hold upstreams of a service whose policy was unknown until now.
    this->policiesChanged = false;
    this->updateChannels(now, nullptr, out);
    this->memories.onTable(now, nullptr, this->channels, out);
}

auto DispatcherCore::onMembership(const MembershipView &view) -> void
{
    this->context.membership = view;
}

auto DispatcherCore::onWallClock(UnixMillis wall) -> void
{
    this->context.wallClock = wall;
    this->context.wallClockReadAt = this->lastTick;
}

auto DispatcherCore::tick(Instant now, Outbox &out) -> void
{
    this->lastTick = now;
    if (!this->context.table) {
        return;
    }
    if (this->policiesChanged) {
        this->applyPolicies(now, out);
    }
    this->context.crashes.expire(now);
    this->seenAttempts.expire(now);
    for (auto channel = this->channels.begin(); channel != this->channels.end();) {
        channel->second->tick(now, out);
        const bool isFinished = channel->second->isRetired() && !channel->second->hasJobs()
                                && !channel->second->coversAnyShard();
        channel = isFinished ? this->channels.erase(channel) : std::next(channel);
    }
    this->memories.tick(now, this->channels, out);
}

auto DispatcherCore::beginShutdown(Instant now, Outbox &out) -> void
{
    this->shuttingDown = true;
    for (auto &[id, channel] : this->channels) {
        channel->returnQueued(now, Reason::ShuttingDown, std::nullopt, out);
    }
}

auto DispatcherCore::isIdle() const -> bool
{
    for (const auto &[id, channel] : this->channels) {
        if (!channel->isIdle(this->lastTick)) {
            return false;
        }
    }
    return this->memories.isIdle();
}

auto DispatcherCore::takeRuns() -> std::vector<CompletedRun>
{
    return std::exchange(this->context.completedRuns, {});
}

auto DispatcherCore::upstreamLoads(Instant now) -> std::vector<UpstreamLoad>
{
    std::vector<UpstreamLoad> loads;
    for (auto &[id, channel] : this->channels) {
        if (!channel->isRetired()) {
            loads.push_back(channel->takeLoad(now));
        }
    }
    return loads;
}

} // namespace gooseberrywall
