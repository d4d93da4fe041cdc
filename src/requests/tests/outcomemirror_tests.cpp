#include "requests/outcomemirror.h"
#include "requests/standbymirrors.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

namespace {

const DaemonId grantorId{"g"};
const DaemonIdentity standby{{"s"}, {1}, {"east"}, {}};
const ShardId shard{{"loadout"}, 3};
const UpstreamId upstream{"u"};
const Instant start{std::chrono::seconds{10}};

auto entryOf(const std::string &id) -> OutcomeEntry
{
    OutcomeEntry entry;
    entry.id = {id};
    entry.caller = {"shop"};
    entry.shard = shard;
    return entry;
}

auto upstreamEntry(std::uint64_t term, const DaemonId &standbyId = standby.id) -> UpstreamEntry
{
    UpstreamEntry entry;
    entry.id = upstream;
    entry.grantor = grantorId;
    entry.term = {term};
    entry.standby = standbyId;
    entry.standbyIncarnation = {1};
    return entry;
}

auto tableOf(std::uint64_t version, const UpstreamEntry &entry) -> TablePointer
{
    CellRecord record;
    record.version = {version};
    record.upstreams = {entry};
    return std::make_shared<const Table>(std::move(record));
}

/// Delivers all messages in both directions until none is left.
auto deliverAll(Instant now, OutcomeMirror &mirror, StandbyMirrors &mirrors) -> int
{
    int messages = 0;
    Outbox fromGrantor;
    mirror.sendDue(now, fromGrantor);
    while (!fromGrantor.peerSends.empty()) {
        Outbox fromStandby;
        for (const auto &send : fromGrantor.peerSends) {
            ++messages;
            mirrors.onUpdate({now, 1}, grantorId, std::get<MirrorUpdate>(send.message),
                             fromStandby);
        }
        fromGrantor.clear();
        for (const auto &send : fromStandby.peerSends) {
            mirror.onAnswer(now, standby.id, std::get<MirrorAnswer>(send.message));
        }
        mirror.sendDue(now, fromGrantor);
    }
    return messages;
}

} // namespace

SCENARIO("OutcomeMirror counts an entry only once the stand-by has it", "[outcomemirror]")
{
    GIVEN("a memory with one entry and a mirror that has just started")
    {
        OutcomeMemory memory(OutcomeLimits{});
        memory.cover({shard, 0, 0});
        REQUIRE(memory.start({start, 1}, entryOf("old")));
        OutcomeMirror mirror(upstream, MirrorLimits{});
        mirror.restart(start, upstreamEntry(4), memory);
        StandbyMirrors mirrors(standby);
        mirrors.onTable(tableOf(1, upstreamEntry(4)));
        const auto ticket = mirror.add(start, entryOf("new"));
        THEN("an entry isn't acknowledged before the stand-by has it")
        {
            Outbox lost;
            mirror.sendDue(start, lost);
            CHECK_FALSE(mirror.isAcknowledged(ticket));
            CHECK_FALSE(mirror.isDrained());
        }
        WHEN("messages arrive")
        {
            deliverAll(start, mirror, mirrors);
            THEN("the entry is acknowledged, and the copy is complete")
            {
                CHECK(mirror.isAcknowledged(ticket));
                CHECK(mirror.isDrained());
                const auto copy = mirrors.take(upstream, {4});
                REQUIRE(copy.has_value());
                CHECK(copy->find({{"shop"}, {"old"}}) != nullptr);
                CHECK(copy->find({{"shop"}, {"new"}}) != nullptr);
                CHECK(copy->covers(shard));
            }
            THEN("the copy isn't used as one of a later term")
            {
                CHECK_FALSE(mirrors.take(upstream, {5}).has_value());
            }
            AND_WHEN("the record names another stand-by meanwhile")
            {
                mirrors.onTable(tableOf(2, upstreamEntry(4, {"other"})));
                mirrors.onTable(tableOf(3, upstreamEntry(4)));
                THEN("the copy is stale and dropped")
                {
                    CHECK_FALSE(mirrors.take(upstream, {4}).has_value());
                }
            }
            AND_WHEN("the request turns out not to have run")
            {
                auto removal = entryOf("new");
                removal.stage = OutcomeStage::Ended;
                removal.end = RequestEnd::refused(Reason::None);
                mirror.add(start, removal);
                deliverAll(start, mirror, mirrors);
                THEN("the copy forgets it")
                {
                    const auto copy = mirrors.take(upstream, {4});
                    CHECK(copy->find({{"shop"}, {"new"}}) == nullptr);
                }
            }
        }
        WHEN("a message is lost")
        {
            Outbox lost;
            mirror.sendDue(start, lost);
            Outbox beforeResend;
            mirror.sendDue(start + std::chrono::milliseconds{1}, beforeResend);
            CHECK(beforeResend.peerSends.empty());
            THEN("it is sent again, and a duplicate is only acknowledged again")
            {
                const auto later = start + std::chrono::milliseconds{30};
                Outbox resent;
                mirror.sendDue(later, resent);
                REQUIRE(resent.peerSends.size() == 1);
                const auto update = std::get<MirrorUpdate>(resent.peerSends[0].message);
                Outbox answers;
                mirrors.onUpdate({later, 1}, grantorId, update, answers);
                mirrors.onUpdate({later, 1}, grantorId, update, answers);
                CHECK(answers.peerSends.size() == 2);
                mirror.onAnswer(later, standby.id,
                                std::get<MirrorAnswer>(answers.peerSends[0].message));
                deliverAll(later, mirror, mirrors);
                CHECK(mirror.isAcknowledged(ticket));
            }
        }
        WHEN("the stand-by doesn't answer")
        {
            Outbox lost;
            mirror.sendDue(start, lost);
            const auto later = start + std::chrono::seconds{1};
            THEN("the mirror is unavailable until a new snapshot has arrived")
            {
                CHECK_FALSE(mirror.isAvailable(later));
                mirror.restartIfStuck(later, memory);
                CHECK_FALSE(mirror.isAvailable(later));
                deliverAll(later, mirror, mirrors);
                CHECK(mirror.isAvailable(later));
            }
        }
        WHEN("the stand-by changes after the entry was acknowledged")
        {
            deliverAll(start, mirror, mirrors);
            mirror.restart(start, upstreamEntry(4, {"other"}), memory);
            THEN("the entry isn't acknowledged until the new one has it")
            {
                CHECK_FALSE(mirror.isAcknowledged(ticket));
            }
        }
    }
    GIVEN("a memory larger than one message")
    {
        OutcomeMemory memory(OutcomeLimits{});
        memory.cover({shard, 0, 0});
        for (int number = 0; number < 3000; ++number) {
            REQUIRE(memory.start({start, 1}, entryOf("r" + std::to_string(number))));
        }
        OutcomeMirror mirror(upstream, MirrorLimits{});
        mirror.restart(start, upstreamEntry(4), memory);
        StandbyMirrors mirrors(standby);
        WHEN("only the first part of the snapshot has arrived")
        {
            Outbox out;
            mirror.sendDue(start, out);
            Outbox answers;
            mirrors.onUpdate({start, 1}, grantorId,
                             std::get<MirrorUpdate>(out.peerSends.at(0).message), answers);
            THEN("the copy isn't used")
            {
                CHECK_FALSE(mirrors.take(upstream, {4}).has_value());
            }
        }
        WHEN("all parts have arrived")
        {
            CHECK(deliverAll(start, mirror, mirrors) > 1);
            THEN("the copy has all entries")
            {
                CHECK(mirrors.take(upstream, {4})->size() == 3000);
            }
        }
    }
}
