#include "ownership/recorddelta.h"

#include "ownership/recordcodec.h"
#include "ownership/tablekeeper.h"

#include <catch2/catch.hpp>

#include <random>

using namespace gooseberrywall;

namespace {

constexpr auto shardCount = 40U;

auto upstreamId(std::uint32_t index) -> UpstreamId
{
    return UpstreamId{"u" + std::to_string(100 + index)};
}

/// A record of one service whose upstreams and shards are sorted by id.
auto recordOf(std::uint32_t upstreamCount) -> CellRecord
{
    CellRecord record;
    record.version = RecordVersion{1};
    record.services = {{ServiceName{"fitment"}, shardCount}};
    for (std::uint32_t index = 0; index < upstreamCount; ++index) {
        UpstreamEntry entry;
        entry.id = upstreamId(index);
        entry.service = ServiceName{"fitment"};
        entry.grantor = DaemonId{"d01"};
        record.upstreams.push_back(entry);
    }
    for (std::uint32_t number = 0; number < shardCount; ++number) {
        ShardEntry shard;
        shard.id = ShardId{ServiceName{"fitment"}, number};
        shard.stage = ShardStage::Owned;
        shard.owner = upstreamId(number % upstreamCount);
        record.shards.push_back(shard);
    }
    return record;
}

/// Changes some entries at random, and sometimes adds an upstream.
auto changed(CellRecord record, std::mt19937_64 &random) -> CellRecord
{
    const auto below = [&](std::size_t limit) {
        return std::uniform_int_distribution<std::size_t>(0, limit - 1)(random);
    };
    ++record.version.value;
    record.coordinator = DaemonId{"d0" + std::to_string(below(3))};
    for (auto count = below(6); count > 0; --count) {
        auto &shard = record.shards[below(record.shards.size())];
        shard.owner = record.upstreams[below(record.upstreams.size())].id;
        shard.next = below(2) == 0 ? UpstreamId{} : upstreamId(0);
        ++shard.fence.sequence;
    }
    for (auto count = below(4); count > 0; --count) {
        auto &entry = record.upstreams[below(record.upstreams.size())];
        entry.grantor = DaemonId{"d1" + std::to_string(below(9))};
        entry.successor = upstreamId(static_cast<std::uint32_t>(below(4)));
        entry.formerGrantors.assign(below(2), {DaemonId{"d01"}, Incarnation{1}, Term{3}});
    }
    if (below(4) == 0) {
        UpstreamEntry entry;
        entry.id = upstreamId(static_cast<std::uint32_t>(record.upstreams.size()));
        entry.service = ServiceName{"fitment"};
        record.upstreams.push_back(entry);
    }
    return record;
}

} // namespace

SCENARIO("RecordDelta: given random changes, a daemon with the earlier version gets the later one",
         "[RecordDelta]")
{
    std::mt19937_64 random{11};
    auto base = recordOf(6);
    for (auto step = 0; step < 300; ++step) {
        const auto next = changed(base, random);
        const auto delta = recordDelta(base, next);
        REQUIRE(delta.has_value());
        const auto sent = RecordDecoder{}.decode(encodeRecord(*delta));
        REQUIRE(sent.has_value());
        REQUIRE(applyDelta(base, *sent) == next);
        base = next;
    }
}

SCENARIO("RecordDelta: given removed entries, other services or pins, the whole record is needed",
         "[RecordDelta]")
{
    const auto base = recordOf(6);
    auto next = base;
    next.upstreams.erase(next.upstreams.begin() + 2);
    CHECK_FALSE(recordDelta(base, next).has_value());
    next = base;
    next.shards.pop_back();
    CHECK_FALSE(recordDelta(base, next).has_value());
    next = base;
    next.services.push_back({ServiceName{"loadout"}, 8});
    CHECK_FALSE(recordDelta(base, next).has_value());
    next = base;
    next.pinnedKeys.push_back({ServiceName{"fitment"}, Key{"k"}, 41});
    CHECK_FALSE(recordDelta(base, next).has_value());
}

SCENARIO("TableKeeper: given a small change, its children get the changes and nobody misses any",
         "[TableKeeper][RecordDelta]")
{
    std::mt19937_64 random{5};
    const DaemonIdentity sender{DaemonId{"d00"}, Incarnation{1}, {}, {}};
    const DaemonIdentity receiver{DaemonId{"d01"}, Incarnation{1}, {}, {}};
    MembershipView view;
    view.members = {{sender.id, Incarnation{1}, {}, {}, MemberState::Alive},
                    {receiver.id, Incarnation{1}, {}, {}, MemberState::Alive}};
    auto record = recordOf(6);
    record.coordinator = sender.id;
    TableKeeper from(sender);
    TableKeeper to(receiver);
    REQUIRE(from.adopt(record));
    const auto whole = encodeRecord(record).size();

    // Delivers messages both ways until none is left.
    const auto exchange = [&](Outbox &out) {
        while (!out.peerSends.empty()) {
            const auto sends = std::exchange(out.peerSends, {});
            for (const auto &send : sends) {
                auto &target = send.to == receiver.id ? to : from;
                const auto &origin = send.to == receiver.id ? sender.id : receiver.id;
                target.onMessage(Instant{}, origin, send.message, out);
            }
        }
    };
    Outbox out;
    from.publish(Instant{}, view, out);
    exchange(out);
    REQUIRE(to.version() == record.version);

    GIVEN("a receiver with the version before")
    {
        auto next = record;
        next.version = RecordVersion{2};
        next.shards.front().owner = upstreamId(3);
        REQUIRE(from.adopt(next));
        const auto before = from.bytesSent();
        from.publish(Instant{}, view, out);
        exchange(out);
        THEN("a fraction of the whole record is sent")
        {
            CHECK(to.table()->record() == next);
            CHECK(from.bytesSent() - before < whole / 3);
        }
    }
    GIVEN("a receiver that has missed versions")
    {
        const auto missed = static_cast<int>(GENERATE(1, 3, 20));
        for (auto count = 0; count <= missed; ++count) {
            record = changed(record, random);
            record.coordinator = sender.id;
            REQUIRE(from.adopt(record));
        }
        from.publish(Instant{}, view, out);
        exchange(out);
        THEN("it requests what it lacks")
        {
            CHECK(to.table()->record() == record);
        }
    }
    GIVEN("changes that don't lead to the sender's record")
    {
        auto next = record;
        next.version = RecordVersion{2};
        next.shards.front().owner = upstreamId(3);
        REQUIRE(from.adopt(next));
        TableUpdate update{next.version, encodeRecord(recordDelta(record, next).value()),
                           record.version, 1};
        CHECK_FALSE(to.onMessage(Instant{}, sender.id, update, out));
        CHECK(to.version() == record.version);
        exchange(out);
        THEN("the whole record is requested")
        {
            CHECK(to.table()->record() == next);
        }
    }
}
