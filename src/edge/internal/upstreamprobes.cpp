#include "edge/upstreamprobes.h"

#include "http/endpoint.h"

#include <utility>

namespace gooseberrywall {

UpstreamProbes::UpstreamProbes(event_base *base, std::function<Instant()> now, OnEnd onEnd)
    : base(base)
    , now(std::move(now))
    , onEnd(std::move(onEnd))
    , timer(base, [this] { this->onTimer(); })
{
}

auto UpstreamProbes::start(const Address &upstream) -> void
{
    this->probes.emplace_back();
    auto &probe = this->probes.back();
    probe.dueAt = this->now() + timeout;
    probe.stream = std::make_unique<SocketStream>(
        this->base, parseEndpoint(upstream).value_or(Endpoint{}),
        SocketStream::Handlers{[this, &probe](bool isOpen) { this->end(probe, isOpen); }, [] {},
                               [this, &probe](bool) { this->end(probe, false); }});
    this->timer.set(monotonicNow() + timeout);
}

auto UpstreamProbes::end(Probe &probe, bool isOpen) -> void
{
    if (std::exchange(probe.isEnded, true)) {
        return;
    }
    // Its stream is destroyed from the timer, outside of its own event.
    this->timer.set(monotonicNow());
    this->onEnd(isOpen);
}

auto UpstreamProbes::onTimer() -> void
{
    const auto moment = this->now();
    for (auto &probe : this->probes) {
        if (!probe.isEnded && probe.dueAt <= moment) {
            probe.stream->resetOnClose();
            this->end(probe, false);
        }
    }
    this->probes.remove_if([](const Probe &probe) { return probe.isEnded; });
    if (!this->probes.empty()) {
        this->timer.set(monotonicNow() + (this->probes.front().dueAt - moment));
    }
}

} // namespace gooseberrywall
