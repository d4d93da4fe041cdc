#pragma once

#include "loadtool/types/callend.h"
#include "loadtool/types/observedrun.h"

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <unordered_map>

namespace gooseberrywall {

/// Results of an audit. All but `runs`, `dropped` and `unauditedAnswers` are zero if no promise was
/// broken.
struct AuditResult
{
    std::uint64_t runs = 0;
    /// Runs that the stand-ins had dropped before they were fetched: not audited.
    std::uint64_t dropped = 0;
    /// Non-idempotent requests that were started more than once.
    std::uint64_t doubleRuns = 0;
    /// Non-idempotent requests that took effect more than once.
    std::uint64_t doubleEffects = 0;
    /// Pairs of runs of one key, both with effect, that overlapped at different upstreams.
    std::uint64_t overlappingOwners = 0;
    /// Requests that were refused as not run, but that were started.
    std::uint64_t refusedButRun = 0;
    /// Requests that were answered although no run of them took effect.
    std::uint64_t answeredWithoutRun = 0;
    /// Answered requests without a known run while records of runs are lost: not audited.
    std::uint64_t unauditedAnswers = 0;

    auto operator==(const AuditResult &) const -> bool = default;
};

/// Compares what the upstreams ran with what the callers were told.
class RunAudit
{
public:
    /// Adds a run, or replaces its earlier state.
    auto add(const ObservedRun &run) -> void;

    /// Sets how many runs an upstream has dropped.
    /// @param dropped number of all runs dropped by this incarnation of the upstream
    auto addDropped(const Address &upstream, Incarnation incarnation, std::uint64_t dropped)
        -> void;

    /// Marks that records of runs were lost in a crash or restart of an upstream.
    auto markIncomplete() -> void { this->incomplete = true; }

    /// @param ends how the requests ended, as seen by their callers
    [[nodiscard]] auto result(const std::unordered_map<RequestId, CallEndKind> &ends) const
        -> AuditResult;

private:
    using UpstreamIncarnation = std::pair<Address, Incarnation>;
    using RunIdentity = std::tuple<Address, Incarnation, std::uint64_t>;

    [[nodiscard]] auto overlaps() const -> std::uint64_t;

    std::map<RunIdentity, ObservedRun> runs;
    std::map<UpstreamIncarnation, std::uint64_t> droppedByIncarnation;
    bool incomplete = false;
};

} // namespace gooseberrywall
