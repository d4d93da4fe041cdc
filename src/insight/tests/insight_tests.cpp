#include "insight/counters.h"
#include "insight/eventring.h"

#include <algorithm>
#include <catch2/catch.hpp>

using namespace gooseberrywall;

namespace {

auto countOf(const CounterSnapshot &snapshot, const CounterKey &key) -> std::uint64_t
{
    for (const auto &sample : snapshot.counters) {
        if (sample.key == key) {
            return sample.count;
        }
    }
    return 0;
}

} // namespace

SCENARIO("Counters: each end has its own counter, and snapshots are sorted", "[counters]")
{
    GIVEN("counters with room for four series")
    {
        Counters counters(4);
        const ServiceName service{"fitment"};
        const CallerId caller{"shop"};
        WHEN("requests end in different ways")
        {
            counters.countAnswer(service, caller, std::chrono::milliseconds{4});
            counters.countRefusal(service, caller, Reason::QueueFull);
            counters.countRefusal(service, caller, Reason::QueueFull);
            counters.countRefusal(service, caller, Reason::DeadlineTooShort);
            counters.countUnknownOutcome(service, caller, Reason::AnswerLost);
            const auto snapshot = counters.snapshot();
            THEN("each has its own count and the snapshot is sorted")
            {
                CHECK(countOf(snapshot, {service, caller, CountedEvent::Refused, Reason::QueueFull})
                      == 2);
                CHECK(
                    countOf(snapshot, {service, caller, CountedEvent::Unknown, Reason::AnswerLost})
                    == 1);
                CHECK(std::is_sorted(
                    snapshot.counters.begin(), snapshot.counters.end(),
                    [](const auto &left, const auto &right) { return left.key < right.key; }));
            }
            AND_WHEN("further callers appear")
            {
                counters.countRefusal(service, {"a"}, Reason::QueueFull);
                counters.countRefusal(service, {"b"}, Reason::QueueFull);
                THEN("they share one series, so that the number of series stays limited")
                {
                    const CounterKey other{
                        {"other"}, {"other"}, CountedEvent::Refused, Reason::QueueFull};
                    CHECK(countOf(counters.snapshot(), other) == 2);
                    CHECK(counters.snapshot().counters.size() == 5);
                }
            }
        }
        WHEN("a thousand latencies from 1 to 1000 ms are recorded")
        {
            for (int number = 0; number < 1000; ++number) {
                const int latency = 1 + number * 7 % 1000;
                counters.countAnswer(service, caller, std::chrono::milliseconds{latency});
            }
            const auto sample = counters.snapshot().latencies.at(0);
            THEN("the estimated quantiles are within 5 percent of the true ones")
            {
                CHECK(sample.count == 1000);
                CHECK(sample.maximum == std::chrono::milliseconds{1000});
                CHECK(static_cast<double>(sample.p50.count()) == Approx(500'000).epsilon(0.05));
                CHECK(static_cast<double>(sample.p99.count()) == Approx(990'000).epsilon(0.05));
            }
        }
    }
}

SCENARIO("EventRing: the latest events are kept and found by request", "[eventring]")
{
    GIVEN("a ring for three events")
    {
        EventRing ring(3);
        const RequestId request{"r1"};
        WHEN("five events of two requests are recorded")
        {
            const auto at = [](int time) { return Instant{Duration{time}}; };
            ring.record(at(1), request, "forwarded", "d1");
            ring.record(at(2), {"r2"}, "forwarded", "d1");
            ring.record(at(3), request, "sent", "u1");
            ring.record(at(4), {"r2"}, "sent", "u1");
            ring.record(at(5), request, "answered", "u1");
            THEN("of the latest three, those of the request are found, oldest first")
            {
                const auto found = ring.find(request);
                REQUIRE(found.size() == 2);
                CHECK(found[0] == RequestEvent{at(3), request, "sent", "u1"});
                CHECK(found[1] == RequestEvent{at(5), request, "answered", "u1"});
            }
        }
    }
}
