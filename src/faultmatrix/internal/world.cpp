#include "faultmatrix/world.h"

#include "configuration/teamtoken.h"
#include "faultmatrix/stepnames.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::string_view operatorToken = "matrix-operator-token";
constexpr Duration worldStart = std::chrono::seconds{100};
/// The simulated processes have equal wall clocks.
constexpr UnixMillis wallClockStart = 1'700'000'000'000;

} // namespace

World::World(WorldOptions options)
    : worldOptions(options)
    , time(Instant{worldStart})
{
    for (int number = 1; number <= options.daemons; ++number) {
        DaemonVm vm;
        vm.identity.id = {"d" + std::to_string(number)};
        vm.identity.domain = {"domain-" + std::to_string(number)};
        vm.identity.peerAddress = {"10.0.0." + std::to_string(number) + ":1"};
        vm.clockOffset = std::chrono::seconds{1000 * number};
        this->daemonVms.push_back(std::move(vm));
        const auto &identity = this->daemonVms.back().identity;
        this->platform.vms.put(this->time, {identity.id.value,
                                            VmRole::Daemon,
                                            VmState::Live,
                                            {},
                                            identity.domain,
                                            identity.peerAddress});
    }
    for (int number = 1; number <= options.upstreams; ++number) {
        UpstreamModelSettings model;
        model.id = {"fitment-" + std::to_string(number)};
        model.checksSender = options.checksSender;
        UpstreamVm vm;
        vm.id = model.id;
        vm.domain = {"domain-" + std::to_string(number)};
        vm.model = std::make_unique<UpstreamModel>(
            model, Incarnation{static_cast<std::uint64_t>(number) * 1000 + 1}, this->time);
        this->upstreamVms.push_back(std::move(vm));
        this->platform.vms.put(this->time, {model.id.value,
                                            VmRole::Upstream,
                                            VmState::Live,
                                            {"fitment"},
                                            {"domain-" + std::to_string(number)},
                                            {"10.1.0." + std::to_string(number) + ":1"}});
    }
    for (std::size_t index = 0; index < this->daemonVms.size(); ++index) {
        this->startDaemon(index);
    }
    this->schedule(this->time, [this] { this->sendTraffic(); });
}

auto World::schedule(Instant when, std::function<void()> action) -> void
{
    this->events.push({when, ++this->lastOrder, std::move(action)});
}

auto World::run(Duration span) -> void
{
    const auto end = this->time + span;
    while (!this->events.empty() && this->events.top().at <= end) {
        const auto event = this->events.top();
        this->events.pop();
        this->time = event.at;
        event.action();
        if (this->afterEvent) {
            this->afterEvent();
        }
    }
    this->time = end;
}

auto World::runUntil(const std::function<bool()> &condition, Duration limit) -> bool
{
    const auto end = this->time + limit;
    while (this->time < end) {
        if (condition()) {
            return true;
        }
        this->run(std::chrono::milliseconds{10});
    }
    return condition();
}

auto World::openWindow(std::vector<PlannedFault> faults) -> void
{
    this->isWindowOpen = true;
    this->plannedFaults = std::move(faults);
}

auto World::closeWindow() -> void
{
    this->isWindowOpen = false;
}

auto World::startDaemon(std::size_t index) -> void
{
    auto &vm = this->daemonVms[index];
    ++vm.incarnationNumber;
    vm.identity.incarnation = {static_cast<std::uint64_t>(index + 1) * 1000 + vm.incarnationNumber};
    vm.isPaused = false;
    vm.isStopping = false;
    vm.inbox.clear();
    NodeSettings settings;
    settings.editor.bootstrapTokenHash = hashToken(operatorToken, "matrixsalt");
    for (const auto &other : this->daemonVms) {
        MemberClaim seed;
        seed.id = other.identity.id;
        seed.address = other.identity.peerAddress;
        settings.seeds.push_back(std::move(seed));
    }
    const auto seed = this->worldOptions.seed * 1'000'003 + index * 101 + vm.incarnationNumber;
    vm.node = std::make_unique<Node>(vm.identity, std::move(settings), seed);
    this->scheduleTick(index);
}

auto World::wallClock() const -> UnixMillis
{
    const auto spent = this->time.time_since_epoch();
    return wallClockStart + std::chrono::duration_cast<std::chrono::milliseconds>(spent).count();
}

auto World::processTime(const DaemonVm &vm) const -> Instant
{
    return this->time + vm.clockOffset;
}

auto World::scheduleTick(std::size_t index) -> void
{
    const auto incarnationNumber = this->daemonVms[index].incarnationNumber;
    this->schedule(this->time + this->worldOptions.tickInterval, [this, index, incarnationNumber] {
        auto &vm = this->daemonVms[index];
        if (vm.incarnationNumber != incarnationNumber || vm.node == nullptr || vm.isPaused) {
            return;
        }
        vm.node->tick(this->processTime(vm), this->wallClock());
        this->flush(index);
        // A fault may have ended this incarnation during the flush.
        if (vm.incarnationNumber == incarnationNumber && vm.node != nullptr && vm.isStopping
            && vm.node->isDrained({})) {
            this->breakConnections(index);
            vm.node.reset();
            return;
        }
        this->scheduleTick(index);
    });
}

auto World::deliverInput(std::size_t index, std::uint64_t incarnationNumber, NodeInput input)
    -> void
{
    auto &vm = this->daemonVms[index];
    if (vm.incarnationNumber != incarnationNumber || vm.node == nullptr) {
        return;
    }
    if (vm.isPaused) {
        vm.inbox.push_back(std::move(input));
        return;
    }
    vm.node->handle(this->processTime(vm), input);
    this->flush(index);
}

auto World::resume(std::size_t index, std::uint64_t incarnationNumber) -> void
{
    auto &vm = this->daemonVms[index];
    if (vm.incarnationNumber != incarnationNumber || !vm.isPaused) {
        return;
    }
    vm.isPaused = false;
    if (vm.pausesClock) {
        vm.clockOffset -= this->time - vm.pausedAt;
    }
    auto waiting = std::exchange(vm.inbox, {});
    for (auto &input : waiting) {
        this->deliverInput(index, incarnationNumber, std::move(input));
    }
    this->scheduleTick(index);
}

auto World::edit(std::size_t daemon, const std::string &section, const std::string &text,
                 std::uint64_t expected) -> void
{
    auto &vm = this->daemonVms[daemon];
    if (vm.node == nullptr) {
        return;
    }
    EditRequest request;
    request.operation = EditOperation::Set;
    request.section = {section};
    request.token = operatorToken;
    request.text = text;
    request.expectedVersion = expected;
    vm.node->startEdit(this->processTime(vm), std::move(request));
    this->flush(daemon);
}

auto World::flush(std::size_t index) -> void
{
    auto &vm = this->daemonVms[index];
    auto &out = vm.node->outbox();
    const auto peerSends = std::exchange(out.peerSends, {});
    const auto storeSends = std::exchange(out.storeSends, {});
    const auto upstreamSends = std::exchange(out.upstreamSends, {});
    const auto callerSends = std::exchange(out.callerSends, {});
    if (this->trace) {
        for (const auto &line : out.logLines) {
            this->trace(vm.identity.id.value + " " + line);
        }
    }
    out.logLines.clear();
    for (auto &result : vm.node->takeEditResults()) {
        this->editEnds.push_back(std::move(result));
    }
    const auto incarnationNumber = vm.incarnationNumber;
    // A fault at one of the sends may end the process; the later ones are not sent then.
    for (const auto &send : callerSends) {
        this->endExchange(index, send);
    }
    for (const auto &send : peerSends) {
        if (vm.incarnationNumber == incarnationNumber) {
            this->sendPeer(index, send);
        }
    }
    for (const auto &send : storeSends) {
        if (vm.incarnationNumber == incarnationNumber) {
            this->sendStore(index, send);
        }
    }
    for (const auto &send : upstreamSends) {
        if (vm.incarnationNumber == incarnationNumber) {
            this->sendUpstream(index, send);
        }
    }
}

auto World::isServing() -> bool
{
    for (auto &vm : this->daemonVms) {
        if (vm.node == nullptr || vm.isPaused) {
            continue;
        }
        const auto table = vm.node->table();
        if (table == nullptr
            || table->record().shards.size()
                   < static_cast<std::size_t>(this->worldOptions.shards)) {
            return false;
        }
    }
    const auto coordinating = this->coordinator();
    if (!coordinating) {
        return false;
    }
    const auto table = this->daemonVms[*coordinating].node->table();
    for (const auto &shard : table->record().shards) {
        const auto *owner = table->upstream(shard.owner);
        if (shard.stage != ShardStage::Owned || owner == nullptr) {
            return false;
        }
        const auto grantor = this->daemonIndex(owner->grantor);
        const auto *vm = grantor ? &this->daemonVms[*grantor] : nullptr;
        if (vm == nullptr || vm->node == nullptr
            || !vm->node->fenceFor(this->processTime(*vm), shard.id)) {
            return false;
        }
    }
    return true;
}

auto World::coordinator() -> std::optional<std::size_t>
{
    for (std::size_t index = 0; index < this->daemonVms.size(); ++index) {
        const auto &vm = this->daemonVms[index];
        if (vm.node != nullptr && !vm.isPaused && vm.node->isCoordinating()) {
            return index;
        }
    }
    return std::nullopt;
}

auto World::daemonIndex(const DaemonId &id) const -> std::optional<std::size_t>
{
    for (std::size_t index = 0; index < this->daemonVms.size(); ++index) {
        if (this->daemonVms[index].identity.id == id) {
            return index;
        }
    }
    return std::nullopt;
}

auto World::upstreamIndex(const UpstreamId &id) const -> std::optional<std::size_t>
{
    for (std::size_t index = 0; index < this->upstreamVms.size(); ++index) {
        if (this->upstreamVms[index].id == id) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace gooseberrywall
