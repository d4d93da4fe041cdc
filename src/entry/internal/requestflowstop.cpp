#include "entry/requestflow.h"

namespace gooseberrywall {

template<typename Condition>
auto RequestFlow::refuseWaitingIf(Condition condition, Instant now) -> void
{
    std::vector<ExchangeId> waiting;
    for (const auto &[exchange, flow] : this->flows) {
        if (!flow.isSent && condition(flow)) {
            waiting.push_back(exchange);
        }
    }
    for (const auto exchange : waiting) {
        this->permits.cancel(exchange);
        this->failRequest(this->flows.at(exchange), Reason::ShuttingDown,
                          this->settings.defaultRetryAfter, now);
    }
}

auto RequestFlow::sendLimit(const Flow &flow) const -> std::optional<Instant>
{
    if (!this->stop || flow.answerDue + this->settings.answerGrace <= this->stop->lastAnswerAt) {
        return std::nullopt;
    }
    if (flow.arrivedAt >= this->stop->certainFrom) {
        return flow.arrivedAt;
    }
    const auto targets = flow.request.route.isIdempotent ? this->settings.expectedTargets
                                                         : this->settings.expectedTargetsOnce;
    return this->stop->lastAnswerAt - targets * flow.request.route.targetLatency;
}

auto RequestFlow::isTooLateToSend(const Flow &flow, Instant now) const -> bool
{
    const auto limit = this->sendLimit(flow);
    return limit && now >= *limit;
}

auto RequestFlow::refuseTooLate(Instant now) -> void
{
    if (!this->stop) {
        return;
    }
    this->refuseWaitingIf([&](const Flow &flow) { return this->isTooLateToSend(flow, now); }, now);
}

auto RequestFlow::refuseWaiting(Instant now) -> void
{
    this->refuseWaitingIf([](const Flow &) { return true; }, now);
}

auto RequestFlow::endSent(Instant now) -> void
{
    std::vector<ExchangeId> sent;
    for (const auto &[exchange, flow] : this->flows) {
        if (flow.isSent) {
            sent.push_back(exchange);
        }
    }
    for (const auto exchange : sent) {
        this->abortAttempt(this->flows.at(exchange), Reason::ShuttingDown, now);
    }
}

} // namespace gooseberrywall
