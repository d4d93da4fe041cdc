#include "edge/upstreamlinks.h"

#include "common/durations.h"

#include <utility>

namespace gooseberrywall {

namespace {

auto attemptEndOf(RangeOrderEnd::Kind kind) -> AttemptEnd
{
    switch (kind) {
    case RangeOrderEnd::Kind::NotSent:
        return AttemptEnd::NotSent;
    case RangeOrderEnd::Kind::NoAnswer:
        return AttemptEnd::NoAnswer;
    case RangeOrderEnd::Kind::Accepted:
    case RangeOrderEnd::Kind::FenceTooLow:
    case RangeOrderEnd::Kind::OtherUpstream:
    case RangeOrderEnd::Kind::Rejected:
        return AttemptEnd::Answered;
    }
    return AttemptEnd::Unused;
}

} // namespace

UpstreamLinks::UpstreamLinks(event_base *base, const std::function<Instant()> &now, Logger &logger,
                             std::function<void()> onProbed)
    : now(now)
    , logger(logger)
    , probes(base, now, [this, onProbed = std::move(onProbed)](bool isOpen) {
        this->upstreamReach.onProbeEnd(isOpen, this->now());
        onProbed();
    })
{
}

auto UpstreamLinks::observed(SendRangeOrder orders) -> SendRangeOrder
{
    return [this, orders = std::move(orders)](const RangeOrder &order,
                                              std::function<void(RangeOrderEnd)> done) {
        // A release is answered only when the requests on its keys have ended, so its silence
        // raises no doubt.
        if (order.kind == RangeOrder::Kind::Release) {
            orders(order, std::move(done));
            return;
        }
        const auto sentAt = this->now();
        this->upstreamReach.onSent(order.address, sentAt);
        orders(order, [this, address = order.address, sentAt,
                       done = std::move(done)](const RangeOrderEnd &end) {
            this->upstreamReach.onEnd(address, attemptEndOf(end.kind), sentAt, this->now());
            done(end);
        });
    };
}

auto UpstreamLinks::advance() -> void
{
    const auto moment = this->now();
    this->upstreamReach.advance(moment);
    for (const auto &upstream : this->upstreamReach.takeProbes()) {
        this->probes.start(upstream);
    }
    if (this->isIsolated() == this->lostSince.has_value()) {
        return;
    }
    LogLine line(this->isIsolated() ? "upstreams_unreachable" : "upstreams_reachable");
    if (this->lostSince) {
        line.with("lost_ms", toMilliseconds(moment - *this->lostSince));
    }
    this->logger.write(LogLevel::Warning, line.text());
    this->lostSince = this->isIsolated() ? std::optional(moment) : std::nullopt;
}

} // namespace gooseberrywall
