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

/// Stand-in for an upstream, without input, output or clock: whoever drives it passes the time in,
/// never backwards, and collects the replies. The same class serves the stand-in program and
/// tests in virtual time.
///
/// - Orders: see GrantLedger. A batch with a revocation is answered when the running runs of the
///   revoked shards have ended; their queued runs are refused at once.
/// - Runs: the fence must equal the held one and the grant must be live, on arrival, on the start
///   and again before the effect, which comes at the end of the service time. A run whose grant
///   or deadline ends meanwhile is Aborted without effect.
/// - CancelRun is answered with a RunAnswer of the attempt: Cancelled where it did not run and
///   never will, Aborted where it ran at least in part. A cancellation may overtake its run; the
///   run is then refused on arrival.
/// - Operations name what they do: see OperationPlan.
class UpstreamModel
{
public:
    /// @param settings how it behaves
    /// @param incarnation of its first life
    /// @param start the present time
    UpstreamModel(UpstreamModelSettings settings, Incarnation incarnation, Instant start);

    /// Takes a call. While frozen the call waits, as it would in the socket; while crashed it ends
    /// with UpstreamFailure::NotSent.
    auto receive(Instant now, CallId call, UpstreamRequest request) -> void;

    /// Lets time pass: runs end, queued runs start, a freeze ends.
    auto advance(Instant now) -> void;

    /// Lets time pass for a driver that may be late, such as a process that was itself stopped:
    /// what was due meanwhile is judged by the present time, at which it really takes effect.
    auto catchUp(Instant now) -> void;

    /// @returns the replies since the last call, in order
    [[nodiscard]] auto takeReplies() -> std::vector<UpstreamReply>;

    /// @returns when advance() has something to do next; nothing while nothing is pending
    [[nodiscard]] auto nextChange() const -> std::optional<Instant>;

    /// Stops it as if the process were stopped: nothing is answered and nothing takes effect.
    /// @param until when it goes on by itself; nothing: not before resume()
    auto freeze(Instant now, std::optional<Instant> until = std::nullopt) -> void;

    /// Goes on as if nothing had happened: first timers, then the calls that waited.
    auto resume(Instant now) -> void;

    /// Ends its life; pending calls end with UpstreamFailure::NoAnswer.
    auto crash(Instant now) -> void;

    /// Starts the next life, which remembers nothing of the earlier one.
    auto restart(Instant now, Incarnation next) -> void;

    /// Begins to drain or stops draining.
    auto setDraining(Instant now, bool draining) -> void;

    /// Reports this load instead of the true one; nothing: the truth.
    auto misreportLoad(std::optional<double> load) -> void { this->reportedLoad = load; }

    /// Reports this health instead of the true one; nothing: the truth.
    auto misreportHealth(std::optional<bool> healthy) -> void { this->reportedHealth = healthy; }

    /// Changes the service time of operations that don't name their own, for runs yet to start.
    auto setServiceTime(Duration time) -> void { this->settings.serviceTime = time; }

    /// @param observer told of each run when it starts and when it ends, before it is answered
    auto observeRuns(RunLog::Observer observer) -> void { this->log.observe(std::move(observer)); }

    /// @returns what its clock shows
    [[nodiscard]] auto clock(Instant now) const -> UpstreamInstant;

    /// @returns the fence under which it would let a run of the shard take effect now; a frozen
    ///          upstream is judged as if it went on now
    [[nodiscard]] auto heldFence(Instant now, const ShardId &shard) const -> std::optional<Fence>;

    /// @returns all grants that it would act on now, sorted by shard
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
    /// @returns why a run can't start or take effect now; Done where it can
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
    /// Nothing takes effect earlier than this; the end of the last freeze.
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
