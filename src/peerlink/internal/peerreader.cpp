#include "peerlink/internal/wirevalues.h"
#include "peerlink/peercodec.h"

namespace gooseberrywall {

using namespace wirevalues;

namespace {

auto readClaim(wire::MemberClaim::Reader source) -> std::optional<MemberClaim>
{
    const auto state = readEnum(source.getState(), MemberState::Removed);
    if (!state) {
        return std::nullopt;
    }
    MemberClaim claim;
    claim.id = {fromText(source.getId())};
    claim.incarnation = {source.getIncarnation()};
    claim.domain = {fromText(source.getDomain())};
    claim.address = {fromText(source.getAddress())};
    claim.state = *state;
    claim.refutation = source.getRefutation();
    return claim;
}

/// Heartbeats and their answers have the same fields.
template<typename Message>
auto readHeartbeat(wire::Heartbeat::Reader source) -> std::optional<PeerMessage>
{
    Message message;
    message.sequence = source.getSequence();
    message.tableVersion = {source.getTable()};
    message.configurationGeneration = source.getConfiguration();
    message.viewDigest = source.getViewDigest();
    for (const auto claim : withCheckedLength(source.getClaims())) {
        auto read = readClaim(claim);
        if (!read) {
            return std::nullopt;
        }
        message.claims.push_back(std::move(*read));
    }
    return message;
}

auto readRequest(wire::Request::Reader source) -> std::optional<Request>
{
    const auto hint = readEnum(source.getSizeHint(), SizeHint::Long);
    if (!hint) {
        return std::nullopt;
    }
    Request request;
    request.id = {fromText(source.getId())};
    request.caller = {fromText(source.getCaller())};
    request.service = {fromText(source.getService())};
    request.key = {fromData(source.getKey())};
    request.operation = fromText(source.getOperation());
    request.idempotent = source.getIdempotent();
    request.resend = source.getResend();
    request.sizeHint = *hint;
    if (source.getHasIssuedAt()) {
        request.issuedAt = source.getIssuedAt();
    }
    request.body = fromData(source.getBody());
    return request;
}

auto readForward(wire::ForwardRequest::Reader source) -> std::optional<PeerMessage>
{
    auto request = readRequest(source.getRequest());
    if (!request) {
        return std::nullopt;
    }
    return ForwardRequest{
        {source.getAttempt()},        {fromText(source.getUpstream())}, {source.getTerm()},
        readShard(source.getShard()), Duration{source.getRemaining()},  std::move(*request)};
}

auto readForwardEnd(wire::ForwardEnd::Reader source) -> std::optional<PeerMessage>
{
    auto end = readEnd(source.getEnd());
    if (!end) {
        return std::nullopt;
    }
    return ForwardEnd{{source.getAttempt()}, std::move(*end), {source.getTable()}};
}

auto readLoadReport(wire::LoadReport::Reader source) -> PeerMessage
{
    LoadReport message;
    for (const auto load : withCheckedLength(source.getUpstreams())) {
        message.upstreams.push_back(
            {{fromText(load.getUpstream())}, load.getUtilisation(), load.getHealthy()});
    }
    for (const auto load : withCheckedLength(source.getShards())) {
        message.shards.push_back(
            {readShard(load.getShard()), {fromText(load.getKey())}, load.getBusySlots()});
    }
    return message;
}

auto readOutcome(wire::OutcomeEntry::Reader source) -> std::optional<OutcomeEntry>
{
    const auto stage = readEnum(source.getStage(), OutcomeStage::Ended);
    auto end = readEnd(source.getEnd());
    if (!stage || !end) {
        return std::nullopt;
    }
    OutcomeEntry entry;
    entry.id = {fromText(source.getId())};
    entry.caller = {fromText(source.getCaller())};
    entry.shard = readShard(source.getShard());
    entry.fingerprint = source.getRequestHash();
    entry.stage = *stage;
    entry.end = std::move(*end);
    entry.issuedAt = source.getIssuedAt();
    entry.keyHash = source.getKeyHash();
    return entry;
}

auto readOutcomes(capnp::List<wire::OutcomeEntry>::Reader source)
    -> std::optional<std::vector<OutcomeEntry>>
{
    std::vector<OutcomeEntry> entries;
    for (const auto entry : withCheckedLength(source)) {
        auto read = readOutcome(entry);
        if (!read) {
            return std::nullopt;
        }
        entries.push_back(std::move(*read));
    }
    return entries;
}

auto readCoverage(wire::OutcomeCoverage::Reader source) -> OutcomeCoverage
{
    return {readShard(source.getShard()), source.getTimedSince(), source.getUntimedUntil()};
}

auto readQuarantined(capnp::List<wire::QuarantinedRequest>::Reader source)
    -> std::vector<QuarantinedRequest>
{
    std::vector<QuarantinedRequest> requests;
    for (const auto request : withCheckedLength(source)) {
        requests.push_back({{fromText(request.getId())},
                            {fromText(request.getService())},
                            {fromData(request.getKey())}});
    }
    return requests;
}

auto readMirrorUpdate(wire::MirrorUpdate::Reader source) -> std::optional<PeerMessage>
{
    auto entries = readOutcomes(source.getEntries());
    if (!entries) {
        return std::nullopt;
    }
    MirrorUpdate message;
    message.upstream = {fromText(source.getUpstream())};
    message.term = {source.getTerm()};
    message.sequence = source.getSequence();
    message.snapshot = source.getSnapshot();
    message.entries = std::move(*entries);
    message.evictedUntil = source.getUnbrokenSince();
    message.complete = source.getComplete();
    for (const auto coverage : withCheckedLength(source.getCoverage())) {
        message.coverage.push_back(readCoverage(coverage));
    }
    return message;
}

auto readOutcomeQuery(wire::OutcomeQuery::Reader source) -> PeerMessage
{
    OutcomeQuery message;
    message.attempt = {source.getAttempt()};
    message.upstream = {fromText(source.getUpstream())};
    message.term = {source.getTerm()};
    message.shard = readShard(source.getShard());
    message.key = {fromData(source.getKey())};
    message.id = {fromText(source.getId())};
    message.caller = {fromText(source.getCaller())};
    message.remaining = Duration{source.getRemaining()};
    return message;
}

auto readHandover(wire::OutcomeHandover::Reader source) -> std::optional<PeerMessage>
{
    auto entries = readOutcomes(source.getEntries());
    if (!entries) {
        return std::nullopt;
    }
    OutcomeHandover message;
    message.shard = readShard(source.getShard());
    message.fence = readFence(source.getFence());
    message.heldFence = readFence(source.getHeldFence());
    message.heldTerm = {source.getHeldTerm()};
    message.part = source.getPart();
    message.partCount = source.getPartCount();
    message.coverage = readCoverage(source.getCoverage());
    message.entries = std::move(*entries);
    return message;
}

auto readCrashSuspects(wire::CrashSuspects::Reader source) -> PeerMessage
{
    return CrashSuspects{{fromText(source.getUpstream())},
                         {source.getIncarnation()},
                         readQuarantined(source.getSuspects())};
}

auto readOperatorOrder(wire::OperatorOrder::Reader source) -> std::optional<PeerMessage>
{
    const auto action = readEnum(source.getAction(), OperatorAction::LiftQuarantine);
    if (!action) {
        return std::nullopt;
    }
    return OperatorOrder{*action, fromText(source.getSubject())};
}

auto readSections(capnp::List<wire::ConfigurationSection>::Reader source)
    -> std::vector<ConfigurationSection>
{
    std::vector<ConfigurationSection> sections;
    for (const auto section : withCheckedLength(source)) {
        sections.push_back(
            {fromText(section.getName()), {section.getVersion()}, fromText(section.getText())});
    }
    return sections;
}

auto readHealth(wire::UpstreamHealth::Reader source) -> PeerMessage
{
    return UpstreamHealth{{fromText(source.getUpstream())},
                          {source.getTerm()},
                          {source.getIncarnation()},
                          source.getReachable(),
                          source.getDraining()};
}

} // namespace

auto readPeerMessage(wire::Message::Reader reader) -> std::optional<PeerMessage>
{
    switch (reader.which()) {
    case wire::Message::HEARTBEAT:
        return readHeartbeat<Heartbeat>(reader.getHeartbeat());
    case wire::Message::HEARTBEAT_ANSWER:
        return readHeartbeat<HeartbeatAnswer>(reader.getHeartbeatAnswer());
    case wire::Message::INDIRECT_PROBE: {
        const auto source = reader.getIndirectProbe();
        return IndirectProbe{{fromText(source.getTarget())}, source.getSequence()};
    }
    case wire::Message::INDIRECT_PROBE_ANSWER: {
        const auto source = reader.getIndirectProbeAnswer();
        return IndirectProbeAnswer{
            {fromText(source.getTarget())}, source.getSequence(), source.getReachable()};
    }
    case wire::Message::TABLE_REQUEST:
        return TableRequest{{reader.getTableRequest()}};
    case wire::Message::TABLE_UPDATE: {
        const auto source = reader.getTableUpdate();
        return TableUpdate{{source.getVersion()},
                           fromData(source.getEncodedRecord()),
                           {source.getBase()},
                           source.getDigest()};
    }
    case wire::Message::SHARD_RELEASED: {
        const auto source = reader.getShardReleased();
        return ShardReleased{readShard(source.getShard()), readFence(source.getFence())};
    }
    case wire::Message::GRANTS_ENDED: {
        const auto source = reader.getGrantsEnded();
        return GrantsEnded{
            {fromText(source.getUpstream())}, {source.getIncarnation()}, {source.getTerm()}};
    }
    case wire::Message::UPSTREAM_HEALTH:
        return readHealth(reader.getUpstreamHealth());
    case wire::Message::LOAD_REPORT:
        return readLoadReport(reader.getLoadReport());
    case wire::Message::AUTHORITY_REQUEST: {
        const auto source = reader.getAuthorityRequest();
        return AuthorityRequest{source.getSequence(), {source.getTable()}};
    }
    case wire::Message::AUTHORITY_ANSWER: {
        const auto source = reader.getAuthorityAnswer();
        return AuthorityAnswer{source.getSequence(), Duration{source.getValidFor()}};
    }
    case wire::Message::FORWARD_REQUEST:
        return readForward(reader.getForwardRequest());
    case wire::Message::FORWARD_END:
        return readForwardEnd(reader.getForwardEnd());
    case wire::Message::FORWARD_CANCEL:
        return ForwardCancel{{reader.getForwardCancel()}};
    case wire::Message::MIRROR_UPDATE:
        return readMirrorUpdate(reader.getMirrorUpdate());
    case wire::Message::MIRROR_ANSWER: {
        const auto source = reader.getMirrorAnswer();
        return MirrorAnswer{
            {fromText(source.getUpstream())}, {source.getTerm()}, source.getSequence()};
    }
    case wire::Message::CRASH_SUSPECTS:
        return readCrashSuspects(reader.getCrashSuspects());
    case wire::Message::OPERATOR_ORDER:
        return readOperatorOrder(reader.getOperatorOrder());
    case wire::Message::CONFIGURATION_REQUEST:
        return ConfigurationRequest{readSections(reader.getConfigurationRequest())};
    case wire::Message::CONFIGURATION_UPDATE: {
        const auto source = reader.getConfigurationUpdate();
        return ConfigurationUpdate{source.getGeneration(), source.getWhole(),
                                   readSections(source.getSections()), source.getDigest()};
    }
    case wire::Message::OUTCOME_QUERY:
        return readOutcomeQuery(reader.getOutcomeQuery());
    case wire::Message::OUTCOME_HANDOVER:
        return readHandover(reader.getOutcomeHandover());
    case wire::Message::OUTCOME_HANDOVER_ANSWER: {
        const auto source = reader.getOutcomeHandoverAnswer();
        return OutcomeHandoverAnswer{readShard(source.getShard()), readFence(source.getFence()),
                                     source.getPart()};
    }
    case wire::Message::SUSPECTS_CLEARED:
        return SuspectsCleared{readQuarantined(reader.getSuspectsCleared())};
    }
    return std::nullopt;
}

} // namespace gooseberrywall
