#include "bench/allocationcount.h"
#include "bench/celltraffic.h"
#include "bench/messagesize.h"
#include "bench/samplerecords.h"
#include "membership/membership.h"
#include "ownership/recordcodec.h"
#include "ownership/table.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <memory>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

/// Required limits of a daemon's control: bytes of memory, and bytes per second of traffic.
constexpr std::uint64_t memoryLimit = 64'000'000;
constexpr double bytesLimit = 26'000.0;

const DaemonIdentity self{{"entry-vm-00001"}, {1}, {"region-0"}, {"10.0.255.1:7000"}};

/// @returns the membership of a daemon that has received a heartbeat of each other daemon
auto membershipOf(const std::vector<MemberClaim> &others) -> std::unique_ptr<Membership>
{
    auto membership =
        std::make_unique<Membership>(self, MembershipSettings{}, others, std::uint64_t{1});
    Outbox out;
    for (const auto &claim : others) {
        Heartbeat heartbeat;
        heartbeat.claims = {claim};
        membership->onMessage(Instant{1s}, claim.id, heartbeat, out);
        out.clear();
    }
    return membership;
}

} // namespace

SCENARIO("What a daemon knows of others fits into its memory", "[memory]")
{
    GIVEN("a daemon that knows more and more others, with their upstreams and shards")
    {
        THEN("members and table stay within 64 MB together")
        {
            for (const auto daemons : {27, 100, 300, 1000, 3000}) {
                // Ratios of a cell with 27 daemons, 41 upstreams and 25 shards per upstream.
                const RecordSize size{daemons * 41 / 27, daemons * 41 / 27 * 25, 140};
                const auto claims = sampleClaims(daemons);
                const auto start = allocatedBytes();
                const auto membership = membershipOf(claims);
                const auto members = allocatedBytes() - start;
                auto record = sampleRecord(size);
                const auto encoded = encodeRecord(record).size();
                const auto beforeTable = allocatedBytes();
                const auto table = std::make_shared<const Table>(sampleRecord(size));
                const auto tableBytes = allocatedBytes() - beforeTable;
                std::cout << "memory: daemons=" << daemons << " members=" << members
                          << " upstreams=" << size.upstreams << " shards=" << size.shards
                          << " table=" << tableBytes << " encoded=" << encoded << "\n";
                CHECK(membership->view().members.size() == static_cast<std::size_t>(daemons) + 1);
                CHECK(members > 0);
                CHECK(members + tableBytes + encoded <= memoryLimit);
            }
        }
    }
}

SCENARIO("Heartbeats do not grow with the daemons that are known", "[memberbytes]")
{
    GIVEN("a daemon whose known others all answer")
    {
        THEN("its bytes a second stay within 26 KB")
        {
            for (const auto daemons : {27, 100, 300, 1000, 3000}) {
                const auto membership = membershipOf(sampleClaims(daemons));
                Outbox out;
                std::uint64_t bytes = 0;
                std::uint64_t messages = 0;
                constexpr auto seconds = 10;
                for (Instant now{1s}; now < Instant{1s} + std::chrono::seconds{seconds};
                     now += 10ms) {
                    membership->tick(now, out);
                    for (const auto &send : std::exchange(out.peerSends, {})) {
                        bytes += serializedBytes(send.message) + messageOverheadBytes;
                        ++messages;
                        const auto *heartbeat = std::get_if<Heartbeat>(&send.message);
                        if (heartbeat == nullptr || heartbeat->sequence == 0) {
                            continue;
                        }
                        HeartbeatAnswer answer;
                        answer.sequence = heartbeat->sequence;
                        answer.viewDigest = heartbeat->viewDigest;
                        bytes += serializedBytes(answer) + messageOverheadBytes;
                        membership->onMessage(now, send.to, answer, out);
                    }
                    out.clear();
                }
                // The others send as many heartbeats to this daemon as it sends to them.
                const auto perSecond = 2.0 * static_cast<double>(bytes) / seconds;
                std::cout << "heartbeats: daemons=" << daemons
                          << " sent_a_second=" << static_cast<double>(messages) / seconds
                          << " bytes_a_second=" << perSecond << "\n";
                CHECK(messages > 0);
                CHECK(perSecond <= bytesLimit);
            }
        }
    }
}
SCENARIO("A whole daemon's control fits into its memory", "[nodememory]")
{
    GIVEN("cells of whole daemons with the stand-ins of upstreams and store")
    {
        THEN("each daemon's share of all allocations stays within 64 MB")
        {
            for (const auto daemons : {9, 27, 100}) {
                const auto start = allocatedBytes();
                CellTraffic cell({daemons, daemons * 3 / 2, 1024});
                REQUIRE(cell.prepare(30s));
                cell.run(10s);
                const auto share = (allocatedBytes() - start) / static_cast<std::uint64_t>(daemons);
                std::cout << "node memory: daemons=" << daemons << " bytes_a_daemon=" << share
                          << "\n";
                CHECK(share > 0);
                CHECK(share <= memoryLimit);
            }
        }
    }
}
