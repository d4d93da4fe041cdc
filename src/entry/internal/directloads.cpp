#include "entry/directloads.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// Weight of one answer in the averages of an upstream: about ten answers determine them. With 0.2
/// the busiest upstream had 1.13 times the mean utilisation at speeds of 0.5 to 1.6, with 0.1 1.08.
constexpr double upstreamWeight = 0.1;
/// Weight of one answer in the averages of a service.
constexpr double serviceWeight = 0.01;
/// Speeds relative to the service's mean are limited to this range, so that an upstream that was
/// slow for long is still tried, and draws seldom have to be repeated.
constexpr double minSpeed = 0.1;
constexpr double maxSpeed = 2;
/// Upstreams with more slots are drawn as if they had this many.
constexpr double maxWeightedSlots = 4;

auto average(double before, double sample, double weight) -> double
{
    return before + weight * (sample - before);
}

} // namespace

auto DirectLoads::onEnd(const UpstreamId &upstream) -> void
{
    auto &count = this->upstreams[upstream].inFlight;
    count = std::max(0, count - 1);
}

auto DirectLoads::onAnswered(const ServiceName &service, const UpstreamId &upstream,
                             const std::optional<ReportedLoad> &load, Duration latency, Instant now)
    -> void
{
    auto &known = this->upstreams[upstream];
    auto &mean = this->services[service];
    const auto sample = static_cast<double>(latency.count());
    known.latency = known.latency == 0 ? sample : average(known.latency, sample, upstreamWeight);
    mean.latency = mean.latency == 0 ? sample : average(mean.latency, sample, serviceWeight);
    if (!load) {
        return;
    }
    known.estimate.onReported(*load, known.inFlight, now);
    const auto others = std::max(0, load->running + load->waiting - known.inFlight);
    const auto utilisation = static_cast<double>(others) / std::max(1, load->slots);
    known.usualOthers =
        known.usualOthers ? average(*known.usualOthers, utilisation, upstreamWeight) : utilisation;
    mean.utilisation = average(mean.utilisation, utilisation, serviceWeight);
}

auto DirectLoads::retain(const std::set<UpstreamId> &listed) -> void
{
    std::erase_if(this->upstreams, [&](const auto &row) {
        return row.second.inFlight == 0 && !listed.contains(row.first);
    });
}

auto DirectLoads::findUpstream(const UpstreamId &upstream) const -> const Upstream *
{
    const auto found = this->upstreams.find(upstream);
    return found == this->upstreams.end() ? nullptr : &found->second;
}

auto DirectLoads::findService(const ServiceName &service) const -> Service
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? Service{} : found->second;
}

auto DirectLoads::drawWeight(const ServiceName &service, const UpstreamId &upstream,
                             int slots) const -> double
{
    const auto *known = this->findUpstream(upstream);
    const auto isMeasured = known != nullptr && known->latency > 0;
    const auto speed = isMeasured ? std::clamp(this->findService(service).latency / known->latency,
                                               minSpeed, maxSpeed)
                                  : 1.0;
    return speed / maxSpeed * std::clamp<double>(slots, 1, maxWeightedSlots) / maxWeightedSlots;
}

auto DirectLoads::cost(const ServiceName &service, const UpstreamId &upstream, int slots,
                       Instant now) const -> double
{
    const auto *known = this->findUpstream(upstream);
    const auto mean = this->findService(service);
    const auto usableSlots = std::max(1, slots);
    if (known == nullptr) {
        return weightedResponseTime(1, 1, mean.utilisation + 1.0 / usableSlots, evenLoadWeight);
    }
    const auto usual = known->usualOthers.value_or(mean.utilisation) * usableSlots;
    const auto requests = known->estimate.requests(known->inFlight, usual, now) + 1;
    // The draws already take the measured speed into account.
    return weightedResponseTime(1, known->estimate.slowdown(now), requests / usableSlots,
                                evenLoadWeight);
}

} // namespace gooseberrywall
