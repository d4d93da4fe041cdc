#include "virtualcell.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

constexpr Duration tickInterval = std::chrono::milliseconds{10};
constexpr Duration heartbeatInterval = std::chrono::milliseconds{250};
constexpr Duration removalTimeout = std::chrono::milliseconds{1200};
constexpr Duration vmListInterval = std::chrono::seconds{1};

} // namespace

VirtualCell::VirtualCell(VirtualCellOptions options)
    : options(std::move(options))
    , random(this->options.seed)
{
    std::uniform_real_distribution<double> rate(1.0 - this->options.maxClockRateDeviation,
                                                1.0 + this->options.maxClockRateDeviation);
    std::uniform_int_distribution<Duration::rep> offset(0, 1'000'000'000);
    for (int i = 0; i < this->options.daemons; ++i) {
        DaemonNode node;
        node.self.id = daemonId(i);
        node.self.domain = FailureDomain{"z" + std::to_string(i % this->options.domains)};
        node.clock = {rate(this->random), Duration{offset(this->random)}};
        this->daemons.push_back(std::move(node));
    }
    for (int i = 0; i < this->options.upstreams; ++i) {
        UpstreamNode node;
        const auto service = static_cast<std::size_t>(i) % this->options.services.size();
        const auto id = upstreamId(i).value;
        node.vm = {id,
                   VmRole::Upstream,
                   VmState::Live,
                   this->options.services[service].service,
                   FailureDomain{"z" + std::to_string((i / 2) % this->options.domains)},
                   Address{id + ":1"}};
        node.clock = {rate(this->random), Duration{offset(this->random)}};
        this->upstreams.push_back(std::move(node));
    }
    for (int i = 0; i < this->options.upstreams; ++i) {
        this->startUpstream(i);
    }
    for (int i = 0; i < this->options.daemons; ++i) {
        this->startDaemon(i);
    }
    this->exchangeHeartbeats();
    this->sendVmLists();
}

auto VirtualCell::scheduleAt(Instant when, std::function<void()> action) -> void
{
    this->events.push({std::max(when, this->now), this->eventCount++, std::move(action)});
}

auto VirtualCell::run(Duration time) -> void
{
    const auto end = this->now + time;
    while (!this->events.empty() && this->events.top().at <= end) {
        const auto event = this->events.top();
        this->events.pop();
        this->now = event.at;
        event.action();
    }
    this->now = end;
}

auto VirtualCell::daemonClock(const DaemonNode &node) const -> Instant
{
    return Instant{node.clock.at(this->now)};
}

auto VirtualCell::upstreamClock(const UpstreamNode &node) const -> UpstreamInstant
{
    return UpstreamInstant{node.clock.at(this->now)};
}

auto VirtualCell::startDaemon(int index) -> void
{
    auto &node = this->daemons[static_cast<std::size_t>(index)];
    node.self.incarnation = Incarnation{++this->incarnationCount};
    node.up = true;
    node.silentSince = Instant::max();
    node.calls.clear();
    node.tableKeeper = std::make_unique<TableKeeper>(node.self);
    node.grantor = std::make_unique<Grantor>(node.self, GrantorSettings{});
    node.coordinator = std::make_unique<Coordinator<FewestShards>>(
        node.self, CoordinatorSettings{}, FewestShards(this->extraPlan), this->incarnationCount);
    node.grantor->onPolicies(this->options.services);
    node.coordinator->onPolicies(this->options.services);
    std::uniform_int_distribution<Duration::rep> phase(0, tickInterval.count());
    const auto incarnation = node.self.incarnation;
    this->scheduleAt(this->now + Duration{phase(this->random)},
                     [this, index, incarnation] { this->tickDaemon(index, incarnation); });
}

auto VirtualCell::startUpstream(int index) -> void
{
    auto &node = this->upstreams[static_cast<std::size_t>(index)];
    node.up = true;
    const auto &policy =
        *std::find_if(this->options.services.begin(), this->options.services.end(),
                      [&](const auto &candidate) { return candidate.service == node.vm.service; });
    node.fakeUpstream = FakeUpstream(Incarnation{++this->incarnationCount}, policy.checksSender,
                                     policy.grantsExpire);
}

auto VirtualCell::runOnDaemon(int index, Incarnation incarnation,
                              std::function<void(DaemonNode &)> step) -> void
{
    auto &node = this->daemons[static_cast<std::size_t>(index)];
    if (!node.up || node.self.incarnation != incarnation) {
        return;
    }
    if (this->now < node.pausedUntil) {
        this->scheduleAt(node.pausedUntil, [this, index, incarnation, step = std::move(step)] {
            this->runOnDaemon(index, incarnation, step);
        });
        return;
    }
    step(node);
    this->sendOutbox(index);
}

auto VirtualCell::tickDaemon(int index, Incarnation incarnation) -> void
{
    this->runOnDaemon(index, incarnation, [this, index, incarnation](DaemonNode &node) {
        const auto time = this->daemonClock(node);
        node.coordinator->tick(time, node.out);
        node.grantor->tick(time, node.out);
        this->scheduleAt(this->now + tickInterval,
                         [this, index, incarnation] { this->tickDaemon(index, incarnation); });
    });
}

auto VirtualCell::sendOutbox(int index) -> void
{
    auto &node = this->daemons[static_cast<std::size_t>(index)];
    const auto time = this->daemonClock(node);
    if (auto record = node.coordinator->takeNewRecord()) {
        if (node.tableKeeper->adopt(std::move(*record))) {
            node.coordinator->onTable(time, node.tableKeeper->table());
            node.grantor->onTable(time, node.tableKeeper->table(), node.out);
            node.tableKeeper->publish(time, node.view, node.out);
        }
    }
    const auto out = node.out;
    node.out.clear();
    for (const auto &send : out.peerSends) {
        this->sendPeer(index, send);
    }
    for (const auto &send : out.storeSends) {
        this->sendStore(index, send);
    }
    for (const auto &send : out.upstreamSends) {
        this->sendUpstream(index, send);
    }
}

auto VirtualCell::viewOf(int viewer) -> MembershipView
{
    MembershipView view;
    for (std::size_t i = 0; i < this->daemons.size(); ++i) {
        auto &node = this->daemons[i];
        const auto isSilent =
            !node.up || this->now < node.pausedUntil || node.isolation != Isolation::None;
        if (!isSilent) {
            node.silentSince = Instant::max();
        } else if (node.silentSince == Instant::max()) {
            node.silentSince = this->now;
        }
        const auto &self = this->daemons[static_cast<std::size_t>(viewer)];
        const auto isSelf = static_cast<int>(i) == viewer;
        const auto silentSince = self.isolation != Isolation::None
                                     ? std::min(self.silentSince, node.silentSince)
                                     : node.silentSince;
        const auto isRemoved =
            !isSelf && silentSince != Instant::max() && this->now - silentSince >= removalTimeout;
        view.members.push_back({node.self.id, node.self.incarnation, node.self.domain, Address{},
                                isRemoved ? MemberState::Removed : MemberState::Alive});
    }
    std::sort(view.members.begin(), view.members.end(),
              [](const auto &left, const auto &right) { return left.id < right.id; });
    return view;
}

auto VirtualCell::exchangeHeartbeats() -> void
{
    constexpr int viewsPerHeartbeat = 5;
    static_assert(heartbeatInterval.count() % viewsPerHeartbeat == 0);
    for (int i = 0; i < this->options.daemons; ++i) {
        const auto view = this->viewOf(i);
        auto &node = this->daemons[static_cast<std::size_t>(i)];
        this->runOnDaemon(i, node.self.incarnation, [this, view](DaemonNode &daemon) {
            daemon.view = view;
            daemon.coordinator->onMembership(this->daemonClock(daemon), view);
        });
        if (!node.up || this->now < node.pausedUntil || node.isolation != Isolation::None) {
            continue;
        }
        // One random peer per round; all pairs exchange versions within a few heartbeat intervals.
        std::uniform_int_distribution<int> pick(0, this->options.daemons - 1);
        for (int round = 0; round < 3; ++round) {
            const auto peer = pick(this->random);
            auto &other = this->daemons[static_cast<std::size_t>(peer)];
            if (other.isolation != Isolation::None
                || this->randomBool(this->options.dropProbability)) {
                continue;
            }
            this->runOnDaemon(peer, other.self.incarnation,
                              [this, id = node.self.id,
                               version = node.tableKeeper->version()](DaemonNode &daemon) {
                                  daemon.tableKeeper->onPeerVersion(this->daemonClock(daemon), id,
                                                                    version, daemon.out);
                              });
        }
    }
    this->scheduleAt(this->now + heartbeatInterval / viewsPerHeartbeat,
                     [this] { this->exchangeHeartbeats(); });
}

auto VirtualCell::sendVmLists() -> void
{
    std::vector<VmEntry> list;
    for (const auto &node : this->daemons) {
        list.push_back(
            {node.self.id.value, VmRole::Daemon, VmState::Live, {}, node.self.domain, Address{}});
    }
    for (const auto &node : this->upstreams) {
        list.push_back(node.vm);
    }
    for (int i = 0; i < this->options.daemons; ++i) {
        this->runOnDaemon(i, this->daemons[static_cast<std::size_t>(i)].self.incarnation,
                          [this, list](DaemonNode &node) {
                              node.coordinator->onVmList(this->daemonClock(node), list);
                          });
    }
    this->scheduleAt(this->now + vmListInterval, [this] { this->sendVmLists(); });
}

} // namespace gooseberrywall
