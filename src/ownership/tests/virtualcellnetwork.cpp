#include "virtualcell.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// Time of a call to the store with its answer.
constexpr Duration storeRoundTrip = std::chrono::milliseconds{3};
/// One-way delay inside a failure domain, without jitter.
constexpr Duration sameDomainDelay{400};
/// One-way delay between failure domains, without jitter.
constexpr Duration crossDomainDelay{750};

} // namespace

auto VirtualCell::randomBool(double probability) -> bool
{
    return probability > 0.0
           && std::uniform_real_distribution<double>(0.0, 1.0)(this->random) < probability;
}

auto VirtualCell::delay(const FailureDomain &from, const FailureDomain &to) -> Duration
{
    std::uniform_int_distribution<Duration::rep> jitter(0, this->options.maxJitter.count());
    return (from == to ? sameDomainDelay : crossDomainDelay) + Duration{jitter(this->random)};
}

auto VirtualCell::sendPeer(int from, const PeerSend &send) -> void
{
    const auto target = std::find_if(this->daemons.begin(), this->daemons.end(),
                                     [&](const auto &node) { return node.self.id == send.to; });
    const auto &source = this->daemons[static_cast<std::size_t>(from)];
    if (target == this->daemons.end()) {
        return;
    }
    const auto index = static_cast<int>(target - this->daemons.begin());
    const auto isCut =
        index != from
        && (source.isolation != Isolation::None || target->isolation != Isolation::None);
    if (isCut || (index != from && this->randomBool(this->options.dropProbability))) {
        return;
    }
    const auto copies = this->randomBool(this->options.duplicateProbability) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto arrival = this->now + this->delay(source.self.domain, target->self.domain);
        this->scheduleAt(arrival, [this, index, incarnation = target->self.incarnation,
                                   sender = source.self.id, message = send.message] {
            this->runOnDaemon(index, incarnation, [=, this](DaemonNode &node) {
                const auto time = this->daemonClock(node);
                if (node.tableKeeper->onMessage(time, sender, message, node.out)) {
                    node.coordinator->onTable(time, node.tableKeeper->table());
                    node.grantor->onTable(time, node.tableKeeper->table(), node.out);
                    node.tableKeeper->publish(time, node.view, node.out);
                }
                node.coordinator->onMessage(time, sender, message, node.out);
                node.grantor->onMessage(time, sender, message, node.out);
            });
        });
    }
}

auto VirtualCell::answerStore(int from, Incarnation incarnation, CallId call,
                              const StoreAnswer &answer, Duration after) -> void
{
    this->scheduleAt(this->now + after, [this, from, incarnation, call, answer] {
        this->runOnDaemon(from, incarnation, [=, this](DaemonNode &node) {
            if (node.calls.erase(call) > 0) {
                node.coordinator->onStoreAnswer(this->daemonClock(node), call, answer, node.out);
            }
        });
    });
}

auto VirtualCell::sendStore(int from, const StoreSend &send) -> void
{
    auto &node = this->daemons[static_cast<std::size_t>(from)];
    const auto incarnation = node.self.incarnation;
    node.calls.insert(send.call);
    auto fault = StoreFault::None;
    if (std::holds_alternative<StoreCompareAndSwap>(send.request)) {
        const auto planned = this->writeFaults.find(this->writeNumber++);
        fault = planned == this->writeFaults.end() ? StoreFault::None : planned->second;
    }
    if (this->storeDown) {
        fault = this->randomBool(0.5) ? StoreFault::Refused : StoreFault::Dropped;
    }
    StoreAnswer ambiguous;
    ambiguous.status = StoreStatus::Ambiguous;
    this->answerStore(from, incarnation, send.call, ambiguous, send.timeout);
    if (fault == StoreFault::Refused) {
        this->answerStore(from, incarnation, send.call, StoreAnswer{}, storeRoundTrip);
        return;
    }
    if (fault == StoreFault::Dropped) {
        return;
    }
    const auto effectDelay =
        fault == StoreFault::Late ? send.timeout + 10 * storeRoundTrip : storeRoundTrip / 2;
    this->scheduleAt(this->now + effectDelay, [this, from, incarnation, send, fault] {
        const auto answer = this->store.apply(this->now, send.request);
        if (fault == StoreFault::None) {
            this->answerStore(from, incarnation, send.call, answer, storeRoundTrip / 2);
        }
    });
}

auto VirtualCell::sendUpstream(int from, const UpstreamSend &send) -> void
{
    auto &source = this->daemons[static_cast<std::size_t>(from)];
    const auto incarnation = source.self.incarnation;
    source.calls.insert(send.call);
    const auto fail = [this, from, incarnation, call = send.call](UpstreamFailure failure,
                                                                  Duration after) {
        this->scheduleAt(this->now + after, [this, from, incarnation, call, failure] {
            this->runOnDaemon(from, incarnation, [=, this](DaemonNode &node) {
                if (node.calls.erase(call) > 0) {
                    node.grantor->onUpstreamAnswer(this->daemonClock(node), call, failure,
                                                   node.out);
                }
            });
        });
    };
    fail(UpstreamFailure::NoAnswer, send.timeout);
    const auto target =
        std::find_if(this->upstreams.begin(), this->upstreams.end(),
                     [&](const auto &node) { return node.vm.id == send.upstream.value; });
    if (target == this->upstreams.end() || source.isolation == Isolation::FromAll
        || this->randomBool(this->options.dropProbability)) {
        return;
    }
    if (!target->up) {
        fail(UpstreamFailure::NotSent, crossDomainDelay);
        return;
    }
    const auto index = static_cast<int>(target - this->upstreams.begin());
    const auto copies = this->randomBool(this->options.duplicateProbability) ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        const auto arrival = this->now + this->delay(source.self.domain, target->vm.domain);
        this->scheduleAt(arrival, [this, from, incarnation, index,
                                   upstreamIncarnation = target->fakeUpstream.incarnation, send] {
            this->deliverUpstream(from, incarnation, index, upstreamIncarnation, send);
        });
    }
}

auto VirtualCell::deliverUpstream(int from, Incarnation incarnation, int to,
                                  Incarnation upstreamIncarnation, const UpstreamSend &send) -> void
{
    auto &node = this->upstreams[static_cast<std::size_t>(to)];
    if (!node.up || node.fakeUpstream.incarnation != upstreamIncarnation) {
        return;
    }
    if (this->now < node.frozenUntil) {
        this->scheduleAt(
            node.frozenUntil, [this, from, incarnation, to, upstreamIncarnation, send] {
                this->deliverUpstream(from, incarnation, to, upstreamIncarnation, send);
            });
        return;
    }
    const auto answer =
        node.fakeUpstream.apply(this->upstreamClock(node), std::get<GrantBatch>(send.request));
    this->checkOwners(to);
    const auto &source = this->daemons[static_cast<std::size_t>(from)];
    if (source.isolation == Isolation::FromAll || this->randomBool(this->options.dropProbability)) {
        return;
    }
    this->scheduleAt(this->now + this->delay(source.self.domain, node.vm.domain),
                     [this, from, incarnation, call = send.call, answer] {
                         this->runOnDaemon(from, incarnation, [=, this](DaemonNode &daemon) {
                             if (daemon.calls.erase(call) > 0) {
                                 daemon.grantor->onUpstreamAnswer(this->daemonClock(daemon), call,
                                                                  answer, daemon.out);
                             }
                         });
                     });
}

} // namespace gooseberrywall
