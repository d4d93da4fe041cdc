#include "requests/tests/testcell.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr UnixMillis wallStart = 1'800'000'000'000;
constexpr Duration tickInterval = std::chrono::milliseconds{5};

} // namespace

struct TestCell::Daemon
{
    Daemon(DaemonIdentity identity, const DispatcherSettings &settings, std::uint64_t seed)
        : identity(std::move(identity))
        , router(this->identity, RouterSettings{}, this->counters, this->events, seed)
        , dispatcher(this->identity, settings, this->grants, this->counters, this->events, seed + 1)
    {
    }

    DaemonIdentity identity;
    Counters counters;
    EventRing events{0};
    TestGrants grants;
    RequestRouter router;
    Dispatcher<TestGrants> dispatcher;
    Outbox out;
    RecordVersion version;
    bool alive = true;
};

TestCell::TestCell(std::uint64_t seed, int daemons, ServicePolicy policy,
                   DispatcherSettings settings)
    : random(seed)
    , policy(std::move(policy))
{
    for (int number = 0; number < daemons; ++number) {
        const auto text = std::to_string(number);
        DaemonIdentity identity{{"d" + text}, {1}, {"domain" + text}, {}};
        this->daemons.push_back(
            std::make_unique<Daemon>(std::move(identity), settings, this->random()));
        this->daemons.back()->router.onPolicies({this->policy});
        this->daemons.back()->dispatcher.onPolicies({this->policy});
    }
    this->record.coordinator = this->daemonId(0);
    this->record.services.push_back({this->policy.service, this->policy.shardCount});
    for (std::uint32_t shard = 0; shard < this->policy.shardCount; ++shard) {
        ShardEntry entry;
        entry.id = {this->policy.service, shard};
        this->record.shards.push_back(std::move(entry));
    }
    this->publish();
    this->publishMembership();
    this->tickAll();
}

TestCell::~TestCell() = default;

auto TestCell::daemonId(int daemon) const -> DaemonId
{
    return this->daemons.at(static_cast<std::size_t>(daemon))->identity.id;
}

auto TestCell::indexOf(const DaemonId &id) const -> int
{
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        if (this->daemons[index]->identity.id == id) {
            return static_cast<int>(index);
        }
    }
    return -1;
}

auto TestCell::isAlive(int daemon) const -> bool
{
    return this->daemons.at(static_cast<std::size_t>(daemon))->alive;
}

auto TestCell::chance(double probability) -> bool
{
    return probability > 0.0
           && std::uniform_real_distribution<double>()(this->random) < probability;
}

auto TestCell::linkDelay() -> Duration
{
    return Duration{std::uniform_int_distribution<int>(400, 1000)(this->random)};
}

auto TestCell::schedule(Instant at, std::function<void()> action) -> void
{
    this->eventQueue.push({std::max(at, this->time), ++this->lastOrder, std::move(action)});
}

auto TestCell::after(Duration delay, std::function<void()> action) -> void
{
    this->schedule(this->time + delay, std::move(action));
}

auto TestCell::at(Duration time, std::function<void()> action) -> void
{
    this->schedule(Instant{time}, std::move(action));
}

auto TestCell::runUntil(Duration time) -> void
{
    const Instant end{time};
    while (!this->eventQueue.empty() && this->eventQueue.top().at <= end) {
        const auto event = this->eventQueue.top();
        this->eventQueue.pop();
        this->time = event.at;
        event.action();
    }
    this->time = end;
}

auto TestCell::tickAll() -> void
{
    const auto sinceStart = this->time.time_since_epoch();
    const auto wall =
        wallStart + std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart).count();
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        auto &daemon = *this->daemons[index];
        if (!daemon.alive) {
            continue;
        }
        daemon.dispatcher.onWallClock(wall);
        daemon.router.tick(this->time, daemon.out);
        daemon.dispatcher.tick(this->time, daemon.out);
        static_cast<void>(daemon.dispatcher.takeRuns());
        this->flush(static_cast<int>(index));
    }
    this->after(tickInterval, [this] { this->tickAll(); });
}

auto TestCell::publish(const std::set<int> &skipped) -> void
{
    this->record.version = this->record.version.next();
    this->grant();
    const auto table = std::make_shared<const Table>(this->record);
    for (int index = 0; index < static_cast<int>(this->daemons.size()); ++index) {
        if (!skipped.contains(index)) {
            this->after(this->linkDelay(),
                        [this, index, table] { this->applyTable(index, table); });
        }
    }
}

auto TestCell::applyTable(int daemon, const TablePointer &table) -> void
{
    auto &target = *this->daemons.at(static_cast<std::size_t>(daemon));
    if (!target.alive || table->version() <= target.version) {
        return;
    }
    target.version = table->version();
    target.grants = {};
    for (const auto &entry : table->record().upstreams) {
        if (entry.grantor == target.identity.id) {
            target.grants.upstreams.insert(entry.id);
        }
    }
    for (const auto &shard : table->record().shards) {
        if (shard.stage == ShardStage::Owned && target.grants.upstreams.contains(shard.owner)) {
            target.grants.fences[shard.id] = shard.fence;
        }
    }
    target.dispatcher.onTable(this->time, table, target.out);
    target.router.onTable(this->time, table, target.out);
    this->flush(daemon);
}

auto TestCell::publishMembership() -> void
{
    MembershipView view;
    for (const auto &daemon : this->daemons) {
        const auto state = daemon->alive ? MemberState::Alive : MemberState::Removed;
        view.members.push_back({daemon->identity.id,
                                daemon->identity.incarnation,
                                daemon->identity.domain,
                                {},
                                state});
    }
    for (int index = 0; index < static_cast<int>(this->daemons.size()); ++index) {
        auto &daemon = *this->daemons[static_cast<std::size_t>(index)];
        if (daemon.alive) {
            daemon.dispatcher.onMembership(this->time, view, daemon.out);
            daemon.router.onMembership(this->time, view, daemon.out);
            this->flush(index);
        }
    }
}

auto TestCell::killDaemon(int daemon) -> void
{
    this->daemons.at(static_cast<std::size_t>(daemon))->alive = false;
}

auto TestCell::beginShutdown(int daemon) -> void
{
    auto &target = *this->daemons.at(static_cast<std::size_t>(daemon));
    target.dispatcher.beginShutdown(this->time, target.out);
    this->flush(daemon);
}

auto TestCell::stopRouter(int daemon, Duration lastEnd) -> void
{
    this->daemons.at(static_cast<std::size_t>(daemon))->router.beginShutdown(Instant{lastEnd});
    this->flush(daemon);
}

auto TestCell::isIdle(int daemon) const -> bool
{
    const auto &target = *this->daemons.at(static_cast<std::size_t>(daemon));
    return target.dispatcher.isIdle() && target.router.isIdle();
}

auto TestCell::setCut(int one, int other, bool isCut) -> void
{
    for (const auto &link : {std::pair(one, other), std::pair(other, one)}) {
        if (isCut) {
            this->cuts.insert(link);
        } else {
            this->cuts.erase(link);
        }
    }
}

auto TestCell::submit(int daemon, Request request, Duration timeout) -> std::size_t
{
    auto &target = *this->daemons.at(static_cast<std::size_t>(daemon));
    request.service = this->policy.service;
    request.deadline = this->time + timeout;
    const auto index = this->views.size();
    this->views.push_back({request, this->time, {}, {}});
    target.router.onRequest(this->time, ExchangeId{index + 1}, std::move(request), target.out);
    this->flush(daemon);
    return index;
}

auto TestCell::flush(int daemon) -> void
{
    auto &source = *this->daemons.at(static_cast<std::size_t>(daemon));
    for (const auto &send : std::exchange(source.out.callerSends, {})) {
        auto &view = this->views.at(send.exchange.value - 1);
        view.ends.push_back(send.end);
        view.endedAt = this->time;
    }
    for (const auto &send : std::exchange(source.out.peerSends, {})) {
        this->sendPeer(daemon, send);
    }
    for (auto &send : std::exchange(source.out.upstreamSends, {})) {
        this->sendUpstream(daemon, std::move(send));
    }
    source.out.logLines.clear();
}

auto TestCell::sendPeer(int from, const PeerSend &send) -> void
{
    const int to = this->indexOf(send.to);
    if (to < 0 || std::holds_alternative<TableRequest>(send.message)) {
        return;
    }
    const auto deliver = [this, from, to, message = send.message] {
        this->deliverPeer(from, to, message);
    };
    if (from == to) {
        this->after(Duration{0}, deliver);
        return;
    }
    if (this->chance(this->faults.dropPeer)) {
        return;
    }
    const auto delay =
        this->chance(this->faults.delayPeer) ? Duration{static_cast<Duration::rep>(
            this->random() % static_cast<std::uint64_t>(TestCell::longestDelay.count()))}
                                             : this->linkDelay();
    this->after(delay, deliver);
    if (this->chance(this->faults.duplicatePeer)) {
        this->after(2 * delay, deliver);
    }
}

auto TestCell::deliverPeer(int from, int to, const PeerMessage &message) -> void
{
    auto &target = *this->daemons.at(static_cast<std::size_t>(to));
    if (!target.alive || this->cuts.contains({from, to})) {
        return;
    }
    const auto sender = this->daemonId(from);
    if (!target.dispatcher.onMessage(this->time, sender, message, target.out)) {
        target.router.onMessage(this->time, sender, message, target.out);
    }
    this->flush(to);
}

auto TestCell::sendUpstream(int daemon, UpstreamSend send) -> void
{
    const auto id = ++this->lastCall;
    this->calls[id] = {daemon, send.call, send.upstream};
    const bool isRun = std::holds_alternative<RunRequest>(send.request);
    this->runCalls += isRun ? 1 : 0;
    this->after(send.timeout, [this, id] { this->answerCall(id, UpstreamFailure::NoAnswer); });
    this->after(this->linkDelay(), [this, id, send = std::move(send)] {
        auto &server = this->servers.at(send.upstream);
        const auto *run = std::get_if<RunRequest>(&send.request);
        if (run != nullptr && this->serviceTime) {
            server.model->setServiceTime(this->serviceTime(*run));
        }
        server.model->receive(this->time, CallId{id}, send.request);
        this->collectReplies(send.upstream);
    });
}

auto TestCell::answerCall(std::uint64_t globalCall, const UpstreamAnswer &answer) -> void
{
    const auto found = this->calls.find(globalCall);
    if (found == this->calls.end()) {
        return;
    }
    const auto call = found->second;
    this->calls.erase(found);
    auto &daemon = *this->daemons.at(static_cast<std::size_t>(call.daemon));
    if (daemon.alive) {
        daemon.dispatcher.onUpstreamAnswer(this->time, call.call, answer, daemon.out);
        this->flush(call.daemon);
    }
}

auto TestCell::callerGone(std::size_t request) -> void
{
    for (int index = 0; index < static_cast<int>(this->daemons.size()); ++index) {
        auto &daemon = *this->daemons[static_cast<std::size_t>(index)];
        if (daemon.alive) {
            daemon.router.onCallerGone(this->time, ExchangeId{request + 1}, daemon.out);
            this->flush(index);
        }
    }
}

} // namespace gooseberrywall
