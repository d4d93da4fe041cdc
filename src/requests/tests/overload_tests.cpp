#include "requests/tests/loadsource.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

auto servicePolicy() -> ServicePolicy
{
    ServicePolicy policy;
    policy.service = {"fitment"};
    policy.shardCount = 4;
    policy.slots = slotCount;
    return policy;
}

auto makeCell(std::uint64_t seed, const UpstreamModelSettings &model = {})
    -> std::unique_ptr<TestCell>
{
    const auto policy = servicePolicy();
    auto cell = std::make_unique<TestCell>(seed, 2, policy);
    cell->addUpstream("u0", 0, 1, model);
    for (std::uint32_t shard = 0; shard < policy.shardCount; ++shard) {
        cell->assign(shard, "u0");
    }
    cell->publish();
    return cell;
}

struct LoadPeakResult
{
    double goodputShare = 0.0;
    double fifoGoodputShare = 0.0;
    double missedShare = 0.0;
    double sendsPerRequest = 0.0;
    Duration latencyAfterPeak{0};
    Duration fifoLatencyAfterPeak{0};
    Duration latencyBeforePeak{0};
};

/// The load rises from 0.3 to 2 times the capacity within a second, stays there for 60 s and falls
/// back within a second.
auto measureLoadPeak(std::uint64_t seed) -> LoadPeakResult
{
    auto cell = makeCell(seed);
    const auto rate = [](double second) {
        const double rise = std::clamp(second - 10.0, 0.0, 1.0);
        const double fall = std::clamp(second - 71.0, 0.0, 1.0);
        return capacityPerSecond * (0.3 + 1.7 * (rise - fall));
    };
    LoadSource source(*cell, seconds{85});
    source.add("shop", rate);
    cell->runUntil(seconds{90});
    const auto fifo = serveFirstInFirstOut(source.work, slotCount);
    const auto within = [](Instant at, int from, int to) {
        return at >= Instant{seconds{from}} && at < Instant{seconds{to}};
    };
    LoadPeakResult result;
    int admitted = 0;
    int missed = 0;
    std::vector<Duration> beforePeak;
    std::vector<Duration> afterPeak;
    std::vector<Duration> fifoAfterPeak;
    const auto &views = cell->callers();
    REQUIRE(views.size() == source.work.size());
    for (std::size_t index = 0; index < views.size(); ++index) {
        const auto &view = views[index];
        const auto latency = view.endedAt - view.sentAt;
        if (within(view.endedAt, 11, 71) && isAnsweredInTime(view)) {
            result.goodputShare += 1.0;
        }
        const auto &fifoEnd = fifo[index].endedAt;
        if (within(fifoEnd, 11, 71) && fifoEnd <= source.work[index].at + requestTimeout) {
            result.fifoGoodputShare += 1.0;
        }
        const bool refused = view.ends.size() == 1 && view.ends[0].kind == EndKind::Refused;
        admitted += refused && !isAdmittedButMissed(view) ? 0 : 1;
        missed += isAdmittedButMissed(view) ? 1 : 0;
        if (isAnsweredInTime(view) && within(view.sentAt, 8, 10)) {
            beforePeak.push_back(latency);
        }
        if (within(view.sentAt, 74, 85)) {
            afterPeak.push_back(isAnsweredInTime(view) ? latency : requestTimeout);
            fifoAfterPeak.push_back(fifoEnd - source.work[index].at);
        }
    }
    result.goodputShare /= 60.0 * capacityPerSecond;
    result.fifoGoodputShare /= 60.0 * capacityPerSecond;
    result.missedShare = static_cast<double>(missed) / admitted;
    result.sendsPerRequest = static_cast<double>(cell->runsSent()) / static_cast<double>(admitted);
    result.latencyBeforePeak = quantileOf(beforePeak, 0.99);
    result.latencyAfterPeak = quantileOf(afterPeak, 0.99);
    result.fifoLatencyAfterPeak = quantileOf(fifoAfterPeak, 0.99);
    return result;
}

} // namespace

SCENARIO("Dispatcher keeps its goodput over a load peak", "[overload]")
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        GIVEN("a load peak from 0.3 to 2 times the capacity, seed " + std::to_string(seed))
        {
            const auto result = measureLoadPeak(seed);
            std::cout << "load_peak seed=" << seed << " goodput=" << result.goodputShare
                      << " fifo_goodput=" << result.fifoGoodputShare
                      << " missed=" << result.missedShare
                      << " sends_per_request=" << result.sendsPerRequest
                      << " p99_before_us=" << result.latencyBeforePeak.count()
                      << " p99_after_us=" << result.latencyAfterPeak.count()
                      << " fifo_p99_after_us=" << result.fifoLatencyAfterPeak.count() << '\n';
            THEN("goodput stays, admitted requests are answered, and latency soon recovers")
            {
                CHECK(result.goodputShare >= 0.9);
                CHECK(result.missedShare <= 0.01);
                CHECK(result.sendsPerRequest <= 1.1);
                CHECK(result.latencyAfterPeak <= 2 * result.latencyBeforePeak);
            }
        }
    }
}

namespace {

struct LongWorkResult
{
    Duration shortWait{0};
    Duration fifoShortWait{0};
    int longSent = 0;
    int longServed = 0;
    int shortLost = 0;
};

/// One request in a hundred takes fifty times as long; the load is 0.7 of the capacity.
auto measureLongWork(std::uint64_t seed, SizeHint hint) -> LongWorkResult
{
    auto cell = makeCell(seed);
    constexpr double longShare = 0.01;
    constexpr double longFactor = 50.0;
    constexpr double loadShare = 0.7;
    const double rate = loadShare * capacityPerSecond / (1.0 + longShare * (longFactor - 1.0));
    LoadSource source(*cell, seconds{120});
    source.add(
        "shop", [rate](double) { return rate; }, longShare, longFactor, hint);
    cell->runUntil(seconds{140});
    const auto fifo = serveFirstInFirstOut(source.work, slotCount);
    LongWorkResult result;
    std::vector<Duration> waits;
    std::vector<Duration> fifoWaits;
    const auto &views = cell->callers();
    for (std::size_t index = 0; index < views.size(); ++index) {
        const auto &work = source.work[index];
        const auto &view = views[index];
        // Skips the time in which the upstream is cold and the operations' costs aren't known.
        if (work.at < Instant{seconds{10}}) {
            continue;
        }
        if (work.isLong) {
            ++result.longSent;
            result.longServed += isAnsweredInTime(view) ? 1 : 0;
            continue;
        }
        result.shortLost += isAnsweredInTime(view) ? 0 : 1;
        const auto latency = isAnsweredInTime(view) ? view.endedAt - view.sentAt : requestTimeout;
        waits.push_back(latency - work.serviceTime);
        fifoWaits.push_back(fifo[index].startedAt - work.at);
    }
    result.shortWait = quantileOf(waits, 0.99);
    result.fifoShortWait = quantileOf(fifoWaits, 0.99);
    return result;
}

struct GoodputShare
{
    double alone = 0.0;
    double beside = 0.0;
};

auto goodputOfModestCallers(std::uint64_t seed, double greedyFactor) -> double
{
    auto cell = makeCell(seed);
    LoadSource source(*cell, seconds{40});
    constexpr int modestCallers = 3;
    const double share = 0.9 * capacityPerSecond / (modestCallers + 1);
    for (int number = 0; number < modestCallers; ++number) {
        source.add("modest" + std::to_string(number), [share](double) { return share; });
    }
    source.add("greedy", [=](double) { return greedyFactor * share; });
    cell->runUntil(seconds{45});
    double good = 0.0;
    double sent = 0.0;
    for (std::size_t index = 0; index < source.work.size(); ++index) {
        if (source.callerOf[index] != "greedy" && source.work[index].at >= Instant{seconds{10}}) {
            sent += 1.0;
            good += isAnsweredInTime(cell->callers()[index]) ? 1.0 : 0.0;
        }
    }
    return good / sent;
}

} // namespace

SCENARIO("Dispatcher keeps long requests from blocking short ones", "[overload]")
{
    for (const auto hint : {SizeHint::Long, SizeHint::None}) {
        for (const std::uint64_t seed : {1U, 2U, 3U}) {
            const std::string origin = hint == SizeHint::Long ? "hinted" : "learned";
            GIVEN("long requests, " << origin << ", seed " << seed)
            {
                const auto result = measureLongWork(seed, hint);
                std::cout << "long_requests " << origin << " seed=" << seed
                          << " p99_short_wait_us=" << result.shortWait.count()
                          << " fifo_p99_short_wait_us=" << result.fifoShortWait.count()
                          << " long_sent=" << result.longSent
                          << " long_served=" << result.longServed
                          << " short_lost=" << result.shortLost << '\n';
                THEN("short ones wait at most a fifth of the FIFO wait, and long ones finish")
                {
                    CHECK(5 * result.shortWait <= result.fifoShortWait);
                    CHECK(result.longServed >= 0.95 * result.longSent);
                }
            }
        }
    }
}

SCENARIO("Dispatcher keeps a greedy caller from taking the others' share", "[overload]")
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        GIVEN("one of four callers at ten times its share, seed " << seed)
        {
            const double goodputAlone = goodputOfModestCallers(seed, 1.0);
            const double goodputBesideGreedy = goodputOfModestCallers(seed, 10.0);
            std::cout << "greedy seed=" << seed << " others_alone=" << goodputAlone
                      << " others_beside=" << goodputBesideGreedy << '\n';
            THEN("the others lose at most a twentieth of their goodput")
            {
                CHECK(goodputBesideGreedy >= 0.95 * goodputAlone);
            }
        }
    }
}

namespace {

struct LimitedUpstreamResult
{
    double goodputShare = 0.0;
    double sendsPerRequest = 0.0;
    double missedShare = 0.0;
};

/// The load is twice the configured capacity, from second 2 to second 32.
auto measureLimitedUpstream(std::uint64_t seed, const UpstreamModelSettings &model)
    -> LimitedUpstreamResult
{
    auto cell = makeCell(seed, model);
    LoadSource source(*cell, seconds{32});
    source.add("shop", [](double) { return 2.0 * capacityPerSecond; });
    cell->runUntil(seconds{36});
    LimitedUpstreamResult result;
    double admitted = 0.0;
    for (const auto &view : cell->callers()) {
        const bool refusedAtOnce = view.ends.size() == 1 && view.ends[0].kind == EndKind::Refused
                                   && !isAdmittedButMissed(view);
        admitted += refusedAtOnce ? 0.0 : 1.0;
        result.missedShare += isAdmittedButMissed(view) ? 1.0 : 0.0;
        result.goodputShare += isAnsweredInTime(view) ? 1.0 : 0.0;
    }
    result.goodputShare /= 30.0 * capacityPerSecond * std::min(model.slots, slotCount) / slotCount;
    result.sendsPerRequest = static_cast<double>(cell->runsSent()) / admitted;
    result.missedShare /= admitted;
    return result;
}

} // namespace

SCENARIO("Dispatcher adapts to the upstream's actual capacity", "[overload]")
{
    for (const std::uint64_t seed : {1U, 2U, 3U}) {
        GIVEN("an upstream with two slots instead of three and no queue of its own, seed " << seed)
        {
            UpstreamModelSettings model;
            model.slots = 2;
            model.queueLimit = 0;
            const auto result = measureLimitedUpstream(seed, model);
            std::cout << "fewer_slots seed=" << seed << " goodput=" << result.goodputShare
                      << " sends_per_request=" << result.sendsPerRequest
                      << " missed=" << result.missedShare << '\n';
            THEN("few runs are refused by it, and admitted requests are answered")
            {
                CHECK(result.sendsPerRequest <= 1.1);
                CHECK(result.missedShare <= 0.01);
            }
        }
        GIVEN("an upstream that starts cold at a quarter of its speed, seed " << seed)
        {
            UpstreamModelSettings model;
            model.coldStart = seconds{5};
            const auto result = measureLimitedUpstream(seed, model);
            std::cout << "cold_start seed=" << seed << " goodput=" << result.goodputShare
                      << " sends_per_request=" << result.sendsPerRequest
                      << " missed=" << result.missedShare << '\n';
            THEN("admitted requests are still answered")
            {
                CHECK(result.sendsPerRequest <= 1.1);
                CHECK(result.missedShare <= 0.01);
            }
        }
    }
}
