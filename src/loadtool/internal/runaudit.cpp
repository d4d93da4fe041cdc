#include "loadtool/runaudit.h"

#include <algorithm>
#include <vector>

namespace gooseberrywall {

namespace {

struct RequestRuns
{
    std::uint64_t starts = 0;
    std::uint64_t effects = 0;
    bool idempotent = true;
};

auto isOtherOwner(const ObservedRun &left, const ObservedRun &right) -> bool
{
    return left.upstream != right.upstream || left.incarnation != right.incarnation;
}

/// @param runs the runs of one key, sorted by start
/// @returns the number of pairs that overlap at different owners
auto overlapsOf(const std::vector<const ObservedRun *> &runs) -> std::uint64_t
{
    std::uint64_t count = 0;
    for (std::size_t first = 0; first < runs.size(); ++first) {
        for (auto second = first + 1;
             second < runs.size() && runs[second]->start < *runs[first]->end; ++second) {
            count += isOtherOwner(*runs[first], *runs[second]) ? 1 : 0;
        }
    }
    return count;
}

} // namespace

auto RunAudit::add(const ObservedRun &run) -> void
{
    this->runs[{run.upstream, run.incarnation, run.number}] = run;
}

auto RunAudit::addDropped(const Address &upstream, Incarnation incarnation, std::uint64_t dropped)
    -> void
{
    this->droppedByIncarnation[{upstream, incarnation}] = dropped;
}

auto RunAudit::result(const std::unordered_map<RequestId, CallEndKind> &ends) const -> AuditResult
{
    std::unordered_map<RequestId, RequestRuns> requests;
    for (const auto &[identity, run] : this->runs) {
        auto &request = requests[run.id];
        request.starts += 1;
        request.effects += run.effect ? 1 : 0;
        request.idempotent = run.idempotent;
    }
    AuditResult result;
    result.runs = this->runs.size();
    for (const auto &[upstreamIncarnation, dropped] : this->droppedByIncarnation) {
        const auto &[upstream, incarnation] = upstreamIncarnation;
        const auto first = this->runs.lower_bound({upstream, incarnation, 0});
        const auto last = this->runs.upper_bound({upstream, incarnation, dropped});
        // Dropped runs may have been added to the audit before they were dropped.
        const auto known = static_cast<std::uint64_t>(std::distance(first, last));
        result.dropped += dropped - std::min(dropped, known);
    }
    for (const auto &[id, request] : requests) {
        result.doubleRuns += !request.idempotent && request.starts > 1 ? 1 : 0;
        result.doubleEffects += !request.idempotent && request.effects > 1 ? 1 : 0;
    }
    for (const auto &[id, kind] : ends) {
        const auto request = requests.find(id);
        const auto ran = request != requests.end();
        const auto effect = ran && request->second.effects > 0;
        result.refusedButRun += kind == CallEndKind::Refused && ran ? 1 : 0;
        auto &withoutRun = this->incomplete ? result.unauditedAnswers : result.answeredWithoutRun;
        withoutRun += kind == CallEndKind::Answer && !effect ? 1 : 0;
    }
    result.overlappingOwners = this->overlaps();
    return result;
}

auto RunAudit::overlaps() const -> std::uint64_t
{
    std::unordered_map<Key, std::vector<const ObservedRun *>> byKey;
    for (const auto &[identity, run] : this->runs) {
        if (run.effect && run.end.has_value()) {
            byKey[run.key].push_back(&run);
        }
    }
    std::uint64_t count = 0;
    for (auto &[key, keyRuns] : byKey) {
        std::sort(keyRuns.begin(), keyRuns.end(),
                  [](const auto *left, const auto *right) { return left->start < right->start; });
        count += overlapsOf(keyRuns);
    }
    return count;
}

} // namespace gooseberrywall
