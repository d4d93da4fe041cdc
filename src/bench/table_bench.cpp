// Measures the processor time of table look-ups, and of encoding and adopting a new version.
#include "bench/samplerecords.h"
#include "ownership/recordcodec.h"
#include "ownership/table.h"

#include <benchmark/benchmark.h>
#include <string>
#include <vector>

using namespace gooseberrywall;

namespace {

constexpr int keyCount = 4096;

auto sizeOf(const benchmark::State &state) -> RecordSize
{
    return {static_cast<int>(state.range(0)), static_cast<int>(state.range(1)),
            static_cast<int>(state.range(2))};
}

/// Looks up the grantor for a key.
auto routeLookUp(benchmark::State &state) -> void
{
    const Table table(sampleRecord(sizeOf(state)));
    std::vector<Key> keys;
    keys.reserve(keyCount);
    for (int number = 0; number < keyCount; ++number) {
        keys.push_back({"part-" + std::to_string(100'000 + number)});
    }
    std::size_t next = 0;
    for (auto _ : state) {
        const auto shard = table.shardOf(sampleService(), keys[next++ % keys.size()]);
        const auto *entry = table.shard(*shard);
        benchmark::DoNotOptimize(table.upstream(entry->owner)->grantor.value.data());
    }
}

auto recordEncode(benchmark::State &state) -> void
{
    const auto record = sampleRecord(sizeOf(state));
    std::size_t bytes = 0;
    for (auto _ : state) {
        bytes = encodeRecord(record).size();
    }
    state.counters["bytes"] = static_cast<double>(bytes);
}

/// Decodes and indexes a record, as a daemon does with a TableUpdate.
auto tableAdopt(benchmark::State &state) -> void
{
    const auto bytes = encodeRecord(sampleRecord(sizeOf(state)));
    RecordDecoder decoder;
    for (auto _ : state) {
        auto record = decoder.decode(bytes);
        if (!record) {
            state.SkipWithError("the record exceeds the limit of the store");
            return;
        }
        const Table table(std::move(*record));
        benchmark::DoNotOptimize(table.version());
    }
    state.counters["bytes"] = static_cast<double>(bytes.size());
}

auto sizes(benchmark::internal::Benchmark *benchmark) -> void
{
    benchmark->ArgNames({"upstreams", "shards", "pinned"});
    benchmark->Args({41, 1024, 0})->Args({41, 1024, 140})->Args({100, 4096, 140});
    benchmark->Args({300, 16384, 140})->Args({300, 16384, 4000});
}

} // namespace

BENCHMARK(routeLookUp)->Apply(sizes);
BENCHMARK(recordEncode)->Apply(sizes)->Unit(benchmark::kMicrosecond);
BENCHMARK(tableAdopt)->Apply(sizes)->Unit(benchmark::kMicrosecond);
