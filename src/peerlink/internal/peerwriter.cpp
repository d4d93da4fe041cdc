#include "peerlink/internal/wirevalues.h"
#include "peerlink/peercodec.h"

#include <variant>

namespace gooseberrywall {

using namespace wirevalues;

namespace {

/// Writes each kind of message into its member of the union.
class PeerWriter
{
public:
    explicit PeerWriter(wire::Message::Builder builder)
        : builder(builder)
    {
    }

    auto operator()(const Heartbeat &message) -> void
    {
        writeHeartbeat(message, this->builder.initHeartbeat());
    }

    auto operator()(const HeartbeatAnswer &message) -> void
    {
        writeHeartbeat(message, this->builder.initHeartbeatAnswer());
    }

    auto operator()(const IndirectProbe &message) -> void
    {
        auto target = this->builder.initIndirectProbe();
        target.setTarget(toText(message.target.value));
        target.setSequence(message.sequence);
    }

    auto operator()(const IndirectProbeAnswer &message) -> void
    {
        auto target = this->builder.initIndirectProbeAnswer();
        target.setTarget(toText(message.target.value));
        target.setSequence(message.sequence);
        target.setReachable(message.reachable);
    }

    auto operator()(const TableRequest &message) -> void
    {
        this->builder.setTableRequest(message.knownVersion.value);
    }

    auto operator()(const TableUpdate &message) -> void
    {
        auto target = this->builder.initTableUpdate();
        target.setVersion(message.version.value);
        target.setEncodedRecord(toData(message.encodedRecord));
        target.setBase(message.base.value);
        target.setDigest(message.digest);
    }

    auto operator()(const ShardReleased &message) -> void
    {
        auto target = this->builder.initShardReleased();
        writeShard(message.shard, target.initShard());
        writeFence(message.fence, target.initFence());
    }

    auto operator()(const GrantsEnded &message) -> void
    {
        auto target = this->builder.initGrantsEnded();
        target.setUpstream(toText(message.upstream.value));
        target.setIncarnation(message.incarnation.value);
        target.setTerm(message.term.value);
    }

    auto operator()(const UpstreamHealth &message) -> void
    {
        auto target = this->builder.initUpstreamHealth();
        target.setUpstream(toText(message.upstream.value));
        target.setTerm(message.term.value);
        target.setIncarnation(message.incarnation.value);
        target.setReachable(message.reachable);
        target.setDraining(message.draining);
    }

    auto operator()(const LoadReport &message) -> void
    {
        auto target = this->builder.initLoadReport();
        auto upstreams = target.initUpstreams(message.upstreams.size());
        for (unsigned index = 0; index < upstreams.size(); ++index) {
            const auto &load = message.upstreams[index];
            upstreams[index].setUpstream(toText(load.upstream.value));
            upstreams[index].setUtilisation(load.utilisation);
            upstreams[index].setHealthy(load.healthy);
        }
        auto shards = target.initShards(message.shards.size());
        for (unsigned index = 0; index < shards.size(); ++index) {
            const auto &load = message.shards[index];
            writeShard(load.shard, shards[index].initShard());
            shards[index].setKey(toText(load.key.value));
            shards[index].setBusySlots(load.busySlots);
        }
    }

    auto operator()(const AuthorityRequest &message) -> void
    {
        auto target = this->builder.initAuthorityRequest();
        target.setSequence(message.sequence);
        target.setTable(message.tableVersion.value);
    }

    auto operator()(const AuthorityAnswer &message) -> void
    {
        auto target = this->builder.initAuthorityAnswer();
        target.setSequence(message.sequence);
        target.setValidFor(message.validFor.count());
    }

    auto operator()(const ForwardRequest &message) -> void
    {
        auto target = this->builder.initForwardRequest();
        target.setAttempt(message.attempt.value);
        target.setUpstream(toText(message.upstream.value));
        target.setTerm(message.term.value);
        writeShard(message.shard, target.initShard());
        target.setRemaining(message.remaining.count());
        writeRequest(message.request, target.initRequest());
    }

    auto operator()(const ForwardEnd &message) -> void
    {
        auto target = this->builder.initForwardEnd();
        target.setAttempt(message.attempt.value);
        writeEnd(message.end, target.initEnd());
        target.setTable(message.tableVersion.value);
    }

    auto operator()(const ForwardCancel &message) -> void
    {
        this->builder.setForwardCancel(message.attempt.value);
    }

    auto operator()(const MirrorUpdate &message) -> void
    {
        auto target = this->builder.initMirrorUpdate();
        target.setUpstream(toText(message.upstream.value));
        target.setTerm(message.term.value);
        target.setSequence(message.sequence);
        target.setSnapshot(message.snapshot);
        target.setUnbrokenSince(message.evictedUntil);
        target.setComplete(message.complete);
        writeOutcomes(message.entries, target.initEntries(sizeOf(message.entries)));
        auto coverage = target.initCoverage(sizeOf(message.coverage));
        for (unsigned index = 0; index < coverage.size(); ++index) {
            writeCoverage(message.coverage[index], coverage[index]);
        }
    }

    auto operator()(const MirrorAnswer &message) -> void
    {
        auto target = this->builder.initMirrorAnswer();
        target.setUpstream(toText(message.upstream.value));
        target.setTerm(message.term.value);
        target.setSequence(message.sequence);
    }

    auto operator()(const CrashSuspects &message) -> void
    {
        auto target = this->builder.initCrashSuspects();
        target.setUpstream(toText(message.upstream.value));
        target.setIncarnation(message.incarnation.value);
        writeQuarantined(message.suspects, target.initSuspects(sizeOf(message.suspects)));
    }

    auto operator()(const OperatorOrder &message) -> void
    {
        auto target = this->builder.initOperatorOrder();
        target.setAction(static_cast<std::uint8_t>(message.action));
        target.setSubject(toText(message.subject));
    }

    auto operator()(const ConfigurationRequest &message) -> void
    {
        auto sections = this->builder.initConfigurationRequest(message.knownSections.size());
        for (unsigned index = 0; index < sections.size(); ++index) {
            writeSection(message.knownSections[index], sections[index]);
        }
    }

    auto operator()(const ConfigurationUpdate &message) -> void
    {
        auto target = this->builder.initConfigurationUpdate();
        target.setGeneration(message.generation);
        target.setWhole(message.isFull);
        target.setDigest(message.digest);
        auto sections = target.initSections(message.sections.size());
        for (unsigned index = 0; index < sections.size(); ++index) {
            writeSection(message.sections[index], sections[index]);
        }
    }

    auto operator()(const OutcomeQuery &message) -> void
    {
        auto target = this->builder.initOutcomeQuery();
        target.setAttempt(message.attempt.value);
        target.setUpstream(toText(message.upstream.value));
        target.setTerm(message.term.value);
        writeShard(message.shard, target.initShard());
        target.setKey(toData(message.key.value));
        target.setId(toText(message.id.value));
        target.setCaller(toText(message.caller.value));
        target.setRemaining(message.remaining.count());
    }

    auto operator()(const OutcomeHandover &message) -> void
    {
        auto target = this->builder.initOutcomeHandover();
        writeShard(message.shard, target.initShard());
        writeFence(message.fence, target.initFence());
        writeFence(message.heldFence, target.initHeldFence());
        target.setHeldTerm(message.heldTerm.value);
        target.setPart(message.part);
        target.setPartCount(message.partCount);
        writeCoverage(message.coverage, target.initCoverage());
        writeOutcomes(message.entries, target.initEntries(sizeOf(message.entries)));
    }

    auto operator()(const OutcomeHandoverAnswer &message) -> void
    {
        auto target = this->builder.initOutcomeHandoverAnswer();
        writeShard(message.shard, target.initShard());
        writeFence(message.fence, target.initFence());
        target.setPart(message.part);
    }

    auto operator()(const SuspectsCleared &message) -> void
    {
        writeQuarantined(message.requests,
                         this->builder.initSuspectsCleared(sizeOf(message.requests)));
    }

private:
    template<typename Value>
    static auto sizeOf(const std::vector<Value> &values) -> unsigned
    {
        return static_cast<unsigned>(values.size());
    }

    /// Heartbeats and their answers have the same fields.
    template<typename Message>
    static auto writeHeartbeat(const Message &message, wire::Heartbeat::Builder target) -> void
    {
        target.setSequence(message.sequence);
        target.setTable(message.tableVersion.value);
        target.setConfiguration(message.configurationGeneration);
        target.setViewDigest(message.viewDigest);
        auto claims = target.initClaims(static_cast<unsigned>(message.claims.size()));
        for (unsigned index = 0; index < claims.size(); ++index) {
            writeClaim(message.claims[index], claims[index]);
        }
    }

    static auto writeClaim(const MemberClaim &claim, wire::MemberClaim::Builder target) -> void
    {
        target.setId(toText(claim.id.value));
        target.setIncarnation(claim.incarnation.value);
        target.setDomain(toText(claim.domain.value));
        target.setAddress(toText(claim.address.value));
        target.setState(static_cast<std::uint8_t>(claim.state));
        target.setRefutation(claim.refutation);
    }

    static auto writeRequest(const Request &request, wire::Request::Builder target) -> void
    {
        target.setId(toText(request.id.value));
        target.setCaller(toText(request.caller.value));
        target.setService(toText(request.service.value));
        target.setKey(toData(request.key.value));
        target.setOperation(toText(request.operation));
        target.setIdempotent(request.idempotent);
        target.setResend(request.resend);
        target.setSizeHint(static_cast<std::uint8_t>(request.sizeHint));
        target.setHasIssuedAt(request.issuedAt.has_value());
        target.setIssuedAt(request.issuedAt.value_or(0));
        target.setBody(toData(request.body));
    }

    static auto writeOutcome(const OutcomeEntry &entry, wire::OutcomeEntry::Builder target) -> void
    {
        target.setId(toText(entry.id.value));
        target.setCaller(toText(entry.caller.value));
        writeShard(entry.shard, target.initShard());
        target.setRequestHash(entry.fingerprint);
        target.setStage(static_cast<std::uint8_t>(entry.stage));
        writeEnd(entry.end, target.initEnd());
        target.setIssuedAt(entry.issuedAt);
        target.setKeyHash(entry.keyHash);
    }

    static auto writeOutcomes(const std::vector<OutcomeEntry> &entries,
                              capnp::List<wire::OutcomeEntry>::Builder target) -> void
    {
        for (unsigned index = 0; index < target.size(); ++index) {
            writeOutcome(entries[index], target[index]);
        }
    }

    static auto writeCoverage(const OutcomeCoverage &coverage,
                              wire::OutcomeCoverage::Builder target) -> void
    {
        writeShard(coverage.shard, target.initShard());
        target.setTimedSince(coverage.datedIdsCoveredFrom);
        target.setUntimedUntil(coverage.undatedIdsCoveredFrom);
    }

    static auto writeQuarantined(const std::vector<QuarantinedRequest> &requests,
                                 capnp::List<wire::QuarantinedRequest>::Builder target) -> void
    {
        for (unsigned index = 0; index < target.size(); ++index) {
            target[index].setId(toText(requests[index].id.value));
            target[index].setService(toText(requests[index].service.value));
            target[index].setKey(toData(requests[index].key.value));
        }
    }

    static auto writeSection(const ConfigurationSection &section,
                             wire::ConfigurationSection::Builder target) -> void
    {
        target.setName(toText(section.name));
        target.setVersion(section.version.value);
        target.setText(toText(section.text));
    }

    wire::Message::Builder builder;
};

} // namespace

auto writePeerMessage(const PeerMessage &message, wire::Message::Builder builder) -> void
{
    std::visit(PeerWriter{builder}, message);
}

} // namespace gooseberrywall
