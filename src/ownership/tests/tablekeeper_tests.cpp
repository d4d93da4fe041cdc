#include "ownership/tablekeeper.h"

#include <catch2/catch.hpp>

#include <set>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

auto recordOf(std::uint64_t version) -> CellRecord
{
    CellRecord record;
    record.version = RecordVersion{version};
    record.coordinator = DaemonId{"d00"};
    return record;
}

auto identity(int index) -> DaemonIdentity
{
    return {DaemonId{(index < 10 ? "d0" : "d") + std::to_string(index)}, Incarnation{1}, {}, {}};
}

auto viewOf(int count) -> MembershipView
{
    MembershipView view;
    for (int i = 0; i < count; ++i) {
        view.members.push_back({identity(i).id, Incarnation{1}, {}, {}, MemberState::Alive});
    }
    return view;
}

} // namespace

SCENARIO("TableKeeper: only newer versions are adopted, requested and sent", "[TableKeeper]")
{
    GIVEN("a keeper with version 5")
    {
        TableKeeper keeper(identity(1));
        Outbox out;
        CHECK(keeper.table() == nullptr);
        REQUIRE(keeper.adopt(recordOf(5)));
        WHEN("older, equal, damaged and mislabelled versions arrive")
        {
            CHECK_FALSE(keeper.adopt(recordOf(4)));
            CHECK_FALSE(keeper.adopt(recordOf(5)));
            const TableUpdate old{RecordVersion{4}, encodeRecord(recordOf(4))};
            const TableUpdate damaged{RecordVersion{9}, "damaged"};
            const TableUpdate mislabelled{RecordVersion{9}, encodeRecord(recordOf(4))};
            CHECK_FALSE(keeper.onMessage(Instant{}, identity(2).id, old, out));
            CHECK_FALSE(keeper.onMessage(Instant{}, identity(2).id, damaged, out));
            CHECK_FALSE(keeper.onMessage(Instant{}, identity(2).id, mislabelled, out));
            THEN("it stays at version 5")
            {
                CHECK(keeper.version() == RecordVersion{5});
            }
        }
        WHEN("a peer has a newer version")
        {
            keeper.onPeerVersion(Instant{}, identity(2).id, RecordVersion{6}, out);
            keeper.onPeerVersion(Instant{10ms}, identity(2).id, RecordVersion{6}, out);
            THEN("it requests the table once per interval")
            {
                REQUIRE(out.peerSends.size() == 1);
                CHECK(std::get<TableRequest>(out.peerSends[0].message).knownVersion
                      == RecordVersion{5});
                keeper.onPeerVersion(Instant{tableRequestInterval}, identity(2).id,
                                     RecordVersion{6}, out);
                CHECK(out.peerSends.size() == 2);
            }
        }
        WHEN("peers request the table")
        {
            keeper.onMessage(Instant{}, identity(2).id, TableRequest{RecordVersion{5}}, out);
            CHECK(out.peerSends.empty());
            keeper.onMessage(Instant{}, identity(3).id, TableRequest{RecordVersion{1}}, out);
            THEN("only peers with an older version get it")
            {
                REQUIRE(out.peerSends.size() == 1);
                CHECK(out.peerSends[0].to == identity(3).id);
                CHECK(keeper.bytesSent() == encodeRecord(recordOf(5)).size());
            }
        }
    }
}

SCENARIO("TableKeeper: given a published table, every daemon receives it once", "[TableKeeper]")
{
    for (const auto count : {1, 2, 27, 100}) {
        GIVEN(std::to_string(count) + " daemons of which the first is the coordinator")
        {
            const auto view = viewOf(count);
            std::vector<TableKeeper> keepers;
            for (int i = 0; i < count; ++i) {
                keepers.emplace_back(identity(i));
            }
            REQUIRE(keepers[0].adopt(recordOf(7)));
            std::vector<int> level{0};
            auto depth = 0;
            auto sent = std::size_t{0};
            while (!level.empty()) {
                std::vector<int> next;
                for (const auto index : level) {
                    auto &keeper = keepers[static_cast<std::size_t>(index)];
                    Outbox out;
                    keeper.publish(Instant{}, view, out);
                    keeper.publish(Instant{}, view, out);
                    CHECK(out.peerSends.size() <= tableFanOut);
                    sent += out.peerSends.size();
                    for (const auto &send : out.peerSends) {
                        const auto target = std::stoi(send.to.value.substr(1));
                        Outbox ignored;
                        if (keepers[static_cast<std::size_t>(target)].onMessage(
                                Instant{}, identity(index).id, send.message, ignored)) {
                            next.push_back(target);
                        }
                    }
                }
                depth += next.empty() ? 0 : 1;
                level = next;
            }
            THEN("each daemon receives it once, after at most four hops")
            {
                CHECK(sent == static_cast<std::size_t>(count) - 1);
                for (const auto &keeper : keepers) {
                    CHECK(keeper.version() == RecordVersion{7});
                }
                CHECK(depth <= 4);
            }
        }
    }
}
