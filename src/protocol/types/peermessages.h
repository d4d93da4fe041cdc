#pragma once

#include "common/types/fence.h"
#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/shardid.h"
#include "protocol/types/cellrecord.h"
#include "protocol/types/request.h"

#include <string>
#include <variant>
#include <vector>

namespace gooseberrywall {

enum class MemberState : std::uint8_t { Alive, Suspect, Leaving, Removed };

/// What one daemon believes about another. Of two claims the one with the higher incarnation wins,
/// then the one with the higher refutation, then the one with the later MemberState.
struct MemberClaim
{
    DaemonId id;
    Incarnation incarnation;
    FailureDomain domain;
    Address address;
    MemberState state = MemberState::Alive;
    /// How many claims about itself the daemon has refuted; only that daemon increments it.
    std::uint64_t refutation = 0;
    auto operator==(const MemberClaim &) const -> bool = default;
};

/// Load of one upstream in the last load interval, measured by its grantor.
struct UpstreamLoad
{
    UpstreamId upstream;
    /// Sum of the service times in the interval, divided by slots times interval.
    double utilisation = 0.0;
    bool healthy = true;
    auto operator==(const UpstreamLoad &) const -> bool = default;
};

/// Load of one shard or hot key in the last load interval.
struct ShardLoad
{
    ShardId shard;
    /// Empty for the load of the whole shard; otherwise the hot key of it whose load this is.
    Key key;
    /// Average number of slots in use, in slot-seconds per second.
    double busySlots = 0.0;
    auto operator==(const ShardLoad &) const -> bool = default;
};

/// Sent between the daemons of a cell at each heartbeat interval. A sequence of zero asks for no
/// answer.
struct Heartbeat
{
    std::uint64_t sequence = 0;
    RecordVersion tableVersion;
    std::uint64_t configurationGeneration = 0;
    std::vector<MemberClaim> claims;
    /// Digest of the sender's membership view. A receiver whose digest differs answers with claims.
    std::uint64_t viewDigest = 0;
    auto operator==(const Heartbeat &) const -> bool = default;
};

struct HeartbeatAnswer
{
    std::uint64_t sequence = 0;
    RecordVersion tableVersion;
    std::uint64_t configurationGeneration = 0;
    std::vector<MemberClaim> claims;
    std::uint64_t viewDigest = 0;
    auto operator==(const HeartbeatAnswer &) const -> bool = default;
};

/// Asks another daemon to probe a third one, before the sender suspects that one.
struct IndirectProbe
{
    DaemonId target;
    std::uint64_t sequence = 0;
    auto operator==(const IndirectProbe &) const -> bool = default;
};

struct IndirectProbeAnswer
{
    DaemonId target;
    std::uint64_t sequence = 0;
    bool reachable = false;
    auto operator==(const IndirectProbeAnswer &) const -> bool = default;
};

/// Asks the receiver for its table if that is newer than `knownVersion`.
struct TableRequest
{
    RecordVersion knownVersion;
    auto operator==(const TableRequest &) const -> bool = default;
};

/// A version of the cell's record, encoded. Only versions that the store has are ever sent.
struct TableUpdate
{
    RecordVersion version;
    std::string encodedRecord;
    /// The version that `encodedRecord` states the changes of; zero where it is a whole record.
    RecordVersion base = RecordVersion{};
    /// Changes only: hash of the whole record's encoding, to check the result with.
    std::uint64_t digest = 0;
    auto operator==(const TableUpdate &) const -> bool = default;
};

/// Grantor to coordinator: its orders for the shard with a fence up to and including `fence` can no
/// longer take effect.
struct ShardReleased
{
    ShardId shard;
    Fence fence;
    auto operator==(const ShardReleased &) const -> bool = default;
};

/// Grantor to coordinator. Sent by the grantor of a lost upstream: no grant of this incarnation can
/// be live any more. Sent by a former grantor, with its former term: none of its orders can take
/// effect any more, though grants may still be live.
struct GrantsEnded
{
    UpstreamId upstream;
    Incarnation incarnation;
    Term term;
    auto operator==(const GrantsEnded &) const -> bool = default;
};

/// Grantor to coordinator: whether the upstream answers, under which incarnation, and whether it
/// drains.
struct UpstreamHealth
{
    UpstreamId upstream;
    Term term;
    /// The incarnation that answered last; differs from the one in the record after a restart.
    Incarnation incarnation;
    bool reachable = true;
    bool draining = false;
    auto operator==(const UpstreamHealth &) const -> bool = default;
};

/// Grantor to coordinator, at each load interval.
struct LoadReport
{
    std::vector<UpstreamLoad> upstreams;
    std::vector<ShardLoad> shards;
    auto operator==(const LoadReport &) const -> bool = default;
};

/// Grantor to coordinator: asks for the authority to act as grantor for another interval.
struct AuthorityRequest
{
    std::uint64_t sequence = 0;
    /// Version of the grantor's table. The coordinator answers only if it isn't older than the last
    /// replacement of a grantor.
    RecordVersion tableVersion;
    auto operator==(const AuthorityRequest &) const -> bool = default;
};

/// Coordinator to grantor: the authority lasts `validFor` from the sending of request `sequence`.
struct AuthorityAnswer
{
    std::uint64_t sequence = 0;
    Duration validFor{0};
    auto operator==(const AuthorityAnswer &) const -> bool = default;
};

/// Entry daemon to grantor: run this request.
struct ForwardRequest
{
    AttemptId attempt;
    UpstreamId upstream;
    Term term;
    ShardId shard;
    /// Time until the deadline; sent in place of Request::deadline, which is on the sender's clock.
    Duration remaining{0};
    Request request;
    auto operator==(const ForwardRequest &) const -> bool = default;
};

/// Grantor to entry daemon: how the forwarded request ended.
struct ForwardEnd
{
    AttemptId attempt;
    RequestEnd end;
    /// Version of the grantor's table. An entry daemon whose table is older fetches at least this
    /// version before the next attempt.
    RecordVersion tableVersion;
    auto operator==(const ForwardEnd &) const -> bool = default;
};

/// Entry daemon to grantor: nobody waits for this attempt any more.
struct ForwardCancel
{
    AttemptId attempt;
    auto operator==(const ForwardCancel &) const -> bool = default;
};

/// How far a request in the outcome memory has got.
enum class OutcomeStage : std::uint8_t { Started, Ended };

/// What a grantor remembers about a non-idempotent request.
struct OutcomeEntry
{
    RequestId id;
    CallerId caller;
    ShardId shard;
    /// Hash of service, key, operation and body; detects another request under the same id.
    std::uint64_t fingerprint = 0;
    OutcomeStage stage = OutcomeStage::Started;
    RequestEnd end;
    /// When the request id was issued; zero where the id doesn't say.
    UnixMillis issuedAt = 0;
    /// Hash of the key, to find a key's entries when the key becomes a shard of its own.
    std::uint64_t keyHash = 0;
    auto operator==(const OutcomeEntry &) const -> bool = default;
};

/// From when on all outcomes of one shard are remembered.
struct OutcomeCoverage
{
    ShardId shard;
    /// Requests whose ids were issued before this time may have run without being remembered; zero:
    /// none can.
    UnixMillis datedIdsCoveredFrom = 0;
    /// Until this time, a request whose id has no trusted time of issue may have run without being
    /// remembered; zero: none can.
    UnixMillis undatedIdsCoveredFrom = 0;
    auto operator==(const OutcomeCoverage &) const -> bool = default;
};

/// Grantor to stand-by: outcomes to remember. Acknowledged by a MirrorAnswer with the same
/// `sequence`.
struct MirrorUpdate
{
    UpstreamId upstream;
    Term term;
    std::uint64_t sequence = 0;
    /// First message of a mirror: the stand-by discards what earlier messages told it.
    bool snapshot = false;
    std::vector<OutcomeEntry> entries;
    /// The grantor may have evicted ids issued up to this time; zero: it has evicted none.
    UnixMillis evictedUntil = 0;
    /// Replaces the coverage of all shards; empty if it has not changed.
    std::vector<OutcomeCoverage> coverage;
    /// The mirror is complete once this message has been applied.
    bool complete = true;
    auto operator==(const MirrorUpdate &) const -> bool = default;
};

struct MirrorAnswer
{
    UpstreamId upstream;
    Term term;
    std::uint64_t sequence = 0;
    auto operator==(const MirrorAnswer &) const -> bool = default;
};

/// Requests that were running on an upstream when it was lost. The coordinator counts for each
/// request how often that happened in the cell.
struct CrashSuspects
{
    UpstreamId upstream;
    Incarnation incarnation;
    std::vector<QuarantinedRequest> suspects;
    auto operator==(const CrashSuspects &) const -> bool = default;
};

enum class OperatorAction : std::uint8_t { Drain, Undrain, LiftQuarantine };

/// Operator to coordinator, forwarded by the daemon that received the order.
struct OperatorOrder
{
    OperatorAction action = OperatorAction::Drain;
    /// The upstream's id, or the quarantined request's.
    std::string subject;
    auto operator==(const OperatorOrder &) const -> bool = default;
};

/// One section of the operators' configuration document, as stored.
struct ConfigurationSection
{
    std::string name;
    StoreVersion version;
    std::string text;
    auto operator==(const ConfigurationSection &) const -> bool = default;
};

/// Asks for the sections that differ from the known ones, which are listed with empty texts.
struct ConfigurationRequest
{
    std::vector<ConfigurationSection> knownSections;
    auto operator==(const ConfigurationRequest &) const -> bool = default;
};

/// Accepted sections, forwarded along the distribution tree. `generation` grows with each accepted
/// change. A partial update holds only the sections that differ from an earlier generation; in it,
/// an empty text stands for a removed section.
struct ConfigurationUpdate
{
    std::uint64_t generation = 0;
    bool isFull = false;
    std::vector<ConfigurationSection> sections;
    /// Digest of all section names and versions of the generation. A daemon that gets another
    /// digest after applying the update started from another generation, and asks for the sections.
    std::uint64_t digest = 0;
    auto operator==(const ConfigurationUpdate &) const -> bool = default;
};

/// Entry daemon to grantor: asks how a request ended. Answered by a ForwardEnd.
struct OutcomeQuery
{
    AttemptId attempt;
    UpstreamId upstream;
    Term term;
    ShardId shard;
    Key key;
    RequestId id;
    CallerId caller;
    Duration remaining{0};
    auto operator==(const OutcomeQuery &) const -> bool = default;
};

/// Former grantor of a shard to its present one: one part of the outcomes that it remembers for the
/// shard. Acknowledged by an OutcomeHandoverAnswer with the same shard, fence and part.
struct OutcomeHandover
{
    ShardId shard;
    /// The fence under which the receiver's upstream owns the shard.
    Fence fence;
    /// The fence and the grantor's term under which the sender's upstream owned the shard.
    Fence heldFence;
    Term heldTerm;
    std::uint32_t part = 0;
    std::uint32_t partCount = 1;
    OutcomeCoverage coverage;
    std::vector<OutcomeEntry> entries;
    auto operator==(const OutcomeHandover &) const -> bool = default;
};

struct OutcomeHandoverAnswer
{
    ShardId shard;
    Fence fence;
    std::uint32_t part = 0;
    auto operator==(const OutcomeHandoverAnswer &) const -> bool = default;
};

/// These requests were running when an upstream crashed, but completed a later run without a crash:
/// they are no longer suspects.
struct SuspectsCleared
{
    std::vector<QuarantinedRequest> requests;
    auto operator==(const SuspectsCleared &) const -> bool = default;
};

using PeerMessage =
    std::variant<Heartbeat, HeartbeatAnswer, IndirectProbe, IndirectProbeAnswer, TableRequest,
                 TableUpdate, ShardReleased, GrantsEnded, UpstreamHealth, LoadReport,
                 AuthorityRequest, AuthorityAnswer, ForwardRequest, ForwardEnd, ForwardCancel,
                 MirrorUpdate, MirrorAnswer, CrashSuspects, OperatorOrder, ConfigurationRequest,
                 ConfigurationUpdate, OutcomeQuery, OutcomeHandover, OutcomeHandoverAnswer,
                 SuspectsCleared>;

} // namespace gooseberrywall
