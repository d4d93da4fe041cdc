#include "keyranges/rangeplanner.h"

#include <algorithm>
#include <cmath>

namespace gooseberrywall {

namespace {

constexpr std::size_t keyCount = 65536;
/// Requests a second assumed for all keys together besides those seen, so that keys without
/// requests are spread as well.
constexpr double baseRate = 5;
/// Share of an upstream's own load above which a homeless span is split for several owners.
constexpr double homelessPart = 0.35;
constexpr int mostHomelessParts = 6;
/// Smaller moves, as a share of what a quiet upstream carries, aren't worth the pause of their
/// keys.
constexpr double leastShift = 0.1;
/// Upstreams that give keys away keep this share of what counts as quiet.
constexpr double goalOfQuiet = 0.9;
/// The taker of a move is used less than this share of the giver's use afterwards.
constexpr double easeShare = 0.85;
/// Moves to upstreams without keys in one round while all are quiet.
constexpr std::size_t joinMoves = 4;

} // namespace

RangePlanner::RangePlanner(RangePlannerSettings settings)
    : settings(settings)
    , recent(keyCount, 0.0)
    , lasting(keyCount, 0.0)
    , sums(keyCount + 1, 0.0)
{
}

auto RangePlanner::observe(const std::map<KeyPosition, std::uint32_t> &counts, Instant now) -> void
{
    const auto span = now - this->observedAt;
    this->observedAt = now;
    fade(this->recent, counts, this->settings.shortHalfLife, span);
    fade(this->lasting, counts, this->settings.longHalfLife, span);
}

auto RangePlanner::fade(std::vector<double> &rates,
                        const std::map<KeyPosition, std::uint32_t> &counts, Duration halfLife,
                        Duration span) -> void
{
    const auto seconds = std::max(0.001, std::chrono::duration<double>(span).count());
    const auto kept = std::exp2(-seconds / std::chrono::duration<double>(halfLife).count());
    for (auto &rate : rates) {
        rate *= kept;
    }
    const auto gain = (1 - kept) / seconds;
    for (const auto &[key, count] : counts) {
        rates[key] += gain * count;
    }
}

auto RangePlanner::plan(const std::vector<RangeView> &views,
                        const std::vector<UpstreamDemand> &upstreams, Instant now)
    -> std::vector<RangeMove>
{
    this->sumLoads();
    auto candidates = this->candidatesOf(views, upstreams);
    std::vector<RangeMove> moves;
    const auto hasUsable = std::any_of(candidates.begin(), candidates.end(),
                                       [](const auto &row) { return row.second.isUsable; });
    if (!hasUsable) {
        return moves;
    }
    this->placeHomeless(views, candidates, moves);
    this->balance(views, candidates, moves, now);
    return moves;
}

auto RangePlanner::sumLoads() -> void
{
    constexpr auto base = baseRate / static_cast<double>(keyCount);
    for (std::size_t key = 0; key < keyCount; ++key) {
        this->sums[key + 1] =
            this->sums[key] + base + std::max(this->recent[key], this->lasting[key]);
    }
}

auto RangePlanner::loadOf(const KeySpan &span) const -> double
{
    return this->sums[std::size_t{span.last} + 1] - this->sums[span.first];
}

auto RangePlanner::candidatesOf(const std::vector<RangeView> &views,
                                const std::vector<UpstreamDemand> &upstreams) const
    -> std::map<UpstreamId, Candidate>
{
    std::map<UpstreamId, Candidate> result;
    for (const auto &upstream : upstreams) {
        const auto seconds = std::chrono::duration<double>(upstream.expectedLatency).count();
        Candidate candidate;
        candidate.id = upstream.id;
        candidate.capacity =
            std::max(0.1, upstream.slots * (1 - upstream.failureShare) / std::max(0.001, seconds));
        candidate.isUsable = upstream.isUsable;
        result.emplace(upstream.id, candidate);
    }
    for (const auto &view : views) {
        if (const auto found = view.owner ? result.find(*view.owner) : result.end();
            found != result.end()) {
            found->second.load += this->loadOf(view.range);
            ++found->second.spans;
        }
    }
    return result;
}

auto RangePlanner::placeHomeless(const std::vector<RangeView> &views,
                                 std::map<UpstreamId, Candidate> &candidates,
                                 std::vector<RangeMove> &moves) const -> void
{
    double capacity = 0;
    for (const auto &[id, candidate] : candidates) {
        capacity += candidate.isUsable ? candidate.capacity : 0;
    }
    const auto meanUse = this->sums.back() / capacity;
    for (const auto &view : views) {
        if (view.owner) {
            continue;
        }
        const auto meanLoad =
            this->sums.back() / static_cast<double>(std::max<std::size_t>(1, candidates.size()));
        const auto isWholeSpace = view.range.size() == keyCount;
        const auto parts =
            isWholeSpace
                ? static_cast<int>(candidates.size())
                : std::clamp(static_cast<int>(this->loadOf(view.range) / (homelessPart * meanLoad)),
                             1, mostHomelessParts);
        for (const auto &span : this->splitByLoad(view.range, parts)) {
            // The upstream with the most room left, against its fair share.
            Candidate *best = nullptr;
            for (auto &[id, candidate] : candidates) {
                if (!candidate.isUsable) {
                    continue;
                }
                const auto room = candidate.capacity * meanUse - candidate.load;
                if (best == nullptr || room > best->capacity * meanUse - best->load) {
                    best = &candidate;
                }
            }
            best->load += this->loadOf(span);
            moves.push_back(RangeMove{span, best->id});
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
    const auto meanUse = load / capacity;
    std::set<UpstreamId> isDone;
    // Spans as they will be after the moves of this round.
    auto open = views;
    for (auto round = 0; round < this->settings.movesPerRound; ++round) {
        auto *giver = this->busiest(candidates, isDone);
        auto *taker = this->leastUsed(candidates);
        if (giver == nullptr || giver == taker) {
            return;
        }
        const auto isBusy = giver->use() > this->settings.quietUse
                            && giver->use() > this->settings.imbalance * meanUse;
        // A joined upstream gets keys also while all are quiet.
        const auto isTakerNew = taker->spans == 0 && moves.size() < joinMoves;
        if (giver->isUsable && !isBusy && !isTakerNew) {
            return;
        }
        const auto goalUse =
            isTakerNew ? meanUse : std::max(meanUse, goalOfQuiet * this->settings.quietUse);
        const auto surplus =
            giver->isUsable ? giver->load - giver->capacity * goalUse : giver->load;
        const auto room = taker->capacity * goalUse - taker->load;
        const auto isShifted =
            this->shift(open, *giver, *taker, std::min(surplus, room), now, moves);
        // A single key that is too hot for its owner goes to the strongest upstream.
        auto *strongest = this->strongest(candidates);
        const auto isOverloaded = giver->use() > 1 && strongest != giver;
        if (!isShifted
            && !(isOverloaded && this->shift(open, *giver, *strongest, giver->load, now, moves))) {
            isDone.insert(giver->id);
        }
    }
}

auto RangePlanner::busiest(std::map<UpstreamId, Candidate> &candidates,
                           const std::set<UpstreamId> &isDone) const -> Candidate *
{
    // Unusable upstreams give their keys away before all others.
    const auto rank = [](const Candidate &each) {
        return std::pair(!each.isUsable, each.isUsable ? each.use() : each.load);
    };
    Candidate *result = nullptr;
    for (auto &[id, candidate] : candidates) {
        const auto mayGive = !isDone.contains(id) && candidate.load > 0;
        if (mayGive && (result == nullptr || rank(candidate) > rank(*result))) {
            result = &candidate;
        }
    }
    return result;
}

auto RangePlanner::leastUsed(std::map<UpstreamId, Candidate> &candidates) const -> Candidate *
{
    Candidate *result = nullptr;
    for (auto &[id, candidate] : candidates) {
        if (candidate.isUsable && (result == nullptr || candidate.use() < result->use())) {
            result = &candidate;
        }
    }
    return result;
}

auto RangePlanner::strongest(std::map<UpstreamId, Candidate> &candidates) const -> Candidate *
{
    Candidate *result = nullptr;
    for (auto &[id, candidate] : candidates) {
        if (candidate.isUsable && (result == nullptr || candidate.capacity > result->capacity)) {
            result = &candidate;
        }
    }
    return result;
}

auto RangePlanner::shift(std::vector<RangeView> &open, Candidate &giver, Candidate &taker,
                         double load, Instant now, std::vector<RangeMove> &moves) const -> bool
{
    const auto least = leastShift * std::min(giver.capacity, taker.capacity);
    if (giver.isUsable && load < least * this->settings.quietUse) {
        return false;
    }
    std::vector<std::size_t> order;
    for (std::size_t index = 0; index < open.size(); ++index) {
        const auto &view = open[index];
        if (view.isMovable && view.owner == giver.id
            && now - view.ownedSince >= this->settings.settleTime) {
            order.push_back(index);
        }
    }
    std::sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return this->loadOf(open[left].range) > this->loadOf(open[right].range);
    });
    for (const auto index : order) {
        const auto span = this->edgeRun(open[index].range, load);
        const auto shifted = this->loadOf(span);
        // A key may be hotter than what was to be shifted: the move must still ease the load.
        const auto isEase = (taker.load + shifted) / taker.capacity < easeShare * giver.use();
        if (giver.isUsable && !isEase) {
            continue;
        }
        moves.push_back(RangeMove{span, taker.id});
        giver.load -= shifted;
        taker.load += shifted;
        ++taker.spans;
        const auto whole = open[index];
        open[index].isMovable = false;
        open[index].range = span;
        if (span.first > whole.range.first) {
            auto lower = whole;
            lower.range.last = static_cast<KeyPosition>(span.first - 1);
            open.push_back(lower);
        }
        if (span.last < whole.range.last) {
            auto upper = whole;
            upper.range.first = static_cast<KeyPosition>(span.last + 1);
            open.push_back(upper);
        }
        return true;
    }
    return false;
}

auto RangePlanner::splitByLoad(const KeySpan &span, int parts) const -> std::vector<KeySpan>
{
    std::vector<KeySpan> result;
    const auto total = this->loadOf(span);
    auto first = std::size_t{span.first};
    for (auto part = 1; part <= parts && first <= span.last; ++part) {
        const auto goal = this->sums[span.first] + total * part / parts;
        const auto bound = std::lower_bound(this->sums.begin() + static_cast<long>(first) + 1,
                                            this->sums.begin() + span.last + 1, goal - 1e-9);
        auto last = static_cast<std::size_t>(bound - this->sums.begin()) - 1;
        last = part == parts ? span.last : std::min<std::size_t>(last, span.last);
        result.push_back(KeySpan{static_cast<KeyPosition>(first), static_cast<KeyPosition>(last)});
        first = last + 1;
    }
    return result;
}

auto RangePlanner::edgeRun(const KeySpan &span, double load) const -> KeySpan
{
    if (this->loadOf(span) <= load) {
        return span;
    }
    const auto begin = this->sums.begin() + span.first;
    const auto end = this->sums.begin() + span.last + 2;
    // The first key at which the lower run carries the load, and the last for the upper run.
    const auto lower = std::lower_bound(begin + 1, end, this->sums[span.first] + load);
    const auto upper =
        std::upper_bound(begin, end - 1, this->sums[std::size_t{span.last} + 1] - load);
    const KeySpan low{span.first, static_cast<KeyPosition>(lower - this->sums.begin() - 1)};
    const KeySpan high{static_cast<KeyPosition>(
                           std::max<std::ptrdiff_t>(span.first, upper - this->sums.begin() - 1)),
                       span.last};
    const auto miss = [&](const KeySpan &run) { return std::abs(this->loadOf(run) - load); };
    const auto isLowFitter = miss(low) < 0.7 * miss(high);
    const auto isHighFitter = miss(high) < 0.7 * miss(low);
    if (isLowFitter || isHighFitter) {
        return isLowFitter ? low : high;
    }
    return low.size() <= high.size() ? low : high;
}

} // namespace gooseberrywall
