/// Compares how many bytes it takes to update a daemon's table by the whole record, by the shards
/// that changed since its version, and by digest trees. Prints one line per case.

#include "benchmarks/digesttree.h"
#include "ownership/recordcodec.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iostream>
#include <random>
#include <set>
#include <string>
#include <vector>

using namespace gooseberrywall;

namespace {

constexpr std::size_t digestBytes = 8;
constexpr int upstreamsPerService = 25;
constexpr std::uint32_t shardsPerService = 512;
constexpr int daemonsPerCell = 30;

/// @returns a record of `services` services
auto makeRecord(int services, std::mt19937_64 &random) -> CellRecord
{
    CellRecord record;
    record.version = RecordVersion{1000};
    record.operation = OperationId{"d07-000000000000002a-17"};
    for (int number = 0; number < services; ++number) {
        const ServiceName service{"service-" + std::to_string(number)};
        record.services.push_back({service, shardsPerService});
        for (int count = 0; count < upstreamsPerService; ++count) {
            UpstreamEntry upstream;
            upstream.id = UpstreamId{service.value + "-vm-" + std::to_string(1000 + count)};
            upstream.service = service;
            upstream.domain = FailureDomain{"gr-north-" + std::to_string(count % 3)};
            upstream.address = Address{"10.1.2." + std::to_string(count) + ":8080"};
            upstream.incarnation = Incarnation{random()};
            upstream.grantor = DaemonId{"entry-vm-" + std::to_string(count)};
            upstream.grantorIncarnation = Incarnation{random()};
            upstream.term = Term{static_cast<std::uint64_t>(40 + count)};
            record.upstreams.push_back(upstream);
        }
        for (std::uint32_t shard = 0; shard < shardsPerService; ++shard) {
            const auto &owner =
                record.upstreams[record.upstreams.size() - 1 - random() % upstreamsPerService];
            record.shards.push_back({{service, shard},
                                     ShardStage::Owned,
                                     owner.id,
                                     {static_cast<std::uint32_t>(owner.term.value),
                                      static_cast<std::uint32_t>(random() % 1000)},
                                     {},
                                     {}});
        }
    }
    return record;
}

/// @returns the record with new fences for the given number of shards
auto withChangedShards(CellRecord record, std::size_t shards, std::mt19937_64 &random) -> CellRecord
{
    std::vector<std::size_t> indices(record.shards.size());
    for (std::size_t index = 0; index < indices.size(); ++index) {
        indices[index] = index;
    }
    std::shuffle(indices.begin(), indices.end(), random);
    indices.resize(std::min(shards, indices.size()));
    for (const auto index : indices) {
        record.shards[index].fence.sequence += 2;
    }
    record.version = record.version.next();
    return record;
}

/// @returns the encoded size of the shards that meet the condition, with the ids of their owners
template<typename Condition>
auto bytesOf(const CellRecord &record, Condition condition) -> std::size_t
{
    CellRecord part;
    part.version = record.version;
    part.operation = record.operation;
    std::set<UpstreamId> owners;
    for (const auto &shard : record.shards) {
        if (condition(shard)) {
            part.shards.push_back(shard);
            owners.insert(shard.owner);
        }
    }
    for (const auto &id : owners) {
        // Only the id is sent, as the receiver has the other fields.
        UpstreamEntry upstream;
        upstream.id = id;
        part.upstreams.push_back(upstream);
    }
    return encodeRecord(part).size();
}

auto deltaBytes(const CellRecord &before, const CellRecord &after) -> std::size_t
{
    std::set<ShardId> differing;
    for (std::size_t index = 0; index < after.shards.size(); ++index) {
        if (before.shards[index] != after.shards[index]) {
            differing.insert(after.shards[index].id);
        }
    }
    return bytesOf(after, [&](const ShardEntry &shard) { return differing.contains(shard.id); });
}

/// @returns the bytes of the exchanged digests and of all shards in buckets that differ
auto treeBytes(const CellRecord &before, const CellRecord &after, std::size_t buckets)
    -> std::size_t
{
    const DigestTree oldTree(before, buckets);
    const DigestTree newTree(after, buckets);
    const auto different = newTree.differences(oldTree);
    const std::set<std::size_t> differingBuckets(different.begin(), different.end());
    const auto digests = digestBytes * (buckets > 1 ? buckets : 0);
    return digests + bytesOf(after, [&](const ShardEntry &shard) {
               return differingBuckets.contains(newTree.bucketOf(shard.id));
           });
}

auto printCase(int services, std::size_t changes, std::mt19937_64 &random) -> void
{
    const auto before = makeRecord(services, random);
    const auto after = withChangedShards(before, changes, random);
    std::cout << "table: upstreams=" << after.upstreams.size() << " shards=" << after.shards.size()
              << " changed=" << changes << " whole=" << encodeRecord(after).size()
              << " delta=" << deltaBytes(before, after)
              << " depth2=" << treeBytes(before, after, 1);
    for (const auto buckets : {16U, 64U, 256U}) {
        std::cout << " depth3_" << buckets << "=" << treeBytes(before, after, buckets);
    }
    std::cout << "\n";
}

/// Prints the kilobytes that all daemons of a fleet receive for one change in each cell.
auto printFleet(int daemons, std::size_t changes, std::mt19937_64 &random) -> void
{
    const auto before = makeRecord(4, random);
    const auto after = withChangedShards(before, changes, random);
    const auto kilobytes = [daemons](std::size_t bytes) {
        return bytes * static_cast<std::size_t>(daemons) / 1024;
    };
    std::cout << "fleet: daemons=" << daemons
              << " cells=" << (daemons + daemonsPerCell - 1) / daemonsPerCell
              << " changed=" << changes << " whole_kb=" << kilobytes(encodeRecord(after).size())
              << " delta_kb=" << kilobytes(deltaBytes(before, after))
              << " depth3_64_kb=" << kilobytes(treeBytes(before, after, 64)) << "\n";
}

} // namespace

auto main() -> int
{
    std::mt19937_64 random(1);
    for (const auto services : {2, 4}) {
        for (const std::size_t changes : {1U, 4U, 24U, 100U, 500U, 2048U}) {
            printCase(services, changes, random);
        }
    }
    for (const auto daemons : {27, 100, 300, 1000, 3000}) {
        for (const std::size_t changes : {1U, 24U}) {
            printFleet(daemons, changes, random);
        }
    }
    return 0;
}
