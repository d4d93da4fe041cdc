#include "ownership/internal/receivedreports.h"

#include "common/mutation.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// Maximum number of reports of a kind that wait for the record; further ones are dropped until the
/// earlier ones are stored.
constexpr std::size_t pendingReportLimit = 256;

template<typename Value>
auto pushBounded(std::vector<Value> &list, const Value &value) -> void
{
    if (list.size() < pendingReportLimit) {
        list.push_back(value);
    }
}

template<typename Value>
auto dropFront(std::vector<Value> &list, std::size_t count) -> void
{
    const auto dropped = std::min(count, list.size());
    list.erase(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(dropped));
}

} // namespace

auto ReceivedReports::accept(Instant now, const DaemonId &from, const PeerMessage &message) -> bool
{
    if (const auto *released = std::get_if<ShardReleased>(&message)) {
        auto &fence = this->releasedFences[released->shard];
        fence = std::max(fence, released->fence);
        return true;
    }
    if (const auto *ended = std::get_if<GrantsEnded>(&message)) {
        this->endedTerms.emplace(ended->upstream, ended->term);
        return true;
    }
    if (const auto *health = std::get_if<UpstreamHealth>(&message)) {
        this->healthReports[health->upstream] = {from, now, *health};
        return true;
    }
    if (const auto *load = std::get_if<LoadReport>(&message)) {
        this->loadReports[from] = *load;
        return true;
    }
    if (const auto *crash = std::get_if<CrashSuspects>(&message)) {
        pushBounded(this->crashes, *crash);
        return true;
    }
    if (const auto *cleared = std::get_if<SuspectsCleared>(&message)) {
        this->clearSuspects(*cleared);
        return true;
    }
    if (const auto *order = std::get_if<OperatorOrder>(&message)) {
        pushBounded(this->orders, *order);
        return true;
    }
    return false;
}

auto ReceivedReports::clearSuspects(const SuspectsCleared &message) -> void
{
    for (const auto &request : message.requests) {
        for (auto &crash : this->crashes) {
            std::erase(crash.suspects, request);
        }
        pushBounded(this->cleared, request);
    }
}

auto ReceivedReports::removeObsolete(const CellRecord &record) -> void
{
    std::set<std::pair<UpstreamId, Term>> terms;
    std::set<DaemonId> grantors;
    for (const auto &upstream : record.upstreams) {
        grantors.insert(upstream.grantor);
        terms.emplace(upstream.id, upstream.term);
        for (const auto &former : upstream.formerGrantors) {
            terms.emplace(upstream.id, former.term);
        }
    }
    std::erase_if(this->endedTerms, [&](const auto &end) { return !terms.contains(end); });
    std::erase_if(this->loadReports,
                  [&](const auto &load) { return !grantors.contains(load.first); });
    std::map<ShardId, Fence> kept;
    for (const auto &shard : record.shards) {
        const auto release = this->releasedFences.find(shard.id);
        if (release != this->releasedFences.end() && release->second == shard.fence) {
            kept.insert(*release);
        }
    }
    this->releasedFences = std::move(kept);
}

auto ReceivedReports::pendingCounts() const -> PendingCounts
{
    return {this->crashes.size(), this->cleared.size(), this->orders.size()};
}

auto ReceivedReports::removeRecorded(const PendingCounts &counts) -> void
{
    dropFront(this->crashes, counts.crashes);
    dropFront(this->cleared, counts.cleared);
    dropFront(this->orders, counts.orders);
}

auto ReceivedReports::isReleased(const ShardId &shard, Fence fence) const -> bool
{
    if (isMutated(Mutation::SkipFenceCheck)) {
        return true;
    }
    const auto release = this->releasedFences.find(shard);
    return release != this->releasedFences.end() && release->second == fence;
}

auto ReceivedReports::haveGrantsEnded(const UpstreamId &upstream, Term term) const -> bool
{
    return this->endedTerms.contains({upstream, term});
}

auto ReceivedReports::healthOf(Instant now, const UpstreamEntry &entry) const
    -> std::optional<UpstreamHealth>
{
    const auto found = this->healthReports.find(entry.id);
    if (found == this->healthReports.end()) {
        return std::nullopt;
    }
    const auto &report = found->second;
    const auto isCurrent = report.from == entry.grantor && report.health.term == entry.term
                           && now - report.receivedAt < healthReportLifetime;
    return isCurrent ? std::optional(report.health) : std::nullopt;
}

auto ReceivedReports::upstreamLoads() const -> std::vector<UpstreamLoad>
{
    std::vector<UpstreamLoad> all;
    for (const auto &[daemon, report] : this->loadReports) {
        all.insert(all.end(), report.upstreams.begin(), report.upstreams.end());
    }
    return all;
}

auto ReceivedReports::shardLoads() const -> std::vector<ShardLoad>
{
    std::vector<ShardLoad> all;
    for (const auto &[daemon, report] : this->loadReports) {
        all.insert(all.end(), report.shards.begin(), report.shards.end());
    }
    return all;
}

} // namespace gooseberrywall
