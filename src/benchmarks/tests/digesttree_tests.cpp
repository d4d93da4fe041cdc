#include "benchmarks/digesttree.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

SCENARIO("DigestTree finds the buckets that differ", "[digesttree]")
{
    GIVEN("two records that differ in one shard's fence")
    {
        CellRecord record;
        for (std::uint32_t number = 0; number < 1000; ++number) {
            const ShardId id{ServiceName{"fitment"}, number};
            record.shards.push_back(
                {id, ShardStage::Owned, UpstreamId{"vm-1"}, {1, number}, {}, {}});
        }
        auto other = record;
        other.shards[500].fence.sequence += 1;
        for (const std::size_t buckets : {1U, 64U}) {
            WHEN("trees of " + std::to_string(buckets) + " buckets are compared")
            {
                const DigestTree tree(record, buckets);
                const DigestTree changed(other, buckets);
                THEN("exactly the shard's bucket differs, and the roots do")
                {
                    CHECK(tree.root() != changed.root());
                    CHECK(tree.root() == DigestTree(record, buckets).root());
                    const std::vector<std::size_t> expected{tree.bucketOf(record.shards[500].id)};
                    CHECK(tree.differences(changed) == expected);
                    CHECK(tree.differences(tree).empty());
                }
            }
        }
    }
}
