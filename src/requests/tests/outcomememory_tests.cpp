#include "requests/outcomememory.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

namespace {

constexpr UnixMillis wallStart = 1'800'000'000'000;
const ShardId shard{{"loadout"}, 3};

auto timeAt(std::int64_t seconds) -> OutcomeTime
{
    return {Instant{std::chrono::seconds{seconds}}, wallStart + seconds * 1000};
}

auto entryOf(const std::string &id, std::uint64_t hash = 7) -> OutcomeEntry
{
    OutcomeEntry entry;
    entry.id = {id};
    entry.caller = {"shop"};
    entry.shard = shard;
    entry.fingerprint = hash;
    return entry;
}

auto timedEntryOf(const std::string &id, std::int64_t seconds) -> OutcomeEntry
{
    auto entry = entryOf(id);
    entry.issuedAt = wallStart + seconds * 1000;
    return entry;
}

auto lookUpResult(const OutcomeMemory &memory, std::int64_t seconds, const OutcomeEntry &entry)
    -> LookupResult
{
    return memory.lookUp(timeAt(seconds), entry).result;
}

auto limitsOf(std::size_t bytes) -> OutcomeLimits
{
    OutcomeLimits limits;
    limits.maximalBytes = bytes;
    return limits;
}

} // namespace

SCENARIO("OutcomeMemory never lets a request run twice", "[outcomememory]")
{
    GIVEN("a memory of a shard without a gap")
    {
        OutcomeMemory memory(limitsOf(64 * 1024));
        memory.cover({shard, 0, 0});
        REQUIRE(lookUpResult(memory, 0, entryOf("r1")) == LookupResult::NeverRun);
        REQUIRE(memory.start(timeAt(0), entryOf("r1")));
        THEN("a started request is known, and another request with its id is detected")
        {
            CHECK(lookUpResult(memory, 1, entryOf("r1")) == LookupResult::Started);
            CHECK(lookUpResult(memory, 1, entryOf("r1", 8)) == LookupResult::IdReused);
            CHECK(lookUpResult(memory, 1, entryOf("r2")) == LookupResult::NeverRun);
        }
        WHEN("it ends")
        {
            memory.finish({{"shop"}, {"r1"}}, RequestEnd::answer(200, "booked"));
            THEN("the memory holds its answer")
            {
                const auto found = memory.lookUp(timeAt(5), entryOf("r1"));
                REQUIRE(found.result == LookupResult::Ended);
                CHECK(found.entry->end == RequestEnd::answer(200, "booked"));
            }
        }
        WHEN("it certainly did not run")
        {
            memory.erase({{"shop"}, {"r1"}});
            THEN("it may run, and takes up no memory")
            {
                CHECK(lookUpResult(memory, 1, entryOf("r1")) == LookupResult::NeverRun);
                CHECK(memory.bytes() == 0);
            }
        }
        WHEN("a request of a shard that isn't covered is looked up")
        {
            auto entry = entryOf("r9");
            entry.shard.number = 99;
            THEN("the lookup says that the shard isn't covered")
            {
                CHECK(lookUpResult(memory, 0, entry) == LookupResult::NotCovered);
            }
        }
    }
    GIVEN("a memory that started at second 100")
    {
        OutcomeMemory memory(limitsOf(64 * 1024));
        memory.cover({shard, wallStart + 100'000, wallStart + 700'000});
        THEN("only ids issued certainly later may run, until no resend can arrive any more")
        {
            CHECK(lookUpResult(memory, 110, timedEntryOf("a", 109)) == LookupResult::NeverRun);
            CHECK(lookUpResult(memory, 110, timedEntryOf("b", 90)) == LookupResult::Forgotten);
            CHECK(lookUpResult(memory, 110, timedEntryOf("c", 101)) == LookupResult::Forgotten);
            CHECK(lookUpResult(memory, 110, entryOf("d")) == LookupResult::Forgotten);
            CHECK(lookUpResult(memory, 701, entryOf("d")) == LookupResult::NeverRun);
        }
        THEN("a time of issue in the future isn't trusted")
        {
            CHECK(lookUpResult(memory, 110, timedEntryOf("e", 1000)) == LookupResult::Forgotten);
        }
    }
    GIVEN("a small memory and many requests whose ids carry their time of issue")
    {
        OutcomeMemory memory(limitsOf(16 * 1024));
        memory.cover({shard, 0, 0});
        for (int second = 0; second < 200; ++second) {
            REQUIRE(
                memory.start(timeAt(second), timedEntryOf("t" + std::to_string(second), second)));
            memory.finish({{"shop"}, {"t" + std::to_string(second)}}, RequestEnd::answer(200, "x"));
        }
        THEN("it stays within its limit, and no resend is taken for a new request")
        {
            CHECK(memory.bytes() <= 16 * 1024);
            for (int second = 0; second < 200; ++second) {
                const auto result =
                    lookUpResult(memory, 200, timedEntryOf("t" + std::to_string(second), second));
                CHECK(result != LookupResult::NeverRun);
            }
            CHECK(lookUpResult(memory, 200, timedEntryOf("new", 200)) == LookupResult::NeverRun);
        }
    }
    GIVEN("a small memory filled with ids that don't carry their time of issue")
    {
        OutcomeMemory memory(limitsOf(16 * 1024));
        memory.cover({shard, 0, 0});
        int started = 0;
        while (started < 1000
               && memory.start(timeAt(started), entryOf("u" + std::to_string(started)))) {
            ++started;
        }
        THEN("further ones are refused and none is forgotten, until the retention has passed")
        {
            CHECK(started < 1000);
            for (int number = 0; number < started; ++number) {
                CHECK(lookUpResult(memory, started, entryOf("u" + std::to_string(number)))
                      == LookupResult::Started);
            }
            CHECK(memory.start(timeAt(601 + started), entryOf("later")));
        }
    }
    GIVEN("a memory full of large answers")
    {
        OutcomeMemory memory(limitsOf(64 * 1024));
        memory.cover({shard, 0, 0});
        for (int number = 0; number < 40; ++number) {
            const auto id = "r" + std::to_string(number);
            REQUIRE(memory.start(timeAt(0), entryOf(id)));
            memory.finish({{"shop"}, {id}}, RequestEnd::answer(200, std::string(8000, 'x')));
        }
        THEN("old answers are dropped, but it is still known that their requests have run")
        {
            CHECK(memory.bytes() <= 64 * 1024);
            const auto oldest = memory.lookUp(timeAt(0), entryOf("r0"));
            CHECK(oldest.result == LookupResult::Ended);
            CHECK(oldest.entry->end == RequestEnd::unknown(Reason::OutcomeForgotten));
            CHECK(memory.lookUp(timeAt(0), entryOf("r39")).entry->end.kind == EndKind::Answer);
        }
    }
}

SCENARIO("OutcomeMemory hands over all entries of a shard", "[outcomememory]")
{
    GIVEN("a memory of two shards")
    {
        OutcomeMemory memory(limitsOf(64 * 1024));
        const ShardId other{{"loadout"}, 4};
        memory.cover({shard, 0, 0});
        memory.cover({other, 5, 6});
        auto entry = entryOf("r2");
        entry.shard = other;
        REQUIRE(memory.start(timeAt(0), entryOf("r1")));
        REQUIRE(memory.start(timeAt(0), entry));
        WHEN("one is extracted and adopted elsewhere")
        {
            const auto outcomes = memory.extract(other);
            REQUIRE(outcomes.has_value());
            OutcomeMemory next(limitsOf(64 * 1024));
            next.cover(outcomes->coverage);
            for (const auto &moved : outcomes->entries) {
                next.adopt(timeAt(1), moved);
            }
            THEN("the other memory has exactly its entries, and this one has the rest")
            {
                CHECK(lookUpResult(next, 1, entry) == LookupResult::Started);
                CHECK(next.coverage() == std::vector<OutcomeCoverage>{{other, 5, 6}});
                CHECK(lookUpResult(memory, 1, entry) == LookupResult::NotCovered);
                CHECK(lookUpResult(memory, 1, entryOf("r1")) == LookupResult::Started);
                CHECK_FALSE(memory.extract(other).has_value());
            }
        }
    }
}
