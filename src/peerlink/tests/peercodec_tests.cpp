#include "peerlink/peercodec.h"

#include <capnp/message.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace gooseberrywall;

namespace {

auto text() -> std::string
{
    return *rc::gen::container<std::string>(rc::gen::inRange(' ', '~'));
}

auto bytes() -> std::string
{
    return *rc::gen::arbitrary<std::string>();
}

auto number() -> std::uint64_t
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

auto shard() -> ShardId
{
    return {{text()}, *rc::gen::arbitrary<std::uint32_t>()};
}

auto duration() -> Duration
{
    return Duration{*rc::gen::arbitrary<std::int64_t>()};
}

auto requestEnd() -> RequestEnd
{
    return {*rc::gen::element(EndKind::Answer, EndKind::Refused, EndKind::Unknown),
            static_cast<Reason>(*rc::gen::inRange(0, reasonCount)), duration(),
            *rc::gen::arbitrary<int>(), bytes()};
}

auto request() -> Request
{
    Request result;
    result.id = {text()};
    result.caller = {text()};
    result.service = {text()};
    result.key = {bytes()};
    result.operation = text();
    result.idempotent = *rc::gen::arbitrary<bool>();
    result.resend = *rc::gen::arbitrary<bool>();
    result.sizeHint = *rc::gen::element(SizeHint::None, SizeHint::Short, SizeHint::Long);
    if (*rc::gen::arbitrary<bool>()) {
        result.issuedAt = *rc::gen::arbitrary<UnixMillis>();
    }
    result.body = bytes();
    return result;
}

/// One message of each kind, with arbitrary content.
auto messages() -> std::vector<PeerMessage>
{
    const MemberClaim claim{{text()},
                            {number()},
                            {text()},
                            {text()},
                            *rc::gen::element(MemberState::Alive, MemberState::Removed),
                            number()};
    const ConfigurationSection section{text(), {number()}, text()};
    const OutcomeEntry outcome{{text()},     {text()}, shard(), number(), OutcomeStage::Ended,
                               requestEnd(), 99,       number()};
    const OutcomeCoverage coverage{shard(), 12, 34};
    return {
        Heartbeat{number(), {number()}, number(), {claim, claim}, number()},
        HeartbeatAnswer{number(), {number()}, number(), {claim}, number()},
        IndirectProbe{{text()}, number()},
        IndirectProbeAnswer{{text()}, number(), true},
        TableRequest{{number()}},
        TableUpdate{{number()}, bytes(), {number()}, number()},
        ShardReleased{shard(), {7, 9}},
        GrantsEnded{{text()}, {number()}, {number()}},
        UpstreamHealth{{text()}, {number()}, {number()}, false, true},
        LoadReport{{{{text()}, 0.25, true}}, {{shard(), {text()}, 1.5}}},
        AuthorityRequest{number(), {number()}},
        AuthorityAnswer{number(), duration()},
        ForwardRequest{{number()}, {text()}, {number()}, shard(), duration(), request()},
        ForwardEnd{{number()}, requestEnd(), {number()}},
        ForwardCancel{{number()}},
        MirrorUpdate{{text()},
                     {number()},
                     number(),
                     true,
                     {outcome},
                     17,
                     {coverage},
                     *rc::gen::arbitrary<bool>()},
        MirrorAnswer{{text()}, {number()}, number()},
        CrashSuspects{{text()}, {number()}, {{{text()}, {text()}, {bytes()}}}},
        OperatorOrder{OperatorAction::LiftQuarantine, text()},
        ConfigurationRequest{{section}},
        ConfigurationUpdate{number(), true, {section, section}, number()},
        OutcomeQuery{
            {number()}, {text()}, {number()}, shard(), {bytes()}, {text()}, {text()}, duration()},
        OutcomeHandover{shard(), {1, 2}, {3, 4}, {number()}, 5, 6, coverage, {outcome}},
        OutcomeHandoverAnswer{shard(), {7, 8}, 9},
        SuspectsCleared{{{{text()}, {text()}, {bytes()}}}}};
}

} // namespace

SCENARIO("PeerCodec: every message is read as it was written", "[peercodec]")
{
    GIVEN("messages of every kind with arbitrary content")
    {
        const auto holds = rc::check("a message that is written and read again is unchanged", [] {
            const auto sent = messages();
            RC_ASSERT(sent.size() == std::variant_size_v<PeerMessage>);
            for (const auto &message : sent) {
                capnp::MallocMessageBuilder builder;
                writePeerMessage(message, builder.initRoot<wire::Message>());
                const auto read = readPeerMessage(builder.getRoot<wire::Message>().asReader());
                RC_ASSERT(read.has_value());
                RC_ASSERT(*read == message);
            }
        });
        THEN("reading what was written gives the same message")
        {
            CHECK(holds);
        }
    }
    GIVEN("a message whose enumeration is out of range")
    {
        capnp::MallocMessageBuilder builder;
        auto target = builder.initRoot<wire::Message>();
        target.initOperatorOrder().setAction(200);
        THEN("it is refused")
        {
            CHECK_FALSE(readPeerMessage(target.asReader()).has_value());
        }
    }
}
