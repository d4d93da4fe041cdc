#include "ownership/recordcodec.h"

#include <catch2/catch.hpp>

#include <iostream>
#include <random>

using namespace gooseberrywall;

namespace {

auto makeRecord(int upstreams, std::uint32_t shards, std::uint32_t pins) -> CellRecord
{
    CellRecord record;
    record.version = RecordVersion{123456};
    record.operation = OperationId{"daemon-17/1764800000000000/99/1234"};
    record.coordinator = DaemonId{"daemon-17"};
    record.coordinatorIncarnation = Incarnation{1764800000000000};
    record.highestTerm = Term{70000};
    for (int service = 0; service < 3; ++service) {
        record.services.push_back({ServiceName{"service" + std::to_string(service)}, shards / 3});
    }
    for (int i = 0; i < upstreams; ++i) {
        const auto number = static_cast<std::uint64_t>(i);
        UpstreamEntry entry;
        entry.id = UpstreamId{"upstream-vm-" + std::to_string(1000 + i)};
        entry.service = record.services[number % 3].service;
        entry.domain = FailureDomain{"om-north-" + std::to_string(i % 4)};
        entry.address = Address{"10.20.30." + std::to_string(i) + ":8443"};
        entry.incarnation = Incarnation{1764800000000000 + number};
        entry.state = static_cast<UpstreamState>(i % 3);
        entry.grantor = DaemonId{"daemon-" + std::to_string(i % 30)};
        entry.grantorIncarnation = Incarnation{1764700000000000 + number};
        entry.term = Term{60000 + number};
        entry.standby = DaemonId{"daemon-" + std::to_string((i + 7) % 30)};
        entry.standbyIncarnation = Incarnation{1764600000000000 + number};
        entry.formerGrantors.push_back({DaemonId{"daemon-29"}, Incarnation{1}, Term{59999}});
        entry.drainOrdered = i % 5 == 0;
        record.upstreams.push_back(std::move(entry));
    }
    for (auto &entry : record.upstreams) {
        entry.successor = record.upstreams.front().id;
    }
    for (std::uint32_t i = 0; i < shards + pins; ++i) {
        ShardEntry shard;
        const auto isPin = i >= shards;
        shard.id = {record.services[i % 3].service, isPin ? 100000 + i : i / 3};
        shard.stage = static_cast<ShardStage>(i % 3);
        shard.owner = record.upstreams[i % record.upstreams.size()].id;
        shard.fence = {60000 + i % 100, i};
        shard.next = record.upstreams[(i + 1) % record.upstreams.size()].id;
        shard.nextFence = {60001 + i % 100, i + 2};
        if (isPin) {
            record.pinnedKeys.push_back({shard.id.service,
                                         Key{"programme/2026-12-04/row-" + std::to_string(i)},
                                         shard.id.number});
        }
        record.shards.push_back(std::move(shard));
    }
    const QuarantinedRequest request{RequestId{"0198c9a0-0000-7000-8000-000000000001"},
                                     record.services[0].service, Key{"lid-24"}};
    record.quarantine.push_back(request);
    record.suspectedCrashes.push_back({request, record.upstreams[0].id, Incarnation{5}});
    return record;
}

} // namespace

SCENARIO("RecordDecoder: given an encoded record, it is decoded unchanged", "[RecordDecoder]")
{
    GIVEN("a record with every field set")
    {
        const auto record = makeRecord(41, 192, 20);
        THEN("it is decoded unchanged, and the decoded record has the same bytes")
        {
            RecordDecoder decoder;
            const auto bytes = encodeRecord(record);
            const auto decoded = decoder.decode(bytes);
            REQUIRE(decoded.has_value());
            CHECK((*decoded == record));
            CHECK(encodeRecord(*decoded) == bytes);
            CHECK(decoder.lastError() == RecordError::None);
        }
    }
    GIVEN("records of cells of today's and of full size")
    {
        const auto todaysBytes = encodeRecord(makeRecord(41, 192, 0)).size();
        const auto fullBytes = encodeRecord(makeRecord(100, 6000, 4000)).size();
        THEN("the largest fits into a value of the store")
        {
            std::cout << "record bytes: 41 upstreams, 192 shards: " << todaysBytes
                      << "; 100 upstreams, 6000 shards, 4000 pinned keys: " << fullBytes << "\n";
            CHECK(fullBytes < recordLimitBytes);
        }
    }
}

SCENARIO("RecordDecoder: given damaged records, they are refused", "[RecordDecoder]")
{
    const auto bytes = encodeRecord(makeRecord(5, 12, 2));
    RecordDecoder decoder;
    GIVEN("no bytes, or text that isn't a record")
    {
        THEN("the decoder refuses them with an error")
        {
            CHECK_FALSE(decoder.decode("").has_value());
            CHECK(decoder.lastError() == RecordError::Malformed);
            CHECK_FALSE(decoder.decode("{\"version\":1}").has_value());
            CHECK(decoder.lastError() != RecordError::None);
        }
    }
    GIVEN("truncated records")
    {
        THEN("none of them is decoded")
        {
            for (std::size_t length = 0; length < bytes.size(); length += 7) {
                CHECK_FALSE(decoder.decode(std::string_view(bytes).substr(0, length)).has_value());
            }
        }
    }
    GIVEN("records with random bytes changed")
    {
        std::mt19937_64 random(4);
        auto refused = 0;
        for (int round = 0; round < 2000; ++round) {
            auto damaged = bytes;
            for (int change = 0; change < 3; ++change) {
                damaged[random() % damaged.size()] = static_cast<char>(random());
            }
            const auto decoded = decoder.decode(damaged);
            CHECK(decoded.has_value() == (decoder.lastError() == RecordError::None));
            refused += decoded.has_value() ? 0 : 1;
        }
        THEN("the decoder returns a record or an error, and refuses more than 100 of 2000")
        {
            CHECK(refused > 100);
        }
    }
}
