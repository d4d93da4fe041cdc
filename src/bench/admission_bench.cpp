// Measures the processor time of an admission decision while other requests wait.
#include "requests/admissionqueue.h"

#include <benchmark/benchmark.h>
#include <string>

using namespace gooseberrywall;

namespace {

auto makeItem(std::uint64_t number, Instant now) -> QueuedItem
{
    QueuedItem item;
    item.job = {number};
    item.caller = {"caller-" + std::to_string(number % 10)};
    item.deadline = now + std::chrono::seconds{5};
    item.cost = std::chrono::microseconds{10};
    return item;
}

/// Offers one request to a queue with waiting requests, and takes the next one from it.
auto admissionDecision(benchmark::State &state) -> void
{
    AdmissionQueue queue{QueueLimits{}};
    const SlotUse slots{3, 0, 0};
    Instant now{std::chrono::seconds{1}};
    std::uint64_t number = 0;
    for (int waiting = 0; waiting < state.range(0); ++waiting) {
        queue.offer(now, makeItem(++number, now), slots);
    }
    std::uint64_t admitted = 0;
    for (auto _ : state) {
        now += std::chrono::microseconds{3};
        const auto admission = queue.offer(now, makeItem(++number, now), slots);
        admitted += admission.reason == Reason::None ? 1 : 0;
        benchmark::DoNotOptimize(queue.take(slots));
    }
    state.counters["admitted"] =
        static_cast<double>(admitted) / static_cast<double>(state.iterations());
}

} // namespace

BENCHMARK(admissionDecision)->ArgName("waiting")->Arg(0)->Arg(32)->Arg(200);
