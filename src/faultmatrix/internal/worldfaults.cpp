// Faults in the world, caused by the scenario or planned at a step.
#include "faultmatrix/stepnames.h"
#include "faultmatrix/world.h"

#include <utility>

namespace gooseberrywall {

namespace {

constexpr Duration latePeerDelay = std::chrono::milliseconds{1500};
constexpr Duration reorderDelay = std::chrono::milliseconds{20};
constexpr Duration slowStoreDelay = std::chrono::seconds{1};
constexpr Duration upstreamRestartTime = std::chrono::milliseconds{300};
/// As the daemon's default.
constexpr Duration shutdownTimeout = std::chrono::seconds{20};

} // namespace

auto World::loseDaemon(std::size_t index) -> void
{
    auto &vm = this->daemonVms[index];
    if (vm.node == nullptr) {
        return;
    }
    // Destroyed later, as this may be called while the node's outbox is being flushed.
    std::shared_ptr<Node> dying = std::move(vm.node);
    ++vm.incarnationNumber;
    this->schedule(this->time, [dying] {});
    this->breakConnections(index);
    this->schedule(this->time + this->worldOptions.replacementTime, [this, index] {
        if (this->daemonVms[index].node == nullptr) {
            this->startDaemon(index);
        }
    });
}

auto World::pauseDaemon(std::size_t index, Duration span, bool withClock) -> void
{
    auto &vm = this->daemonVms[index];
    if (vm.node == nullptr || vm.isPaused) {
        return;
    }
    vm.isPaused = true;
    vm.pausedAt = this->time;
    vm.pausesClock = withClock;
    const auto incarnationNumber = vm.incarnationNumber;
    this->schedule(this->time + span,
                   [this, index, incarnationNumber] { this->resume(index, incarnationNumber); });
}

auto World::stopDaemon(std::size_t index) -> void
{
    auto &vm = this->daemonVms[index];
    if (vm.node == nullptr) {
        return;
    }
    vm.isStopping = true;
    vm.node->beginShutdown(this->processTime(vm), this->processTime(vm) + shutdownTimeout);
    this->flush(index);
}

auto World::crashUpstream(std::size_t index) -> void
{
    auto &vm = this->upstreamVms[index];
    if (!vm.model->crashed()) {
        vm.model->crash(this->time);
        this->advanceUpstream(index);
    }
}

auto World::freezeUpstream(std::size_t index, Duration span) -> void
{
    auto &vm = this->upstreamVms[index];
    if (!vm.model->crashed() && !vm.model->frozen()) {
        vm.model->freeze(this->time, this->time + span);
        this->scheduleUpstream(index);
    }
}

auto World::restartUpstream(std::size_t index) -> void
{
    this->crashUpstream(index);
    this->schedule(this->time + upstreamRestartTime, [this, index] {
        auto &vm = this->upstreamVms[index];
        if (vm.model->crashed()) {
            ++vm.incarnationNumber;
            vm.model->restart(this->time, Incarnation{(index + 1) * 1000 + vm.incarnationNumber});
            this->advanceUpstream(index);
        }
    });
}

auto World::drainUpstream(std::size_t index) -> void
{
    auto &vm = this->upstreamVms[index];
    vm.drainingSince = this->time;
    this->platform.vms.put(this->time, {vm.id.value,
                                        VmRole::Upstream,
                                        VmState::Leaving,
                                        {"fitment"},
                                        vm.domain,
                                        {"10.1.0." + std::to_string(index + 1) + ":1"}});
}

auto World::setStoreFaults(const StoreFaults &faults) -> void
{
    this->platform.setFaults(this->time, faults);
    this->advanceStore();
}

auto World::performStep(std::size_t from, StepTarget target, const std::string &what,
                        const std::string &to, const std::function<void(Duration)> &deliver) -> void
{
    Delivery delivery;
    if (this->isCounted(what)) {
        const Step step{this->windowSteps.size(),
                        this->time,
                        target,
                        what,
                        this->daemonVms[from].identity.id.value,
                        to};
        this->windowSteps.push_back(step);
        if (this->trace) {
            this->trace("step " + std::to_string(step.number) + " " + step.from + " -> " + to + " "
                        + what);
        }
        for (const auto &fault : this->plannedFaults) {
            if (fault.step == step.number) {
                this->applyFault(fault.kind, from, step, delivery);
            }
        }
    }
    if (delivery.isDropped) {
        return;
    }
    // What a paused process was about to send is sent when it resumes.
    const auto &vm = this->daemonVms[from];
    const auto pauseDelay =
        vm.isPaused ? this->worldOptions.faultTime + std::chrono::seconds{2} : Duration{0};
    deliver(delivery.delay + pauseDelay);
    if (delivery.isDoubled) {
        deliver(delivery.delay + pauseDelay + std::chrono::milliseconds{5});
    }
}

auto World::isCounted(const std::string &what) -> bool
{
    if (!this->isWindowOpen || isBackground(what)) {
        return false;
    }
    return !isRequestStep(what)
           || this->requestSteps[what]++ % this->worldOptions.requestStepInterval == 0;
}

auto World::applyFault(FaultKind kind, std::size_t from, const Step &step, Delivery &delivery)
    -> void
{
    if (this->trace) {
        this->trace("FAULT " + std::string(toString(kind)) + " at step "
                    + std::to_string(step.number));
    }
    auto &vm = this->daemonVms[from];
    const auto until = this->time + this->worldOptions.faultTime;
    const auto pauseTime = this->worldOptions.faultTime + std::chrono::seconds{2};
    switch (kind) {
    case FaultKind::None:
        return;
    case FaultKind::ProcessLostBefore:
        delivery.isDropped = true;
        this->loseDaemon(from);
        return;
    case FaultKind::ProcessLostAfter:
        this->loseDaemon(from);
        return;
    case FaultKind::ProcessPaused:
    case FaultKind::ProcessPausedWithClock:
        this->pauseDaemon(from, pauseTime, kind == FaultKind::ProcessPausedWithClock);
        return;
    case FaultKind::CutFromPeers:
        vm.inwardCutUntil = until;
        vm.outwardCutUntil = until;
        return;
    case FaultKind::CutFromPeersOutward:
        vm.outwardCutUntil = until;
        return;
    case FaultKind::CutFromPeersInward:
        vm.inwardCutUntil = until;
        return;
    case FaultKind::CutFromStore:
        vm.storeCutUntil = until;
        return;
    case FaultKind::CutFromUpstreams:
        vm.upstreamCutUntil = until;
        return;
    case FaultKind::MessageDropped:
        delivery.isDropped = true;
        return;
    case FaultKind::MessageDoubled:
        delivery.isDoubled = true;
        return;
    case FaultKind::MessageLate:
        delivery.delay = latePeerDelay;
        return;
    case FaultKind::MessageReordered:
        delivery.delay = reorderDelay;
        return;
    case FaultKind::ReceiverLost:
        if (const auto receiver = this->daemonIndex({step.to})) {
            this->loseDaemon(*receiver);
        }
        return;
    case FaultKind::UpstreamCrashed:
        this->crashUpstream(this->affectedUpstream(step));
        return;
    case FaultKind::UpstreamFrozen:
        this->freezeUpstream(this->affectedUpstream(step), this->worldOptions.faultTime);
        return;
    case FaultKind::UpstreamRestarted:
        this->restartUpstream(this->affectedUpstream(step));
        return;
    case FaultKind::StoreCallFails:
        delivery.isDropped = true;
        return;
    case FaultKind::StoreAnswerLost: {
        auto faults = this->platform.faults();
        faults.lostWriteAnswers = 1;
        this->setStoreFaults(faults);
        return;
    }
    case FaultKind::StoreSlow: {
        StoreFaults faults;
        faults.answerDelay = slowStoreDelay;
        this->setStoreFaults(faults);
        this->schedule(until, [this] { this->setStoreFaults({}); });
        return;
    }
    case FaultKind::StoreDown: {
        StoreFaults faults;
        faults.down = true;
        this->setStoreFaults(faults);
        this->schedule(until, [this] { this->setStoreFaults({}); });
        return;
    }
    }
}

auto World::affectedUpstream(const Step &step) -> std::size_t
{
    const auto named = this->upstreamIndex({step.to});
    return named.value_or(step.number % this->upstreamVms.size());
}

} // namespace gooseberrywall
