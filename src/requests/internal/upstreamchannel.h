#pragma once

#include "protocol/types/servicepolicy.h"
#include "requests/admissionqueue.h"
#include "requests/concurrencylimit.h"
#include "requests/internal/channelcontext.h"
#include "requests/internal/job.h"
#include "requests/operationcosts.h"
#include "requests/outcomememory.h"
#include "requests/outcomemirror.h"
#include "requests/retrybudget.h"

#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace gooseberrywall {

/// Grantor side of one upstream: its admission queue, concurrency limit, outcome memory and mirror.
class UpstreamChannel
{
public:
    UpstreamChannel(Instant now, UpstreamEntry entry, const ServicePolicy &policy,
                    ChannelContext &context);

    /// Takes a forwarded request: answers it from memory, joins it to a job with the same id, or
    /// adds a job for it.
    auto accept(Instant now, const DaemonId &from, const ForwardRequest &message, Outbox &out)
        -> void;
    /// Answers an outcome query: from memory at once, or when the request's job ends.
    auto query(Instant now, const DaemonId &from, const OutcomeQuery &message, Outbox &out) -> void;
    /// Removes an attempt; the job ends where no other attempt waits for it.
    /// @returns whether the attempt belongs to a job of this channel
    auto cancel(Instant now, const DaemonId &from, AttemptId attempt, Outbox &out) -> bool;
    /// @returns whether the call is one of this channel's
    auto onAnswer(Instant now, CallId call, const UpstreamAnswer &answer, Outbox &out) -> bool;
    auto onMirrorAnswer(Instant now, const DaemonId &from, const MirrorAnswer &answer, Outbox &out)
        -> void;

    /// Applies the upstream's entry of the record; it may have restarted or have another stand-by.
    auto updateEntry(Instant now, const UpstreamEntry &entry, Outbox &out) -> void;
    auto configure(const ServicePolicy &policy) -> void;

    /// Returns queued requests to their entry daemons as not run.
    /// @param shard selects the requests of one shard; nothing: all requests
    auto returnQueued(Instant now, Reason reason, const std::optional<ShardId> &shard, Outbox &out)
        -> void;
    /// To be called when this daemon is no longer the grantor: returns queued requests as not run.
    auto retire(Instant now, Reason reason, Outbox &out) -> void;
    /// To be called when this daemon is the grantor again.
    auto resume() -> void { this->retired = false; }
    [[nodiscard]] auto isRetired() const -> bool { return this->retired; }

    auto tick(Instant now, Outbox &out) -> void;

    /// Ramps a cold upstream up.
    auto onColdStart(Instant now) -> void { this->concurrencyLimit.onColdStart(now); }

    /// Adds a shard's outcomes to the memory, and queues the requests that waited for them.
    /// @param outcomes from a handover, or without entries where the memory starts anew
    auto cover(Instant now, const ShardOutcomes &outcomes, Outbox &out) -> void;
    /// Replaces the memory by the one that this daemon has held as stand-by.
    auto adoptMemory(Instant now, OutcomeMemory memory) -> void;
    [[nodiscard]] auto covers(const ShardId &shard) const -> bool;
    [[nodiscard]] auto extract(Instant now, const ShardId &shard) -> std::optional<ShardOutcomes>;
    [[nodiscard]] auto coversAnyShard() const -> bool { return !this->memory.coverage().empty(); }
    /// Ends the coverage of a shard whose memory may have a gap, and returns its queued requests.
    auto uncover(Instant now, const ShardId &shard, Outbox &out) -> void;
    /// Moves the outcomes of a newly pinned key from its range to the key's own shard.
    auto splitMemory(Instant now, const ShardId &range, const PinnedKey &pin) -> void;
    /// Moves the outcomes of a key that is no longer pinned back to its range.
    /// @returns false where one of the two isn't covered
    auto mergeMemory(Instant now, const ShardId &pinned, const ShardId &range) -> bool;

    [[nodiscard]] auto entry() const -> const UpstreamEntry & { return this->upstream; }
    /// @returns how long outcomes are remembered
    [[nodiscard]] auto outcomeRetention() const -> Duration
    {
        return this->policy.outcomeMemoryTime;
    }
    [[nodiscard]] auto hasJobs() const -> bool { return !this->jobs.empty(); }
    [[nodiscard]] auto isIdle(Instant now) const -> bool;
    /// @returns the upstream's load since the last call
    [[nodiscard]] auto takeLoad(Instant now) -> UpstreamLoad;

private:
    /// A run that got no answer; counts as running at a crash that is reported soon after.
    struct UnansweredRun
    {
        Instant at{};
        QuarantinedRequest request;
    };

    // Arriving requests.
    /// Adds the attempt to the job with the same id, if there is one; refuses a different request.
    /// @returns whether there is such a job
    [[nodiscard]] auto joinJob(Instant now, const DaemonId &from, const ForwardRequest &message,
                               const OutcomeEntry &entry, Outbox &out) -> bool;
    /// @returns the end of a request that must not run; nothing where it may, or isn't covered
    [[nodiscard]] auto endFromMemory(Instant now, const OutcomeEntry &entry) const
        -> std::optional<RequestEnd>;
    /// @returns why requests that need the mirror are refused now; Reason::None where they aren't
    [[nodiscard]] auto mirrorRefusal(Instant now) const -> Reason;
    [[nodiscard]] auto makeItem(const Request &request) const -> QueuedItem;
    auto park(Job job, Outbox &out) -> void;
    [[nodiscard]] auto addJob(Job job) -> Job &;
    auto enqueue(Instant now, Job &job, Outbox &out) -> void;
    auto recordStart(Instant now, Job &job, Outbox &out) -> void;
    auto reply(const DaemonId &to, AttemptId attempt, RequestEnd end, Outbox &out) -> void;

    // Running requests.
    auto startRuns(Instant now, Outbox &out) -> void;
    auto run(Instant now, Job &job, Outbox &out) -> void;
    auto send(Instant now, Job &job, Fence fence, Outbox &out) -> void;
    auto shedExpired(Instant now, Outbox &out) -> void;
    auto endPastDeadline(Instant now, const std::vector<JobId> &waiting, Outbox &out) -> void;
    auto markMirrored() -> void;
    [[nodiscard]] auto ownsShard(const ShardId &shard) const -> bool;
    [[nodiscard]] auto fenceOf(Instant now, const Job &job) const -> std::optional<Fence>;
    [[nodiscard]] auto isMirrored(const Job &job) const -> bool;
    [[nodiscard]] auto slotUse(Instant now) const -> SlotUse;

    // Answers and ends.
    auto onRunAnswer(Instant now, Job &job, const RunAnswer &answer, Outbox &out) -> void;
    auto onCompleted(Instant now, Job &job, const RunAnswer &answer, Outbox &out) -> void;
    auto onFailure(Instant now, Job &job, UpstreamFailure failure, Outbox &out) -> void;
    auto onNotRun(Instant now, Job &job, Reason reason, Outbox &out) -> void;
    /// Queues a job for another try, if its deadline, tries and the retry budget allow it.
    [[nodiscard]] auto runAgain(Instant now, Job &job, Reason reason) -> bool;
    auto endUnknown(Instant now, Job &job, Reason reason, Outbox &out) -> void;
    auto endNotRun(Instant now, Job &job, Reason reason, Duration retryAfter, Outbox &out) -> void;
    auto replyToWaiters(Instant now, Job &job, const RequestEnd &end, Outbox &out) -> void;
    auto recordEnd(Instant now, Job &job, const RequestEnd &end) -> void;
    auto erase(Job &job) -> void;

    // Deadlines, lost grants and lost upstreams.
    auto cancelOverdueRuns(Instant now, Outbox &out) -> void;
    auto cancelRun(Job &job, Outbox &out) -> void;
    auto returnUnownedJobs(Instant now, Outbox &out) -> void;
    auto reportCrash(Instant now, Incarnation incarnation, Outbox &out) -> void;
    /// Ends the runs of a lost upstream as unknown for those who wait for them; non-idempotent ones
    /// only if its process has ended.
    auto endLostRuns(Instant now, bool processEnded, Outbox &out) -> void;

    ChannelContext &context;
    UpstreamEntry upstream;
    ServicePolicy policy;
    AdmissionQueue queue;
    ConcurrencyLimit concurrencyLimit;
    RetryBudget retryBudget;
    OperationCosts operationCosts;
    OutcomeMemory memory;
    OutcomeMirror mirror;
    bool retired = false;

    std::unordered_map<JobId, Job> jobs;
    JobId lastJob;
    std::unordered_map<OutcomeKey, JobId> jobsByKey;
    std::unordered_map<AttemptId, JobId> jobsByAttempt;
    std::unordered_map<CallId, JobId> jobsByCall;
    std::unordered_set<CallId> cancelCalls;
    std::map<std::uint64_t, JobId> awaitingMirror;
    /// Jobs that aren't queued until the memory of their shard has arrived.
    std::map<ShardId, std::vector<JobId>> awaitingMemory;
    std::size_t parkedJobs = 0;
    std::vector<JobId> running;
    /// Suspects of a crash that wait until no other suspect runs.
    std::vector<QueuedItem> heldSuspects;
    std::deque<UnansweredRun> unansweredRuns;

    Instant nextOwnershipCheck{};
    Duration busyTime{0};
    Instant loadSince{};
    int consecutiveFailures = 0;
};

} // namespace gooseberrywall
