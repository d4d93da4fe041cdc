#pragma once

#include "protocol/types/cellrecord.h"
#include "protocol/types/peermessages.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// Reports about health are sent again while they hold; older ones prove nothing.
inline constexpr Duration healthReportLifetime = std::chrono::milliseconds{500};

/// How many reports wait for the record, by kind.
struct PendingCounts
{
    std::size_t crashes = 0;
    std::size_t cleared = 0;
    std::size_t orders = 0;
};

/// What grantors and operators reported to the coordinator. Releases and ends stay true for ever,
/// since fences and terms are never used twice.
class ReceivedReports
{
public:
    /// Takes ShardReleased, GrantsEnded, UpstreamHealth, LoadReport, CrashSuspects,
    /// SuspectsCleared and OperatorOrder.
    /// @returns whether it was one of these
    auto accept(Instant now, const DaemonId &from, const PeerMessage &message) -> bool;

    /// Forgets what the record shows as settled.
    auto removeObsolete(const CellRecord &record) -> void;

    [[nodiscard]] auto pendingCounts() const -> PendingCounts;

    /// These reports, the oldest of each kind, are in the record.
    auto removeRecorded(const PendingCounts &counts) -> void;

    [[nodiscard]] auto isReleased(const ShardId &shard, Fence fence) const -> bool;
    [[nodiscard]] auto haveGrantsEnded(const UpstreamId &upstream, Term term) const -> bool;
    /// @returns a report of the upstream's present grantor and term that is fresh; else nothing
    [[nodiscard]] auto healthOf(Instant now, const UpstreamEntry &entry) const
        -> std::optional<UpstreamHealth>;

    [[nodiscard]] auto crashReports() const -> const std::vector<CrashSuspects> &
    {
        return this->crashes;
    }
    /// @returns requests that completed after all crashes of theirs in the record, and before all
    ///          in crashReports()
    [[nodiscard]] auto clearedRequests() const -> const std::vector<QuarantinedRequest> &
    {
        return this->cleared;
    }
    [[nodiscard]] auto operatorOrders() const -> const std::vector<OperatorOrder> &
    {
        return this->orders;
    }
    [[nodiscard]] auto upstreamLoads() const -> std::vector<UpstreamLoad>;
    [[nodiscard]] auto shardLoads() const -> std::vector<ShardLoad>;

private:
    auto clearSuspects(const SuspectsCleared &message) -> void;

    struct HealthReport
    {
        DaemonId from;
        Instant at;
        UpstreamHealth health;
    };

    std::map<ShardId, Fence> releasedFences;
    std::set<std::pair<UpstreamId, Term>> endedTerms;
    std::map<UpstreamId, HealthReport> healthReports;
    std::map<DaemonId, LoadReport> loadReports;
    std::vector<CrashSuspects> crashes;
    std::vector<QuarantinedRequest> cleared;
    std::vector<OperatorOrder> orders;
};

} // namespace gooseberrywall
