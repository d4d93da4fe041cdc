#pragma once

#include "common/types/instant.h"
#include "protocol/types/upstreammessages.h"
#include "stubs/upstream/attemptmemory.h"
#include "stubs/upstream/grantledger.h"
#include "stubs/upstream/runlog.h"
#include "stubs/upstream/types/upstreammodelsettings.h"

#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// The answer to one call.
struct UpstreamReply
{
    CallId call;
    UpstreamAnswer answer;
    auto operator==(const UpstreamReply &) const -> bool = default;
};

/// Stand-in for an upstream, without input, output or clock: its driver passes in a time that never
/// goes backwards and collects the replies. The stand-in program and tests in virtual time use the
/// same class.
///
/// - Orders: see GrantLedger. A batch with a revocation is answered when the active runs of the
///   revoked shards have ended; their queued runs are refused at once.
/// - Runs: the fence must equal that of an unexpired grant on arrival, at the start and again at
///   the end of the service time, when the run takes effect. A run whose grant or deadline ends
///   earlier is Aborted without effect.
/// - CancelRun is answered with a RunAnswer of the attempt: Cancelled if it did not run and never
///   will, Aborted if it ran at least in part. If a cancellation overtakes its run, the run is
///   refused on arrival.
/// - The name of an operation determines its behaviour: see OperationPlan.
class UpstreamModel
{
public:
    /// @param settings the model's behaviour
    /// @param incarnation the first incarnation
    /// @param start the current time
    UpstreamModel(UpstreamModelSettings settings, Incarnation incarnation, Instant start);

    /// Handles a call. While frozen, the call waits as it would in the socket; while crashed, it is
    /// answered with UpstreamFailure::NotSent.
    auto receive(Instant now, CallId call, UpstreamRequest request) -> void;

    /// Advances the time: ends and starts runs that are due and ends a freeze that is over.
    auto advance(Instant now) -> void;

    /// Advances the time for a driver that may be late, for instance because its process was
    /// stopped. Overdue runs are checked against the current time, since they take effect only now.
    auto catchUp(Instant now) -> void;

    /// @returns the replies since the last call, in order
    [[nodiscard]] auto takeReplies() -> std::vector<UpstreamReply>;

    /// @returns when advance() is due next; no value while nothing is pending
    [[nodiscard]] auto nextChange() const -> std::optional<Instant>;

    /// Acts like a stopped process: nothing is answered and nothing takes effect.
    /// @param until when it resumes by itself; without a value, it waits for resume()
    auto freeze(Instant now, std::optional<Instant> until = std::nullopt) -> void;

    /// Ends a freeze: processes overdue runs first, then the calls that waited.
    auto resume(Instant now) -> void;

    /// Ends the incarnation; pending calls are answered with UpstreamFailure::NoAnswer.
    auto crash(Instant now) -> void;

    /// Starts a new incarnation without any state of the earlier one.
    auto restart(Instant now, Incarnation next) -> void;

    /// Starts or stops draining.
    auto setDraining(Instant now, bool draining) -> void;

    /// Sets the load in reports; without a value, the actual load is reported.
    auto misreportLoad(std::optional<double> load) -> void { this->reportedLoad = load; }

    /// Sets the health in reports; without a value, the upstream reports that it is healthy.
    auto misreportHealth(std::optional<bool> healthy) -> void { this->reportedHealth = healthy; }

    /// Changes the service time of operations that don't specify one, for runs that start later.
    auto setServiceTime(Duration time) -> void { this->settings.serviceTime = time; }

    /// @param observer called when a run starts and when it ends, before the run is answered
    auto observeRuns(RunLog::Observer observer) -> void { this->log.observe(std::move(observer)); }

    /// @returns the time of the upstream's clock
    [[nodiscard]] auto clock(Instant now) const -> UpstreamInstant;

    /// @returns the fence under which a run of the shard could take effect now; a frozen upstream
    ///          is treated as if it resumed now
    [[nodiscard]] auto heldFence(Instant now, const ShardId &shard) const -> std::optional<Fence>;

    /// @returns all unexpired grants, sorted by shard
    [[nodiscard]] auto heldGrants(Instant now) const -> std::vector<HeldGrant>
    {
        return this->grants.heldGrants(this->clock(now));
    }

    [[nodiscard]] auto draining() const -> bool { return this->drainingSince.has_value(); }
    [[nodiscard]] auto incarnation() const -> Incarnation { return this->currentIncarnation; }
    [[nodiscard]] auto frozen() const -> bool { return this->isFrozen; }
    [[nodiscard]] auto crashed() const -> bool { return this->isCrashed; }
    [[nodiscard]] auto busySlots() const -> int { return static_cast<int>(this->running.size()); }
    [[nodiscard]] auto runs() const -> const RunLog & { return this->log; }

private:
    struct Call
    {
        CallId id;
        UpstreamRequest request;
    };
    struct QueuedRun
    {
        CallId call;
        RunRequest request;
        Instant deadline;
    };
    struct ActiveRun
    {
        QueuedRun run;
        RunNumber number;
        Instant start;
        Instant finish;
        bool crashes;
    };
    struct PendingBatch
    {
        CallId call;
        GrantBatchAnswer answer;
        std::vector<ShardId> revoked;
    };
    struct LoadSnapshot
    {
        Instant taken;
        bool draining = false;
        int busySlots = 0;
        double load = 0.0;
    };

    auto handle(Instant now, const Call &call) -> void;
    auto handleBatch(Instant now, CallId call, const GrantBatch &batch) -> void;
    auto handleProbe(Instant now, CallId call) -> void;
    auto handleRun(Instant now, CallId call, const RunRequest &request) -> void;
    auto handleCancel(Instant now, CallId call, const CancelRun &cancel) -> void;
    /// @returns why the run can't start now; Done if it can
    [[nodiscard]] auto check(Instant now, const QueuedRun &run) const -> RunStatus;
    auto startRun(Instant now, QueuedRun run) -> void;
    auto startQueued(Instant now) -> void;
    auto endRun(Instant now, std::size_t index, RunStatus status) -> void;
    auto refuseRun(const QueuedRun &run, RunStatus status) -> void;
    auto refuseQueuedOf(const ShardId &shard) -> void;
    auto finishBatches(Instant now) -> void;
    [[nodiscard]] auto hasRunning(const ShardId &shard) const -> bool;
    auto stepTo(Instant now) -> void;
    auto stepRuns(Instant now) -> void;
    [[nodiscard]] auto nextRunChange() const -> std::optional<Instant>;
    [[nodiscard]] auto serviceTime(Instant now, Duration warmTime) const -> Duration;
    auto reply(CallId call, UpstreamAnswer answer) -> void;
    auto clearIncarnationState() -> void;

    UpstreamModelSettings settings;
    Incarnation currentIncarnation;
    Instant started;
    Instant incarnationStart;
    /// Earliest time at which overdue runs are checked: the last resume, crash, restart or
    /// catch-up.
    Instant notBefore;
    GrantLedger grants;
    std::vector<ActiveRun> running;
    std::deque<QueuedRun> queue;
    std::vector<PendingBatch> pendingBatches;
    std::deque<Call> inbox;
    std::vector<UpstreamReply> replies;
    AttemptMemory endedAttempts;
    AttemptMemory cancelledAttempts;
    LoadSnapshot snapshot;
    RunLog log;
    std::optional<Instant> drainingSince;
    std::optional<Instant> frozenUntil;
    std::optional<double> reportedLoad;
    std::optional<bool> reportedHealth;
    bool isFrozen = false;
    bool isCrashed = false;
};

} // namespace gooseberrywall
