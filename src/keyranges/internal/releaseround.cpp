#include "keyranges/releaseround.h"

#include "keyranges/internal/keyrangelists.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gooseberrywall {

ReleaseRound::ReleaseRound(ReleaseRoundSettings settings)
    : settings(settings)
{
}

auto ReleaseRound::start(std::uint64_t newFence) -> void
{
    this->fence = newFence;
    this->upstreams.clear();
    this->openOrderCount = 0;
    this->givenOrders = 0;
}

auto ReleaseRound::addUpstream(const RangeHolder &upstream) -> void
{
    const auto isEndedBy = [](const RangeHolder &holder, const RangeHolder &other) {
        return holder.id == other.id && holder.incarnation < other.incarnation;
    };
    for (auto &known : this->upstreams) {
        if (known.holder.id == upstream.id && known.holder.address == upstream.address) {
            // The order reaches whichever incarnation runs, and earlier ones have ended.
            if (known.holder.incarnation < upstream.incarnation) {
                known.holder.incarnation = upstream.incarnation;
                known.answers.clear();
            }
            return;
        }
        if (isEndedBy(upstream, known.holder)) {
            return;
        }
    }
    std::erase_if(this->upstreams, [&](const Upstream &known) {
        const auto hasEnded = isEndedBy(known.holder, upstream);
        this->openOrderCount -= hasEnded ? known.openOrders.size() : 0;
        return hasEnded;
    });
    auto &added = this->upstreams.emplace_back();
    added.holder = upstream;
    this->updateMissing(added);
}

auto ReleaseRound::setRanges(std::vector<UncertainRange> newRanges) -> void
{
    if (newRanges == this->ranges) {
        return;
    }
    this->ranges = std::move(newRanges);
    for (auto &upstream : this->upstreams) {
        this->updateMissing(upstream);
    }
}

auto ReleaseRound::updateMissing(Upstream &upstream) const -> void
{
    std::vector<KeyRange> required;
    for (const auto &each : this->ranges) {
        if (each.likelyOwner != upstream.holder.id) {
            required.push_back(each.range);
        }
    }
    upstream.missing = without(joined(std::move(required)), upstream.released);
}

auto ReleaseRound::takeOrders(std::uint64_t &nextCallId, Instant now) -> std::vector<RangeOrder>
{
    std::vector<RangeOrder> orders;
    for (auto &upstream : this->upstreams) {
        if (this->openOrderCount >= this->settings.maxOpenOrders) {
            break;
        }
        if (upstream.missing.empty() || now < upstream.nextOrderAt) {
            continue;
        }
        std::vector<KeyRange> ordered;
        std::transform(upstream.openOrders.begin(), upstream.openOrders.end(),
                       std::back_inserter(ordered), [](const auto &each) { return each.range; });
        for (const auto &range : without(upstream.missing, joined(std::move(ordered)))) {
            const auto call = CallId{nextCallId++};
            upstream.openOrders.push_back(OpenOrder{call, range});
            ++this->openOrderCount;
            ++this->givenOrders;
            orders.push_back(RangeOrder{RangeOrder::Kind::Release, call, upstream.holder.id,
                                        upstream.holder.address, range, this->fence, Duration{0},
                                        std::string{}});
        }
    }
    return orders;
}

auto ReleaseRound::onOrderEnd(const RangeOrderEnd &end, Instant now) -> void
{
    for (auto &upstream : this->upstreams) {
        const auto order = std::find_if(upstream.openOrders.begin(), upstream.openOrders.end(),
                                        [&](const auto &each) { return each.call == end.call; });
        if (order == upstream.openOrders.end()) {
            continue;
        }
        const auto range = order->range;
        upstream.openOrders.erase(order);
        --this->openOrderCount;
        const auto hasReleased = end.kind == RangeOrderEnd::Kind::Accepted
                                 || end.kind == RangeOrderEnd::Kind::OtherUpstream;
        if (!hasReleased) {
            ++upstream.failures;
            upstream.nextOrderAt = now + this->retryPause(upstream.failures);
            return;
        }
        upstream.failures = 0;
        if (end.kind == RangeOrderEnd::Kind::Accepted) {
            upstream.answers.push_back(Answer{range, now});
        }
        upstream.released.push_back(range);
        upstream.released = joined(std::move(upstream.released));
        upstream.missing = without(upstream.missing, {range});
        return;
    }
}

auto ReleaseRound::retryPause(int failures) const -> Duration
{
    constexpr auto mostDoublings = 6;
    return std::min(this->settings.longestRetryPause,
                    this->settings.firstRetryPause * (1 << std::min(failures - 1, mostDoublings)));
}

auto ReleaseRound::unreleased(Instant now) const -> std::vector<KeyRange>
{
    std::vector<KeyRange> result;
    for (const auto &upstream : this->upstreams) {
        result.insert(result.end(), upstream.missing.begin(), upstream.missing.end());
        for (const auto &answer : upstream.answers) {
            if (now < answer.at + this->workTime) {
                result.push_back(answer.range);
            }
        }
    }
    return joined(std::move(result));
}

auto ReleaseRound::isAnySilent() const -> bool
{
    return std::any_of(this->upstreams.begin(), this->upstreams.end(), [](const Upstream &each) {
        return each.failures > 0 && !each.missing.empty();
    });
}

auto ReleaseRound::silentUpstreams() const -> std::vector<UpstreamId>
{
    std::vector<UpstreamId> result;
    for (const auto &upstream : this->upstreams) {
        if (upstream.failures > 0 && !upstream.missing.empty()) {
            result.push_back(upstream.holder.id);
        }
    }
    return result;
}

} // namespace gooseberrywall
