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

/// What one daemon believes of another; a higher incarnation goes first, then a higher refutation,
/// then the later state.
struct MemberClaim
{
    DaemonId id;
    Incarnation incarnation;
    FailureDomain domain;
    Address address;
    MemberState state = MemberState::Alive;
    /// Counts how often the daemon contradicted a claim on it; only the daemon itself raises it.
    std::uint64_t refutation = 0;
    auto operator==(const MemberClaim &) const -> bool = default;
};

/// Load of one upstream in the last interval, as its grantor measured it.
struct UpstreamLoad
{
    UpstreamId upstream;
    /// Sum of service times over the interval, as a share of slots times interval.
    double utilisation = 0.0;
    bool healthy = true;
    auto operator==(const UpstreamLoad &) const -> bool = default;
};

/// Load of one shard or hot key in the last interval, in slot-seconds a second.
struct ShardLoad
{
    ShardId shard;
    /// Empty for the whole shard; else one key of it that stands out.
    Key key;
    double busySlots = 0.0;
    auto operator==(const ShardLoad &) const -> bool = default;
};

/// Sent between daemons of a cell at each heartbeat interval; sequence zero asks for no answer.
struct Heartbeat
{
    std::uint64_t sequence = 0;
    RecordVersion tableVersion;
    std::uint64_t configurationGeneration = 0;
    std::vector<MemberClaim> claims;
    /// Digest of the sender's view; where the receiver's differs, it answers with claims.
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

/// Asks another daemon to probe a third one, before it is suspected.
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

/// Asks for the table if the other's is newer than `have`.
struct TableRequest
{
    RecordVersion knownVersion;
    auto operator==(const TableRequest &) const -> bool = default;
};

/// A stored version of the cell's record, encoded. Only written versions are ever sent.
struct TableUpdate
{
    RecordVersion version;
    std::string encodedRecord;
    auto operator==(const TableUpdate &) const -> bool = default;
};

/// Grantor to coordinator: its orders of a shard below or at `fence` are without effect from now
/// on.
struct ShardReleased
{
    ShardId shard;
    Fence fence;
    auto operator==(const ShardReleased &) const -> bool = default;
};

/// Grantor to coordinator: no grant of this upstream's incarnation can be live any more.
struct GrantsEnded
{
    UpstreamId upstream;
    Incarnation incarnation;
    Term term;
    auto operator==(const GrantsEnded &) const -> bool = default;
};

/// Grantor to coordinator: the upstream does not answer, or answers with a new incarnation.
struct UpstreamHealth
{
    UpstreamId upstream;
    Term term;
    /// The incarnation that answered last; differs from the record's after a restart.
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

/// Grantor to coordinator: asks to act as grantor for a further authority interval.
struct AuthorityRequest
{
    std::uint64_t sequence = 0;
    /// The grantor's table; the coordinator answers only where it knows of its last replacement.
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
    /// Request::deadline is not carried; `remaining` is.
    Duration remaining{0};
    Request request;
    auto operator==(const ForwardRequest &) const -> bool = default;
};

/// Grantor to entry daemon: how the forwarded request ended.
struct ForwardEnd
{
    AttemptId attempt;
    RequestEnd end;
    /// The daemon's table is old: fetch at least this version before the next try.
    RecordVersion tableVersion;
    auto operator==(const ForwardEnd &) const -> bool = default;
};

/// Entry daemon to grantor: nobody waits for this attempt any more.
struct ForwardCancel
{
    AttemptId attempt;
    auto operator==(const ForwardCancel &) const -> bool = default;
};

/// What a grantor remembers of a non-idempotent request.
enum class OutcomeStage : std::uint8_t { Started, Ended };

struct OutcomeEntry
{
    RequestId id;
    CallerId caller;
    ShardId shard;
    /// Detects another request under the same id.
    std::uint64_t fingerprint = 0;
    OutcomeStage stage = OutcomeStage::Started;
    RequestEnd end;
    /// When the request id was issued; zero where the id doesn't say.
    UnixMillis issuedAt = 0;
    /// Finds the entries of a key that becomes a shard of its own.
    std::uint64_t keyHash = 0;
    auto operator==(const OutcomeEntry &) const -> bool = default;
};

/// From when on the outcomes of one shard are remembered without a gap.
struct OutcomeCoverage
{
    ShardId shard;
    /// Request ids issued before this time may have run unremembered; zero: none can.
    UnixMillis datedIdsCoveredFrom = 0;
    /// Until this time, a request id that doesn't say when it was issued may have run unremembered;
    /// zero: none can.
    UnixMillis undatedIdsCoveredFrom = 0;
    auto operator==(const OutcomeCoverage &) const -> bool = default;
};

/// Grantor to stand-by: remember these; acknowledged by `sequence`.
struct MirrorUpdate
{
    UpstreamId upstream;
    Term term;
    std::uint64_t sequence = 0;
    /// The first message of a mirror: everything before it is to be forgotten.
    bool snapshot = false;
    std::vector<OutcomeEntry> entries;
    /// The memory is unbroken for ids issued after this time.
    UnixMillis evictedUntil = 0;
    /// Replaces the coverage of all shards; empty where it has not changed.
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

/// A request was running when its upstream was lost; counted cell-wide by the coordinator.
struct CrashSuspects
{
    UpstreamId upstream;
    Incarnation incarnation;
    std::vector<QuarantinedRequest> suspects;
    auto operator==(const CrashSuspects &) const -> bool = default;
};

/// Operator to coordinator, passed on by whichever daemon was asked.
enum class OperatorAction : std::uint8_t { Drain, Undrain, LiftQuarantine };

struct OperatorOrder
{
    OperatorAction action = OperatorAction::Drain;
    /// The upstream's id, or the quarantined request's.
    std::string subject;
    auto operator==(const OperatorOrder &) const -> bool = default;
};

/// One section of the operators' configuration document as the store has it.
struct ConfigurationSection
{
    std::string name;
    StoreVersion version;
    std::string text;
    auto operator==(const ConfigurationSection &) const -> bool = default;
};

/// Asks for the sections that differ from these versions (texts left empty).
struct ConfigurationRequest
{
    std::vector<ConfigurationSection> knownSections;
    auto operator==(const ConfigurationRequest &) const -> bool = default;
};

/// Accepted sections, passed on along the tree. `generation` grows with each accepted change.
/// Where it isn't whole, it names only sections that differ from an earlier generation's; an empty
/// text stands for a removed section.
struct ConfigurationUpdate
{
    std::uint64_t generation = 0;
    bool isFull = false;
    std::vector<ConfigurationSection> sections;
    /// Of all names and versions of the generation: whoever has another digest after applying the
    /// update had another earlier generation, and asks.
    std::uint64_t digest = 0;
    auto operator==(const ConfigurationUpdate &) const -> bool = default;
};

/// Entry daemon to grantor: how did this request end? Answered by a ForwardEnd.
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

/// Earlier grantor of a shard to its present one: what it remembers of the shard. Acknowledged by
/// (shard, fence, part); each message holds one part.
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

/// These requests were near a crash, and later completed a run without one.
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
