#pragma once

#include "protocol/types/cellrecord.h"
#include "protocol/types/peermessages.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// Grantors repeat a health report while it holds, so an older one may be outdated.
inline constexpr Duration healthReportLifetime = std::chrono::milliseconds{500};

/// Numbers of reports that aren't in the stored record yet.
struct PendingCounts
{
    std::size_t crashes = 0;
    std::size_t cleared = 0;
    std::size_t orders = 0;
};

/// The reports of grantors and operators to the coordinator. Released fences and ended terms never
/// become outdated, since fences and terms aren't used twice.
class ReceivedReports
{
public:
    /// Accepts ShardReleased, GrantsEnded, UpstreamHealth, LoadReport, CrashSuspects,
    /// SuspectsCleared and OperatorOrder.
    /// @returns whether the message was one of these
    auto accept(Instant now, const DaemonId &from, const PeerMessage &message) -> bool;

    /// Removes reports about fences, terms and grantors that are no longer in the record.
    auto removeObsolete(const CellRecord &record) -> void;

    [[nodiscard]] auto pendingCounts() const -> PendingCounts;

    /// Removes the oldest reports of each kind after they were written to the record.
    auto removeRecorded(const PendingCounts &counts) -> void;

    [[nodiscard]] auto isReleased(const ShardId &shard, Fence fence) const -> bool;
    [[nodiscard]] auto haveGrantsEnded(const UpstreamId &upstream, Term term) const -> bool;
    /// @returns the last report of the upstream's present grantor and term if it is younger than
    ///          healthReportLifetime; else nothing
    [[nodiscard]] auto healthOf(Instant now, const UpstreamEntry &entry) const
        -> std::optional<UpstreamHealth>;

    [[nodiscard]] auto crashReports() const -> const std::vector<CrashSuspects> &
    {
        return this->crashes;
    }
    /// @returns requests that completed a run after all their crashes in the record and before all
    ///          those in crashReports()
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
        Instant receivedAt;
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
