#pragma once

#include "common/types/fence.h"
#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/shardid.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberrywall {

enum class GrantAction : std::uint8_t {
    /// Own the shard from now on, or continue to own it.
    Grant,
    /// Stop owning the shard: finish or refuse the requests that run, then answer.
    Revoke,
};

/// One order about one shard.
struct GrantOrder
{
    ShardId shard;
    Fence fence;
    GrantAction action = GrantAction::Grant;
    /// End of the grant on the upstream's own clock; an order that arrives later has no effect.
    /// Without it the time to live starts on arrival.
    std::optional<UpstreamInstant> until;
    Duration timeToLive{0};
    auto operator==(const GrantOrder &) const -> bool = default;
};

/// Orders from a grantor. The upstream refuses them all if its incarnation differs, or, where it
/// checks the sender, if it has accepted a higher term.
struct GrantBatch
{
    DaemonId grantor;
    Term term;
    /// Zero: not known yet. Then the batch must not hold orders and only asks for the current
    /// state.
    Incarnation incarnation;
    std::vector<GrantOrder> orders;
    auto operator==(const GrantBatch &) const -> bool = default;
};

/// Asks for the upstream's report of its health and load, which may be late or wrong.
struct UpstreamProbe
{
    auto operator==(const UpstreamProbe &) const -> bool = default;
};

/// Runs one request under the shard's fence. The upstream refuses a fence that isn't the one it
/// holds, a passed deadline and another incarnation, in each case without running it.
struct RunRequest
{
    AttemptId attempt;
    RequestId id;
    ShardId shard;
    Fence fence;
    Key key;
    std::string operation;
    bool idempotent = true;
    /// Time until the deadline, at which the upstream gives up.
    Duration remaining{0};
    std::string body;
    auto operator==(const RunRequest &) const -> bool = default;
};

/// Cancels an attempt, queued or running.
struct CancelRun
{
    AttemptId attempt;
    auto operator==(const CancelRun &) const -> bool = default;
};

using UpstreamRequest = std::variant<GrantBatch, UpstreamProbe, RunRequest, CancelRun>;

/// A grant that the upstream holds.
struct HeldGrant
{
    ShardId shard;
    Fence fence;
    std::optional<UpstreamInstant> until;
    auto operator==(const HeldGrant &) const -> bool = default;
};

enum class GrantStatus : std::uint8_t {
    Done,
    /// The upstream has seen a higher fence of the shard.
    StaleFence,
    /// The end of the grant had passed on arrival.
    Expired,
    /// The upstream is leaving and takes no new shard.
    Draining,
};

/// Result of one order; `fence` is the shard's highest fence that the upstream has seen.
struct GrantResult
{
    ShardId shard;
    GrantStatus status = GrantStatus::Done;
    Fence fence;
    auto operator==(const GrantResult &) const -> bool = default;
};

/// Answers a GrantBatch: one result per order, in the same order, and all grants that the upstream
/// holds.
struct GrantBatchAnswer
{
    Incarnation incarnation;
    UpstreamInstant clock{};
    /// The whole batch was refused: the incarnation differs, or a higher term was accepted.
    bool refused = false;
    Term highestTerm;
    std::vector<GrantResult> results;
    std::vector<HeldGrant> held;
    auto operator==(const GrantBatchAnswer &) const -> bool = default;
};

/// Health and load, as reported by the upstream itself.
struct UpstreamReport
{
    Incarnation incarnation;
    UpstreamInstant clock{};
    bool healthy = true;
    bool draining = false;
    int slots = 0;
    int busySlots = 0;
    double load = 0.0;
    auto operator==(const UpstreamReport &) const -> bool = default;
};

enum class RunStatus : std::uint8_t {
    /// Ran; status and body are the answer.
    Done,
    /// This and the next statuses up to Cancelled: certainly not run.
    StaleFence,
    NotOwner,
    Shed,
    Draining,
    DeadlinePassed,
    Cancelled,
    /// Ran or ran in part, then was cancelled or exceeded its deadline.
    Aborted,
};

/// The end of one attempt.
struct RunAnswer
{
    AttemptId attempt;
    Incarnation incarnation;
    RunStatus runStatus = RunStatus::Done;
    int status = 0;
    /// How long the upstream worked on the request.
    Duration serviceTime{0};
    std::string body;
    auto operator==(const RunAnswer &) const -> bool = default;
};

/// Why no answer came from an upstream.
enum class UpstreamFailure : std::uint8_t {
    /// Nothing of the call was sent.
    NotSent,
    /// Sent at least in part; what became of it is unknown.
    NoAnswer,
    /// The answer was cut short, too large or malformed.
    BadAnswer,
};

using UpstreamAnswer = std::variant<GrantBatchAnswer, UpstreamReport, RunAnswer, UpstreamFailure>;

} // namespace gooseberrywall
