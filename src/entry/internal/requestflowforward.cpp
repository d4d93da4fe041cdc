#include "entry/requestflow.h"

#include <utility>
#include <vector>

namespace gooseberrywall {

auto RequestFlow::exchangeForForwarder(Flow &flow, const PermitVerdict &verdict, Instant now)
    -> bool
{
    if (!this->reach.isIsolated() || !verdict.forwarder.empty()) {
        return false;
    }
    // The permit was asked for before the links were lost.
    this->returnUnused(*flow.permit, verdict, std::nullopt);
    flow.permit.reset();
    ++flow.heldPermits;
    if (flow.heldPermits >= this->settings.heldPermitLimit) {
        this->failRequest(flow, Reason::UpstreamUnreachable, this->settings.defaultRetryAfter, now);
        return true;
    }
    this->askPermit(flow, flow.attempts > 0, now);
    return true;
}

auto RequestFlow::sendWithoutGrantor(Flow &flow, PermitVerdict verdict, Instant now) -> void
{
    if (this->reach.isIsolated()) {
        const auto forwarder = this->forwarders.next(now);
        if (!forwarder) {
            this->failRequest(flow, Reason::UpstreamUnreachable, this->settings.defaultRetryAfter,
                              now);
            return;
        }
        verdict.forwarder = *forwarder;
    }
    flow.isDirect = true;
    ++this->directSends;
    this->send(flow, verdict, now);
}

auto RequestFlow::leaveLostLinks(Instant now) -> void
{
    if (std::exchange(this->handledIsolations, this->reach.isolationCount())
            == this->reach.isolationCount()
        || !this->reach.isIsolated()) {
        return;
    }
    std::vector<ExchangeId> hanging;
    for (const auto &[exchange, flow] : this->flows) {
        if (flow.isSent && flow.forwarder.empty() && flow.request.route.isIdempotent) {
            hanging.push_back(exchange);
        }
    }
    for (const auto exchange : hanging) {
        auto &flow = this->flows.at(exchange);
        this->commands.emplace_back(FlowAbort{exchange});
        this->endAttempt(
            flow, FlowAttemptEnd{exchange, AttemptEnd::NoAnswer, std::nullopt, std::nullopt}, now);
        if (flow.isAbandoned) {
            this->finish(exchange);
        } else {
            this->retryOrEnd(flow, AttemptEnd::NoAnswer, now);
        }
    }
}

auto RequestFlow::noteWay(const Flow &flow, AttemptEnd end, Instant now) -> void
{
    this->direct.onRequestEnd(EndedAttempt{flow.request.service,
                                           RequestFingerprint{flow.request.fingerprint},
                                           flow.upstream, flow.incarnation, end});
    if (flow.forwarder.empty()) {
        this->reach.onEnd(flow.address, end, flow.sentAt, now);
        this->direct.onEnd(flow.upstream, end, now);
        return;
    }
    const auto isForwarded = end != AttemptEnd::NotSent;
    if (!isForwarded) {
        this->forwarders.onFailed(flow.forwarder);
    }
    // What a forwarder didn't send on says nothing about the upstream.
    this->direct.onEnd(flow.upstream, isForwarded ? end : AttemptEnd::Unused, now);
}

} // namespace gooseberrywall
