#include "loadtool/loadtally.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace gooseberrywall {

namespace {

/// @returns the smallest value that is not exceeded by at least the share `quantile` of the values
auto quantileOf(const std::vector<Duration> &sorted, double quantile) -> Duration
{
    const auto rank = std::ceil(quantile * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

} // namespace

auto LoadTally::add(const PlannedRequest &request, Duration endedAt, const CallEnd &end) -> void
{
    this->counts.at(static_cast<std::size_t>(end.kind)) += 1;
    this->endsById[request.id] = end.kind;
    if (end.kind == CallEndKind::Answer) {
        this->addAnswer(request, endedAt);
        return;
    }
    this->addFailure(request, endedAt, end);
}

auto LoadTally::addAnswer(const PlannedRequest &request, Duration endedAt) -> void
{
    this->answerLatencies.push_back(endedAt - request.at);
    auto &key = this->keys[request.key];
    const auto waitingSince = std::max(request.at, key.lastAnswer);
    Unavailability gap{request.key, waitingSince, endedAt - waitingSince, endedAt - waitingSince};
    if (key.failingSince.has_value()) {
        gap.start = std::min(*key.failingSince, waitingSince);
        gap.atMost = endedAt - gap.start;
        const auto failed = key.failingUntil - *key.failingSince;
        const auto unbroken = waitingSince <= key.failingUntil;
        gap.atLeast = unbroken ? gap.atMost : std::max(gap.atLeast, failed);
    }
    if (!this->longest.has_value() || gap.atLeast > this->longest->atLeast) {
        this->longest = gap;
    }
    key.lastAnswer = endedAt;
    key.failingSince = std::nullopt;
}

auto LoadTally::addOutcomeQuery(const PlannedRequest &request, const CallEnd &end) -> void
{
    this->outcomeQueryCounts.at(static_cast<std::size_t>(end.kind)) += 1;
    if (end.kind == CallEndKind::Answer || end.kind == CallEndKind::Refused) {
        this->endsById[request.id] = end.kind;
    }
}

auto LoadTally::outcomeQueries(CallEndKind kind) const -> std::uint64_t
{
    return this->outcomeQueryCounts.at(static_cast<std::size_t>(kind));
}

auto LoadTally::addFailure(const PlannedRequest &request, Duration endedAt, const CallEnd &end)
    -> void
{
    const auto isOpen = end.kind == CallEndKind::Unknown || end.kind == CallEndKind::NoAnswer;
    if (isOpen && !request.idempotent) {
        this->unresolvedRequests.push_back(request);
    }
    const auto kind = std::string(toString(end.kind));
    this->reasonCounts[end.reason.empty() ? kind : kind + '/' + end.reason] += 1;
    auto &key = this->keys[request.key];
    const auto since = std::max(request.at, key.lastAnswer);
    key.failingSince = std::min(since, key.failingSince.value_or(since));
    key.failingUntil = endedAt;
}

auto LoadTally::total() const -> std::uint64_t
{
    return std::accumulate(this->counts.begin(), this->counts.end(), std::uint64_t{0});
}

auto LoadTally::count(CallEndKind kind) const -> std::uint64_t
{
    return this->counts.at(static_cast<std::size_t>(kind));
}

auto LoadTally::latencies() const -> LatencySummary
{
    if (this->answerLatencies.empty()) {
        return {};
    }
    auto sorted = this->answerLatencies;
    std::sort(sorted.begin(), sorted.end());
    return {quantileOf(sorted, 0.5), quantileOf(sorted, 0.9), quantileOf(sorted, 0.99),
            quantileOf(sorted, 0.999), sorted.back()};
}

auto LoadTally::longestUnavailability(Duration now) const -> std::optional<Unavailability>
{
    auto found = this->longest;
    for (const auto &[key, state] : this->keys) {
        if (!state.failingSince.has_value()) {
            continue;
        }
        const auto start = *state.failingSince;
        const auto atLeast = state.failingUntil - start;
        if (!found.has_value() || atLeast > found->atLeast) {
            found = Unavailability{key, start, atLeast, now - start};
        }
    }
    return found;
}

} // namespace gooseberrywall
