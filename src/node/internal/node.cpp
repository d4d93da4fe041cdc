#include "node/node.h"

#include "common/logline.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

/// Maximum time that a daemon waits at shutdown for runs at its upstreams before it leaves.
constexpr Duration maxWaitForRuns = std::chrono::seconds{3};

} // namespace

Node::Node(DaemonIdentity self, NodeSettings settings, std::uint64_t randomSeed)
    : self(std::move(self))
    , settings(std::move(settings))
    , membership(this->self, this->settings.membership, this->settings.seeds, randomSeed)
    , tables(this->self)
    , grantor(this->self, this->settings.grantor)
    , coordinator(this->self, this->settings.coordinator, StickyPlacement{this->settings.placement},
                  randomSeed + 1)
    , router(this->self, this->settings.router, this->requestCounters, this->requestEvents,
             randomSeed + 2)
    , dispatcher(this->self, this->settings.dispatcher, this->grantor, this->requestCounters,
                 this->requestEvents, randomSeed + 3)
    , configurations(this->self, this->settings.keeper, randomSeed + 4)
    , editor(this->self, this->settings.editor, randomSeed + 5)
{
}

auto Node::handle(Instant now, const NodeInput &input) -> void
{
    if (const auto *request = std::get_if<RequestReceived>(&input)) {
        this->onCaller(now, *request);
    } else if (const auto *peer = std::get_if<PeerMessageReceived>(&input)) {
        this->onPeer(now, peer->from, peer->message);
    } else if (const auto *upstream = std::get_if<UpstreamAnswered>(&input)) {
        this->onUpstream(now, *upstream);
    } else if (const auto *store = std::get_if<StoreAnswered>(&input)) {
        this->onStore(now, *store);
    } else if (const auto *disconnected = std::get_if<CallerDisconnected>(&input)) {
        this->router.onCallerGone(now, disconnected->exchange, this->out);
    } else if (const auto *query = std::get_if<OutcomeQueryReceived>(&input)) {
        this->router.onOutcomeQuery(now, query->exchange, query->call.id, query->call.service,
                                    query->call.key, query->call.caller, this->out);
    }
    this->distribute(now);
    this->deliverToSelf(now);
}

auto Node::tick(Instant now, UnixMillis wallClock) -> void
{
    this->dispatcher.onWallClock(wallClock);
    this->membership.setVersions(this->tables.version(), this->configurations.generation());
    this->membership.tick(now, this->out);
    this->configurations.tick(now, this->out);
    this->editor.tick(now, this->out);
    this->vmListPoller.tick(now, this->coordinator.isActive(), this->tables.table() != nullptr,
                            this->out);
    this->coordinator.tick(now, this->out);
    this->grantor.tick(now, this->out);
    this->dispatcher.tick(now, this->out);
    this->router.tick(now, this->out);
    this->leaveWhenIdle(now);
    this->reportLoad(now);
    this->distribute(now);
    this->deliverToSelf(now);
}

auto Node::beginShutdown(Instant now, Instant lastEnd) -> void
{
    if (std::exchange(this->shuttingDown, true)) {
        return;
    }
    // The router stays active: requests on connections that are still open must not be refused
    // where they end before this daemon does.
    this->router.beginShutdown(lastEnd);
    this->dispatcher.beginShutdown(now, this->out);
    this->coordinator.resign(now, this->out);
    this->leaveAt = now + maxWaitForRuns;
    this->leaveWhenIdle(now);
    this->distribute(now);
    this->deliverToSelf(now);
}

auto Node::leaveWhenIdle(Instant now) -> void
{
    // A daemon that leaves is replaced as grantor, and upstreams may then abort running requests.
    if (this->leaveAt && (this->dispatcher.isIdle() || now >= *this->leaveAt)) {
        this->leaveAt.reset();
        this->membership.leave(now, this->out);
    }
}

auto Node::isDrained(Instant /*now*/) const -> bool
{
    return this->shuttingDown && this->router.isIdle() && this->dispatcher.isIdle()
           && !this->mustHandOver();
}

auto Node::mustHandOver() const -> bool
{
    const auto table = this->tables.table();
    const auto &members = this->membership.view().members;
    const auto hasSuccessor =
        std::any_of(members.begin(), members.end(), [this](const MemberClaim &member) {
            return member.id != this->self.id && member.state == MemberState::Alive;
        });
    if (table == nullptr || !hasSuccessor) {
        return false;
    }
    const auto &upstreams = table->record().upstreams;
    return std::any_of(upstreams.begin(), upstreams.end(), [this](const UpstreamEntry &entry) {
        const auto isStandby =
            entry.standby == this->self.id && entry.standbyIncarnation == this->self.incarnation;
        // A grantor without a stand-by refuses requests that aren't idempotent.
        return isStandby || this->grantor.isGrantorOf(entry.id);
    });
}

auto Node::isReady() const -> bool
{
    return !this->shuttingDown && this->tables.table() != nullptr && !this->servicePolicies.empty();
}

auto Node::order(Instant now, const OperatorOrder &order) -> void
{
    const auto table = this->tables.table();
    if (table != nullptr && !table->record().coordinator.empty()) {
        this->out.toPeer(table->record().coordinator, order);
    }
    this->deliverToSelf(now);
}

auto Node::startEdit(Instant now, EditRequest request) -> EditId
{
    this->editor.updateCache(this->configurations.generation(), this->configurations.sections());
    const auto edit = this->editor.start(now, std::move(request), this->out);
    this->deliverToSelf(now);
    return edit;
}

auto Node::takeEditResults() -> std::vector<EditResult>
{
    return this->editor.takeResults();
}

auto Node::addressOf(const DaemonId &daemon) const -> std::optional<Address>
{
    return this->membership.addressOf(daemon);
}

auto Node::membershipView() const -> const MembershipView &
{
    return this->membership.view();
}

auto Node::fenceFor(Instant now, const ShardId &shard) const -> std::optional<Fence>
{
    return this->grantor.fenceFor(now, shard);
}

auto Node::policyOf(const ServiceName &service) const -> const ServicePolicy *
{
    const auto found =
        std::find_if(this->servicePolicies.begin(), this->servicePolicies.end(),
                     [&](const ServicePolicy &policy) { return policy.service == service; });
    return found == this->servicePolicies.end() ? nullptr : &*found;
}

auto Node::onCaller(Instant now, const RequestReceived &received) -> void
{
    auto request = received.call.request;
    const auto *policy = this->policyOf(request.service);
    const auto defaultTimeout = policy != nullptr ? policy->defaultDeadline : Duration{0};
    const auto maxTimeout = policy != nullptr ? policy->maximalDeadline : Duration{0};
    request.deadline = now + std::min(received.call.timeout.value_or(defaultTimeout), maxTimeout);
    this->router.onRequest(now, received.exchange, std::move(request), this->out);
}

auto Node::onPeer(Instant now, const DaemonId &from, const PeerMessage &message) -> void
{
    if (this->router.onMessage(now, from, message, this->out)
        || this->dispatcher.onMessage(now, from, message, this->out)
        || this->membership.onMessage(now, from, message, this->out)
        || this->configurations.onMessage(now, from, message, this->out)) {
        return;
    }
    const auto *order = std::get_if<OperatorOrder>(&message);
    if (order != nullptr && !this->coordinator.isActive()) {
        this->out.log(
            LogLine("operator_order_ignored")
                .with("subject", order->subject)
                .with("remedy", "this daemon isn't the active coordinator; send the order again")
                .text());
    }
    this->tables.onMessage(now, from, message, this->out);
    this->grantor.onMessage(now, from, message, this->out);
    this->coordinator.onMessage(now, from, message, this->out);
}

auto Node::onStore(Instant now, const StoreAnswered &answered) -> void
{
    if (this->vmListPoller.onStoreAnswer(answered.call, answered.answer)
        || this->coordinator.onStoreAnswer(now, answered.call, answered.answer, this->out)
        || this->editor.onStoreAnswer(now, answered.call, answered.answer, this->out)) {
        return;
    }
    this->configurations.onStoreAnswer(now, answered.call, answered.answer, this->out);
}

auto Node::onUpstream(Instant now, const UpstreamAnswered &answered) -> void
{
    if (this->dispatcher.onUpstreamAnswer(now, answered.call, answered.answer, this->out)) {
        return;
    }
    this->grantor.onUpstreamAnswer(now, answered.call, answered.answer, this->out);
}

auto Node::distribute(Instant now) -> void
{
    this->distributePolicies();
    this->distributeMembership(now);
    this->distributeVmList(now);
    this->distributeTable(now);
}

auto Node::distributeTable(Instant now) -> void
{
    if (auto written = this->coordinator.takeNewRecord()) {
        this->tables.adopt(std::move(*written));
    }
    const auto table = this->tables.table();
    if (table == nullptr || table->version() == this->distributedTable) {
        return;
    }
    this->distributedTable = table->version();
    this->tables.publish(now, this->membership.view(), this->out);
    this->coordinator.onTable(now, table);
    this->grantor.onTable(now, table, this->out);
    this->dispatcher.onTable(now, table, this->out);
    this->router.onTable(now, table, this->out);
}

auto Node::distributeMembership(Instant now) -> void
{
    for (const auto &peer : this->membership.takePeerVersions()) {
        this->tables.onPeerVersion(now, peer.daemon, peer.tableVersion, this->out);
        this->configurations.onPeerGeneration(now, peer.daemon, peer.configurationGeneration,
                                              this->out);
    }
    if (this->membership.viewVersion() == this->distributedView) {
        return;
    }
    this->distributedView = this->membership.viewVersion();
    const auto &view = this->membership.view();
    this->coordinator.onMembership(now, view);
    this->dispatcher.onMembership(now, view, this->out);
    this->router.onMembership(now, view, this->out);
    this->configurations.onMembership(now, view);
}

auto Node::distributePolicies() -> void
{
    auto changed = this->configurations.takePolicies();
    if (!changed) {
        return;
    }
    this->servicePolicies = std::move(*changed);
    this->coordinator.onPolicies(this->servicePolicies);
    this->grantor.onPolicies(this->servicePolicies);
    this->dispatcher.onPolicies(this->servicePolicies);
    this->router.onPolicies(this->servicePolicies);
}

auto Node::distributeVmList(Instant now) -> void
{
    if (const auto list = this->vmListPoller.takeList()) {
        this->membership.onVmList(now, *list);
        this->coordinator.onVmList(now, *list);
    }
}

auto Node::reportLoad(Instant now) -> void
{
    for (const auto &run : this->dispatcher.takeRuns()) {
        this->loadMeter.recordRun(now, run.shard, run.key, run.serviceTime);
    }
    if (now < this->nextLoadReport) {
        return;
    }
    this->nextLoadReport = now + this->settings.loadReportInterval;
    const auto table = this->tables.table();
    if (table == nullptr || table->record().coordinator.empty()) {
        return;
    }
    auto report = this->loadMeter.takeReport(now);
    report.upstreams = this->dispatcher.upstreamLoads(now);
    if (!report.shards.empty() || !report.upstreams.empty()) {
        this->out.toPeer(table->record().coordinator, std::move(report));
    }
}

auto Node::deliverToSelf(Instant now) -> void
{
    // A message to itself may cause another one. The limit ends an endless loop, which would be a
    // bug.
    constexpr int maxRounds = 64;
    for (int round = 0; round < maxRounds; ++round) {
        std::vector<PeerSend> others;
        std::vector<PeerSend> own;
        for (auto &send : this->out.peerSends) {
            (send.to == this->self.id ? own : others).push_back(std::move(send));
        }
        this->out.peerSends = std::move(others);
        if (own.empty()) {
            return;
        }
        for (const auto &send : own) {
            this->onPeer(now, this->self.id, send.message);
        }
        this->distribute(now);
    }
}

} // namespace gooseberrywall
