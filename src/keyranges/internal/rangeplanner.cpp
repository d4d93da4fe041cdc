#include "keyranges/rangeplanner.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <optional>

namespace gooseberrywall {

namespace {

constexpr std::size_t keyCount = 65536;
/// Requests per second for all keys together that are assumed besides those seen, so that keys
/// without requests are spread as well.
constexpr double baseRequestRate = 5;
/// Share of the mean load of an upstream that one part of a range without an owner carries; a range
/// of twice that load or more is split for several owners.
constexpr double unownedPartLoadShare = 0.35;
/// Largest number of such parts, unless the range has all keys.
constexpr int maxUnownedParts = 6;
/// Moves below this share of the load of an upstream at minBusyUtilisation aren't worth the time in
/// which their keys have no owner.
constexpr double minMovedLoadShare = 0.1;
/// Balancing takes a busy source down to, and its target up to, this share of minBusyUtilisation,
/// or to the mean utilisation where that is higher.
constexpr double desiredUtilisationShare = 0.9;
/// After a move, the target's utilisation is below this share of the source's before the move.
constexpr double maxTargetToSourceRatio = 0.85;
/// Upstreams without keys get some even if no upstream is busy, until a round has this many moves.
constexpr std::size_t maxMovesToNewUpstreams = 4;
/// An upstream without keys gets this share of the mean utilisation, as long as no upstream is
/// busy: it serves, and few keys change hands.
constexpr double newUpstreamShare = 0.5;
/// Keys that are judged together when a rise of their requests may be due to chance.
constexpr std::size_t blockSize = 64;
/// A block's requests have risen if the short-term rate exceeds the long-term rate by this many
/// standard deviations of the short-term rate, and by this many requests in its averaging time.
constexpr double riseDeviations = 4;
constexpr double riseRequests = 5;
/// A move carries enough if it carries at least this share of the load that is to move.
constexpr double enoughLoadShare = 0.7;

} // namespace

RangePlanner::RangePlanner(RangePlannerSettings settings)
    : settings(settings)
    , shortTermRates(keyCount, 0.0)
    , longTermRates(keyCount, 0.0)
    , loadPrefixSums(keyCount + 1, 0.0)
{
}

auto RangePlanner::observe(const std::map<KeyPosition, std::uint32_t> &counts, Instant now) -> void
{
    const auto elapsed = now - this->observedAt;
    this->observedAt = now;
    updateRates(this->shortTermRates, counts, this->settings.shortHalfLife, elapsed);
    updateRates(this->longTermRates, counts, this->settings.longHalfLife, elapsed);
}

auto RangePlanner::updateRates(std::vector<double> &rates,
                               const std::map<KeyPosition, std::uint32_t> &counts,
                               Duration halfLife, Duration elapsed) -> void
{
    const auto seconds = std::max(0.001, std::chrono::duration<double>(elapsed).count());
    const auto retainedShare =
        std::exp2(-seconds / std::chrono::duration<double>(halfLife).count());
    for (auto &rate : rates) {
        rate *= retainedShare;
    }
    const auto weight = (1 - retainedShare) / seconds;
    for (const auto &[key, count] : counts) {
        rates[key] += weight * count;
    }
}

auto RangePlanner::plan(const std::vector<RangeView> &views,
                        const std::vector<UpstreamStatus> &upstreams, Instant now)
    -> std::vector<RangeMove>
{
    this->updateLoadPrefixSums();
    auto candidates = this->candidatesOf(views, upstreams);
    std::vector<RangeMove> moves;
    const auto hasUsable = [&candidates] {
        return std::any_of(candidates.begin(), candidates.end(),
                           [](const auto &row) { return row.second.isUsable; });
    };
    if (hasUsable()) {
        this->placeUnowned(views, candidates, moves);
        this->balance(views, candidates, moves, now);
        return moves;
    }
    // An upstream is found to have recovered only by requests, and keys without an owner get none.
    for (auto &[id, candidate] : candidates) {
        candidate.isUsable = !candidate.isLeaving;
    }
    if (hasUsable()) {
        this->placeUnowned(views, candidates, moves);
    }
    return moves;
}

auto RangePlanner::updateLoadPrefixSums() -> void
{
    constexpr auto base = baseRequestRate / static_cast<double>(keyCount);
    for (std::size_t first = 0; first < keyCount; first += blockSize) {
        const auto &rates = this->hasRisen(first) ? this->shortTermRates : this->longTermRates;
        for (auto key = first; key < first + blockSize; ++key) {
            this->loadPrefixSums[key + 1] = this->loadPrefixSums[key] + base + rates[key];
        }
    }
}

auto RangePlanner::hasRisen(std::size_t first) const -> bool
{
    const auto sumOf = [&](const std::vector<double> &rates) {
        const auto begin = rates.begin() + static_cast<std::ptrdiff_t>(first);
        return std::accumulate(begin, begin + blockSize, 0.0);
    };
    const auto longTerm = sumOf(this->longTermRates);
    const auto rise = sumOf(this->shortTermRates) - longTerm;
    const auto averagingSeconds =
        std::chrono::duration<double>(this->settings.shortHalfLife).count() / std::log(2.0);
    // Variance of an exponential average of a Poisson process.
    const auto deviation = std::sqrt(longTerm / (2 * averagingSeconds));
    return rise > std::max(riseDeviations * deviation, riseRequests / averagingSeconds);
}

auto RangePlanner::loadOf(const KeyRange &range) const -> double
{
    return this->loadPrefixSums[std::size_t{range.last} + 1] - this->loadPrefixSums[range.first];
}

auto RangePlanner::candidatesOf(const std::vector<RangeView> &views,
                                const std::vector<UpstreamStatus> &upstreams) const
    -> std::map<UpstreamId, Candidate>
{
    std::map<UpstreamId, Candidate> result;
    for (const auto &upstream : upstreams) {
        const auto seconds = std::chrono::duration<double>(upstream.expectedLatency).count();
        Candidate candidate;
        candidate.id = upstream.id;
        const auto slotsPerSecond =
            upstream.slots * (1 - upstream.failureShare) / std::max(0.001, seconds);
        candidate.capacity =
            std::max(0.1, std::min(slotsPerSecond, upstream.requestLimit.perSecond));
        candidate.isUsable = upstream.isUsable;
        candidate.isLeaving = upstream.isDraining || upstream.isEvacuated;
        result.emplace(upstream.id, candidate);
    }
    for (const auto &view : views) {
        if (const auto found = view.owner ? result.find(*view.owner) : result.end();
            found != result.end()) {
            found->second.load += this->loadOf(view.range);
            ++found->second.rangeCount;
        }
    }
    return result;
}

auto RangePlanner::inPlacingOrder(const std::vector<RangeView> &views) const
    -> std::vector<RangeView>
{
    std::vector<RangeView> result;
    std::copy_if(views.begin(), views.end(), std::back_inserter(result),
                 [](const RangeView &view) { return !view.owner; });
    // Evacuated upstreams serve their ranges for a short time only, so the hottest ones go first.
    if (std::any_of(result.begin(), result.end(),
                    [](const RangeView &view) { return view.isEvacuated; })) {
        std::stable_sort(result.begin(), result.end(),
                         [this](const RangeView &left, const RangeView &right) {
                             return this->loadOf(left.range) > this->loadOf(right.range);
                         });
    }
    return result;
}

auto RangePlanner::placeUnowned(const std::vector<RangeView> &views,
                                std::map<UpstreamId, Candidate> &candidates,
                                std::vector<RangeMove> &moves) const -> void
{
    double capacity = 0;
    for (const auto &[id, candidate] : candidates) {
        capacity += candidate.isUsable ? candidate.capacity : 0;
    }
    const auto meanUtilisation = this->loadPrefixSums.back() / capacity;
    for (const auto &view : this->inPlacingOrder(views)) {
        const auto meanLoad = this->loadPrefixSums.back()
                              / static_cast<double>(std::max<std::size_t>(1, candidates.size()));
        const auto isWholeSpace = view.range.size() == keyCount;
        const auto parts = isWholeSpace
                               ? static_cast<int>(candidates.size())
                               : std::clamp(static_cast<int>(this->loadOf(view.range)
                                                             / (unownedPartLoadShare * meanLoad)),
                                            1, maxUnownedParts);
        for (const auto &range : this->splitByLoad(view.range, parts)) {
            // The upstream whose load is furthest below its share at the mean utilisation.
            Candidate *best = nullptr;
            for (auto &[id, candidate] : candidates) {
                if (!candidate.isUsable) {
                    continue;
                }
                const auto spareLoad = candidate.capacity * meanUtilisation - candidate.load;
                if (best == nullptr || spareLoad > best->capacity * meanUtilisation - best->load) {
                    best = &candidate;
                }
            }
            best->load += this->loadOf(range);
            moves.push_back(RangeMove{range, best->id});
        }
    }
}

auto RangePlanner::balance(const std::vector<RangeView> &views,
                           std::map<UpstreamId, Candidate> &candidates,
                           std::vector<RangeMove> &moves, Instant now) const -> void
{
    double load = 0;
    double capacity = 0;
    for (const auto &[id, candidate] : candidates) {
        load += candidate.load;
        capacity += candidate.isUsable ? candidate.capacity : 0;
    }
    const auto meanUtilisation = load / capacity;
    std::set<UpstreamId> skippedSources;
    // Ranges as they will be after the moves planned so far.
    auto plannedViews = views;
    for (auto attempt = 0; attempt < this->settings.maxMovesPerRound; ++attempt) {
        auto *source = this->busiest(candidates, skippedSources);
        auto *target = this->leastUtilised(candidates);
        if (source == nullptr || source == target) {
            return;
        }
        const auto isBusy =
            source->utilisation() > this->settings.minBusyUtilisation
            && source->utilisation() > this->settings.busyToMeanRatio * meanUtilisation;
        // An upstream that has joined gets keys even if no upstream is busy.
        const auto isTargetNew = target->rangeCount == 0 && moves.size() < maxMovesToNewUpstreams;
        if (source->isUsable && !isBusy && !isTargetNew) {
            return;
        }
        const auto desiredUtilisation =
            isTargetNew ? meanUtilisation
                        : std::max(meanUtilisation,
                                   desiredUtilisationShare * this->settings.minBusyUtilisation);
        const auto surplusLoad =
            source->isUsable ? source->load - source->capacity * desiredUtilisation : source->load;
        const auto targetShare = isTargetNew && !isBusy ? newUpstreamShare : 1.0;
        const auto spareLoad = target->capacity * desiredUtilisation * targetShare - target->load;
        const auto isMoved = this->moveLoad(plannedViews, *source, *target,
                                            std::min(surplusLoad, spareLoad), now, moves);
        // A single key that is too hot for its owner moves to the upstream of the highest capacity.
        auto *largest = this->withHighestCapacity(candidates);
        const auto isOverloaded = source->utilisation() > 1 && largest != source;
        if (!isMoved
            && !(isOverloaded
                 && this->moveLoad(plannedViews, *source, *largest, source->load, now, moves))) {
            skippedSources.insert(source->id);
        }
    }
}

auto RangePlanner::busiest(std::map<UpstreamId, Candidate> &candidates,
                           const std::set<UpstreamId> &skippedSources) const -> Candidate *
{
    // Unusable upstreams give their keys away before all others.
    const auto rank = [](const Candidate &each) {
        return std::pair(!each.isUsable, each.isUsable ? each.utilisation() : each.load);
    };
    Candidate *result = nullptr;
    for (auto &[id, candidate] : candidates) {
        const auto mayGive = !skippedSources.contains(id) && candidate.load > 0;
        if (mayGive && (result == nullptr || rank(candidate) > rank(*result))) {
            result = &candidate;
        }
    }
    return result;
}

auto RangePlanner::leastUtilised(std::map<UpstreamId, Candidate> &candidates) const -> Candidate *
{
    Candidate *result = nullptr;
    for (auto &[id, candidate] : candidates) {
        if (candidate.isUsable
            && (result == nullptr || candidate.utilisation() < result->utilisation())) {
            result = &candidate;
        }
    }
    return result;
}

auto RangePlanner::withHighestCapacity(std::map<UpstreamId, Candidate> &candidates) const
    -> Candidate *
{
    Candidate *result = nullptr;
    for (auto &[id, candidate] : candidates) {
        if (candidate.isUsable && (result == nullptr || candidate.capacity > result->capacity)) {
            result = &candidate;
        }
    }
    return result;
}

auto RangePlanner::moveLoad(std::vector<RangeView> &plannedViews, Candidate &source,
                            Candidate &target, double load, Instant now,
                            std::vector<RangeMove> &moves) const -> bool
{
    const auto minLoad = minMovedLoadShare * std::min(source.capacity, target.capacity);
    if (source.isUsable && load < minLoad * this->settings.minBusyUtilisation) {
        return false;
    }
    struct Choice
    {
        std::size_t index = 0;
        KeyRange range;
        double load = 0;
    };
    // The fewest keys that carry enough, or else the most load.
    const auto isBetter = [&](const Choice &left, const Choice &right) {
        const auto isLeftEnough = left.load >= enoughLoadShare * load;
        const auto isRightEnough = right.load >= enoughLoadShare * load;
        if (isLeftEnough && isRightEnough) {
            return left.range.size() < right.range.size();
        }
        return isLeftEnough != isRightEnough ? isLeftEnough : left.load > right.load;
    };
    std::optional<Choice> best;
    for (std::size_t index = 0; index < plannedViews.size(); ++index) {
        const auto &view = plannedViews[index];
        if (!view.isMovable || view.owner != source.id
            || now - view.ownedSince < this->settings.minOwnershipTime) {
            continue;
        }
        const auto range = this->edgeRange(view.range, load);
        const Choice choice{index, range, this->loadOf(range)};
        // A single key may have more than the load to move; the target must not get as busy.
        const auto lowersPeak = (target.load + choice.load) / target.capacity
                                < maxTargetToSourceRatio * source.utilisation();
        if ((!source.isUsable || lowersPeak) && (!best || isBetter(choice, *best))) {
            best = choice;
        }
    }
    if (!best) {
        return false;
    }
    moves.push_back(RangeMove{best->range, target.id});
    source.load -= best->load;
    target.load += best->load;
    ++target.rangeCount;
    splitView(plannedViews, best->index, best->range);
    return true;
}

auto RangePlanner::splitView(std::vector<RangeView> &plannedViews, std::size_t index,
                             const KeyRange &range) -> void
{
    const auto original = plannedViews[index];
    plannedViews[index].isMovable = false;
    plannedViews[index].range = range;
    if (range.first > original.range.first) {
        auto lower = original;
        lower.range.last = static_cast<KeyPosition>(range.first - 1);
        plannedViews.push_back(lower);
    }
    if (range.last < original.range.last) {
        auto upper = original;
        upper.range.first = static_cast<KeyPosition>(range.last + 1);
        plannedViews.push_back(upper);
    }
}

auto RangePlanner::splitByLoad(const KeyRange &range, int parts) const -> std::vector<KeyRange>
{
    std::vector<KeyRange> result;
    const auto total = this->loadOf(range);
    auto first = std::size_t{range.first};
    for (auto part = 1; part <= parts && first <= range.last; ++part) {
        const auto endSum = this->loadPrefixSums[range.first] + total * part / parts;
        const auto bound =
            std::lower_bound(this->loadPrefixSums.begin() + static_cast<long>(first) + 1,
                             this->loadPrefixSums.begin() + range.last + 1, endSum - 1e-9);
        auto last = static_cast<std::size_t>(bound - this->loadPrefixSums.begin()) - 1;
        last = part == parts ? range.last : std::min<std::size_t>(last, range.last);
        result.push_back(KeyRange{static_cast<KeyPosition>(first), static_cast<KeyPosition>(last)});
        first = last + 1;
    }
    return result;
}

auto RangePlanner::edgeRange(const KeyRange &range, double load) const -> KeyRange
{
    if (this->loadOf(range) <= load) {
        return range;
    }
    const auto begin = this->loadPrefixSums.begin() + range.first;
    const auto end = this->loadPrefixSums.begin() + range.last + 2;
    // The shortest part at each end that carries the load.
    const auto lowEnd = std::lower_bound(begin + 1, end, this->loadPrefixSums[range.first] + load);
    const auto highBegin =
        std::upper_bound(begin, end - 1, this->loadPrefixSums[std::size_t{range.last} + 1] - load);
    const KeyRange lowEdge{range.first,
                           static_cast<KeyPosition>(lowEnd - this->loadPrefixSums.begin() - 1)};
    const KeyRange highEdge{static_cast<KeyPosition>(std::max<std::ptrdiff_t>(
                                range.first, highBegin - this->loadPrefixSums.begin() - 1)),
                            range.last};
    const auto deviation = [&](const KeyRange &edge) {
        return std::abs(this->loadOf(edge) - load);
    };
    // The part whose load is clearly closer, or else the one with fewer keys.
    const auto isLowCloser = deviation(lowEdge) < 0.7 * deviation(highEdge);
    const auto isHighCloser = deviation(highEdge) < 0.7 * deviation(lowEdge);
    if (isLowCloser || isHighCloser) {
        return isLowCloser ? lowEdge : highEdge;
    }
    return lowEdge.size() <= highEdge.size() ? lowEdge : highEdge;
}

} // namespace gooseberrywall
