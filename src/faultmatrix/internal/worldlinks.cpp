// Links between daemons, store and upstreams, with their delays and cuts.
#include "faultmatrix/stepnames.h"
#include "faultmatrix/world.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

auto isBefore(Instant time, Instant until) -> bool
{
    return time < until;
}

} // namespace

auto World::delayBetween(const FailureDomain &left, const FailureDomain &right) const -> Duration
{
    return left == right ? this->worldOptions.domainDelay / 4 : this->worldOptions.domainDelay;
}

auto World::sendPeer(std::size_t from, PeerSend send) -> void
{
    const auto to = this->daemonIndex(send.to);
    if (!to) {
        return;
    }
    const auto name = stepName(send.message);
    const auto target = send.to.value;
    this->performStep(
        from, StepTarget::Peer, name, target,
        [this, from, to, send = std::move(send)](Duration extra) {
            const auto &source = this->daemonVms[from];
            const auto &receiver = this->daemonVms[*to];
            if (isBefore(this->time, source.outwardCutUntil)
                || isBefore(this->time, receiver.inwardCutUntil)) {
                return;
            }
            const auto delay = this->delayBetween(source.identity.domain, receiver.identity.domain);
            const auto incarnationNumber = receiver.incarnationNumber;
            const auto sender = source.identity.id;
            this->schedule(this->time + delay + extra, [this, to, incarnationNumber, sender,
                                                        message = send.message] {
                this->deliverInput(*to, incarnationNumber, PeerMessageReceived{sender, message});
            });
        });
}

auto World::sendStore(std::size_t from, const StoreSend &send) -> void
{
    const auto &vm = this->daemonVms[from];
    const auto incarnationNumber = vm.incarnationNumber;
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, from, incarnationNumber, call = send.call,
                         answered](StoreAnswer result) {
        if (!std::exchange(*answered, true)) {
            this->deliverInput(from, incarnationNumber, StoreAnswered{call, std::move(result)});
        }
    };
    // Same result as from the store client: a call that timed out may have taken effect.
    this->schedule(this->time + send.timeout, [answer] {
        StoreAnswer lost;
        lost.status = StoreStatus::Ambiguous;
        answer(lost);
    });
    const auto name = stepName(send.request);
    this->performStep(
        from, StepTarget::Store, name, "store", [this, from, send, answer](Duration extra) {
            if (isBefore(this->time, this->daemonVms[from].storeCutUntil)) {
                return;
            }
            this->schedule(
                this->time + this->worldOptions.storeDelay + extra, [this, from, send, answer] {
                    const CallId standInCall{++this->lastStandInCall};
                    this->storeCalls[standInCall] = [this, from, answer](StoreAnswer result) {
                        this->schedule(
                            this->time + this->worldOptions.storeDelay,
                            [this, from, answer, result = std::move(result)] {
                                if (!isBefore(this->time, this->daemonVms[from].storeCutUntil)
                                    && result.status != StoreStatus::Ambiguous) {
                                    answer(result);
                                }
                            });
                    };
                    this->platform.receive(this->time, standInCall, send.request);
                    this->advanceStore();
                });
        });
}

auto World::advanceStore() -> void
{
    this->platform.advance(this->time);
    for (auto &reply : this->platform.takeReplies()) {
        const auto found = this->storeCalls.find(reply.call);
        if (found != this->storeCalls.end()) {
            const auto done = std::move(found->second);
            this->storeCalls.erase(found);
            done(std::move(reply.answer));
        }
    }
    if (const auto next = this->platform.nextChange()) {
        this->schedule(std::max(*next, this->time + Duration{1}), [this] {
            if (this->platform.nextChange() && *this->platform.nextChange() <= this->time) {
                this->advanceStore();
            }
        });
    }
}

auto World::sendUpstream(std::size_t from, UpstreamSend send) -> void
{
    const auto index = this->upstreamIndex(send.upstream);
    if (!index) {
        return;
    }
    const auto incarnationNumber = this->daemonVms[from].incarnationNumber;
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, from, incarnationNumber, call = send.call,
                         answered](UpstreamAnswer result) {
        if (!std::exchange(*answered, true)) {
            this->deliverInput(from, incarnationNumber, UpstreamAnswered{call, std::move(result)});
        }
    };
    this->schedule(this->time + send.timeout, [answer] { answer(UpstreamFailure::NoAnswer); });
    const auto name = stepName(send.request);
    const auto target = send.upstream.value;
    this->performStep(
        from, StepTarget::Upstream, name, target,
        [this, from, index, send = std::move(send), answer](Duration extra) {
            if (isBefore(this->time, this->daemonVms[from].upstreamCutUntil)) {
                return;
            }
            const auto delay = this->delayBetween(this->daemonVms[from].identity.domain,
                                                  this->upstreamVms[*index].domain);
            this->schedule(this->time + delay + extra, [this, from, index, send, answer, delay] {
                const CallId standInCall{++this->lastStandInCall};
                this->upstreamCalls[standInCall] = [this, from, answer,
                                                    delay](UpstreamAnswer result) {
                    this->schedule(
                        this->time + delay, [this, from, answer, result = std::move(result)] {
                            if (!isBefore(this->time, this->daemonVms[from].upstreamCutUntil)) {
                                answer(result);
                            }
                        });
                };
                this->upstreamVms[*index].model->receive(this->time, standInCall, send.request);
                this->advanceUpstream(*index);
            });
        });
}

auto World::advanceUpstream(std::size_t index) -> void
{
    auto &model = *this->upstreamVms[index].model;
    model.advance(this->time);
    for (auto &reply : model.takeReplies()) {
        const auto found = this->upstreamCalls.find(reply.call);
        if (found != this->upstreamCalls.end()) {
            const auto done = std::move(found->second);
            this->upstreamCalls.erase(found);
            done(std::move(reply.answer));
        }
    }
    this->scheduleUpstream(index);
}

auto World::scheduleUpstream(std::size_t index) -> void
{
    const auto next = this->upstreamVms[index].model->nextChange();
    if (!next) {
        return;
    }
    this->schedule(std::max(*next, this->time + Duration{1}), [this, index] {
        const auto due = this->upstreamVms[index].model->nextChange();
        if (due && *due <= this->time) {
            this->advanceUpstream(index);
        }
    });
}

} // namespace gooseberrywall
