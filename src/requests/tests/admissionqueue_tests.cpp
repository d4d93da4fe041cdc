#include "requests/admissionqueue.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;

namespace {

const Instant start{std::chrono::seconds{100}};
const SlotUse idleSlots{3, 0, 0};

auto itemOf(std::uint64_t job, const std::string &caller, Duration deadline, bool isLong = false)
    -> QueuedItem
{
    const Duration cost = isLong ? milliseconds{500} : milliseconds{10};
    return {{job}, {caller}, start + deadline, cost, isLong, true};
}

auto takeAll(AdmissionQueue &queue) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> jobs;
    while (const auto item = queue.take(idleSlots)) {
        jobs.push_back(item->job.value);
    }
    return jobs;
}

} // namespace

SCENARIO("AdmissionQueue orders requests, shares slots and sheds load", "[admissionqueue]")
{
    GIVEN("a queue for three slots, one of them for long work")
    {
        AdmissionQueue queue({16, 1, milliseconds{250}});
        WHEN("a caller's requests have different deadlines")
        {
            queue.offer(start, itemOf(1, "a", milliseconds{900}), idleSlots);
            queue.offer(start, itemOf(2, "a", milliseconds{300}), idleSlots);
            queue.offer(start, itemOf(3, "a", milliseconds{600}), idleSlots);
            THEN("the earliest deadline goes first")
            {
                CHECK(takeAll(queue) == std::vector<std::uint64_t>{2, 3, 1});
            }
        }
        WHEN("a request can't meet its deadline")
        {
            const auto admission = queue.offer(start, itemOf(1, "a", milliseconds{10}), idleSlots);
            THEN("it is refused with a time after which to retry")
            {
                CHECK(admission.reason == Reason::DeadlineTooShort);
                CHECK(admission.retryAfter > Duration{0});
                CHECK(queue.empty());
            }
        }
        WHEN("a waiting request can't meet its deadline any more")
        {
            queue.offer(start, itemOf(1, "a", milliseconds{100}), idleSlots);
            queue.offer(start, itemOf(2, "a", milliseconds{400}), idleSlots);
            THEN("it is shed before its deadline")
            {
                CHECK(queue.expire(start + milliseconds{95}) == std::vector<JobId>{{1}});
                CHECK(queue.size() == 1);
            }
        }
        WHEN("one caller has filled the queue and another sends a request")
        {
            std::uint64_t job = 0;
            while (queue.offer(start, itemOf(++job, "greedy", milliseconds{2000}), idleSlots).reason
                   == Reason::None) {
            }
            const auto admission =
                queue.offer(start, itemOf(100, "modest", milliseconds{2000}), idleSlots);
            THEN("a request of the first caller is removed to make room")
            {
                CHECK(admission.reason == Reason::None);
                CHECK(admission.evicted.size() == 1);
                CHECK(queue.size() == 16);
            }
        }
        WHEN("long work waits beside short work")
        {
            queue.offer(start, itemOf(1, "a", milliseconds{3000}, true), idleSlots);
            queue.offer(start, itemOf(2, "a", milliseconds{4000}, true), idleSlots);
            queue.offer(start, itemOf(3, "a", milliseconds{5000}), idleSlots);
            const auto first = queue.take({3, 0, 0});
            const auto second = queue.take({3, 1, 1});
            const auto third = queue.take({3, 2, 1});
            THEN("it holds one slot at most")
            {
                CHECK(first->job.value == 1);
                CHECK(second->job.value == 3);
                CHECK_FALSE(third.has_value());
                CHECK(queue.take({3, 0, 0})->job.value == 2);
            }
        }
        WHEN("an item isn't ready")
        {
            auto item = itemOf(1, "a", milliseconds{900});
            item.ready = false;
            queue.offer(start, item, idleSlots);
            queue.offer(start, itemOf(2, "a", milliseconds{950}), idleSlots);
            THEN("others run first, and it runs once it is ready")
            {
                CHECK(queue.take(idleSlots)->job.value == 2);
                CHECK_FALSE(queue.take(idleSlots).has_value());
                queue.markReady({1});
                CHECK(queue.take(idleSlots)->job.value == 1);
            }
        }
    }
    GIVEN("two callers with many requests, one with three times the other's share")
    {
        AdmissionQueue queue({1000, 1, std::chrono::seconds{100}});
        queue.configure({1000, 1, std::chrono::seconds{100}}, {{{"big"}, 3}, {{"small"}, 1}});
        for (std::uint64_t job = 1; job <= 100; ++job) {
            queue.offer(start, itemOf(job, "big", std::chrono::seconds{100}), idleSlots);
            queue.offer(start, itemOf(job + 1000, "small", std::chrono::seconds{100}), idleSlots);
        }
        WHEN("eighty requests have been taken")
        {
            int takenFromBig = 0;
            for (int number = 0; number < 80; ++number) {
                takenFromBig += queue.take(idleSlots)->caller.value == "big" ? 1 : 0;
            }
            THEN("three quarters of them are those of the larger share")
            {
                CHECK(takenFromBig >= 59);
                CHECK(takenFromBig <= 61);
            }
        }
    }
}
