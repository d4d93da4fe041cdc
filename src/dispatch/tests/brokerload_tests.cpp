#include "dispatch/slotbroker.h"

#include <catch2/catch.hpp>
#include <ctime>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ServiceName service{"service"};
const Instant start{seconds{100}};

auto permit(std::uint64_t sequence, std::optional<KeyPosition> key) -> PermitRequest
{
    PermitRequest request;
    request.id = PermitId{Address{"10.0.0." + std::to_string(sequence % 250)}, 1, sequence};
    request.service = service;
    request.remaining = seconds{20};
    // Most callers have waited or come again, so that their targets have passed.
    request.untilTarget = milliseconds{sequence % 4 == 0 ? 600 : -100};
    request.key = key;
    return request;
}

auto upstreams(int count) -> std::vector<UpstreamEntry>
{
    std::vector<UpstreamEntry> entries;
    for (auto index = 0; index < count; ++index) {
        UpstreamEntry entry;
        entry.id = UpstreamId{"u" + std::to_string(index)};
        entry.service = service;
        entry.domain = FailureDomain{"domain-" + std::to_string(index % 5)};
        entry.slots = 3;
        entries.push_back(entry);
    }
    return entries;
}

/// One owner for each of equally large ranges.
auto owners(int count) -> std::vector<OwnedRange>
{
    constexpr int keyCount = 65536;
    std::vector<OwnedRange> ranges;
    for (auto index = 0; index < count; ++index) {
        const auto first = static_cast<KeyPosition>(keyCount * index / count);
        const auto last = static_cast<KeyPosition>(keyCount * (index + 1) / count - 1);
        ranges.push_back(
            OwnedRange{KeyRange{first, last}, UpstreamId{"u" + std::to_string(index)}, {}});
    }
    return ranges;
}

auto report(const IssuedVerdict &granted) -> PermitReport
{
    PermitReport result;
    result.id = granted.id;
    result.service = service;
    result.upstream = granted.verdict.upstream;
    result.end = AttemptEnd::Answered;
    result.latency = milliseconds{80};
    return result;
}

/// Runs one second of requests against a broker whose queues are full: each millisecond some
/// requests arrive, as many permits are returned, and waiting requests are sent again.
/// @param perSecond requests, and returned permits, per second
/// @param keyOf the key of the request with a number
/// @returns the processor time that the broker took for it
template<typename KeyOf>
auto processorTimeOfOneSecond(SlotBroker &broker, int perSecond, KeyOf keyOf) -> Duration
{
    std::uint64_t sequence = 1;
    std::vector<IssuedVerdict> granted;
    const auto takeGranted = [&] {
        for (auto &verdict : broker.takeVerdicts()) {
            if (verdict.verdict.kind == PermitVerdict::Kind::Granted) {
                granted.push_back(std::move(verdict));
            }
        }
    };
    constexpr int waitingAtStart = 1500;
    while (broker.backlogSize() < waitingAtStart) {
        broker.ask(permit(sequence, keyOf(sequence)), start);
        ++sequence;
    }
    takeGranted();
    constexpr int millisecondsPerSecond = 1000;
    constexpr int advanceEveryMs = 20;
    const auto before = std::clock();
    for (auto elapsed = 0; elapsed < millisecondsPerSecond; ++elapsed) {
        const auto now = start + milliseconds{elapsed};
        for (auto count = 0; count < perSecond / millisecondsPerSecond; ++count) {
            broker.ask(permit(sequence, keyOf(sequence)), now);
            // A request that waits is sent again.
            const auto earlier = sequence - waitingAtStart / 2;
            broker.ask(permit(earlier, keyOf(earlier)), now);
            ++sequence;
            if (!granted.empty()) {
                broker.report(report(granted.back()), now);
                granted.pop_back();
            }
            takeGranted();
        }
        if (elapsed % advanceEveryMs == 0) {
            broker.advance(now);
            takeGranted();
        }
    }
    return Duration{static_cast<Duration::rep>(1e6 * static_cast<double>(std::clock() - before)
                                               / CLOCKS_PER_SEC)};
}

/// A grantor serves this many requests a second on half a core.
constexpr int targetPerSecond = 5000;
constexpr Duration halfOfACore = milliseconds{500};

} // namespace

SCENARIO(
    "SlotBroker: given a crest with full queues at hundreds of upstreams, half a core is enough",
    "[dispatch][load]")
{
    SlotBroker broker(service, false, SlotBrokerSettings{}, RetryWindowSettings{}, 1);
    broker.setUpstreams(upstreams(270), start);
    CHECK(processorTimeOfOneSecond(broker, targetPerSecond,
                                   [](std::uint64_t) { return std::nullopt; })
          < halfOfACore);
}

SCENARIO(
    "SlotBroker: given hot neighbouring keys with full queues and hundreds of owners with free "
    "slots, half a core is enough",
    "[dispatch][load][keys]")
{
    constexpr int ownerCount = 530;
    SlotBroker broker(service, true, SlotBrokerSettings{}, RetryWindowSettings{}, 1);
    broker.setUpstreams(upstreams(ownerCount), start);
    broker.setOwners(owners(ownerCount), start);
    // The keys of about 25 owners.
    CHECK(processorTimeOfOneSecond(
              broker, targetPerSecond,
              [](std::uint64_t sequence) { return static_cast<KeyPosition>(sequence * 7 % 3100); })
          < halfOfACore);
}

// Guards against a search over all daemons for each pair of request and upstream.
SCENARIO("SlotBroker: given hundreds of daemons and upstreams with free slots, and many daemons "
         "that are isolated, half a core is enough",
         "[dispatch][load][lostlinks]")
{
    constexpr std::uint64_t daemonCount = 250;
    const auto isolatedCount = GENERATE(std::uint64_t{80}, std::uint64_t{225});
    SlotBroker broker(service, false, SlotBrokerSettings{}, RetryWindowSettings{}, 1);
    broker.setUpstreams(upstreams(270), start);
    std::vector<IssuedVerdict> granted;
    std::uint64_t sequence = 0;
    auto refused = 0;
    const auto ask = [&](Instant now) {
        auto request = permit(++sequence, std::nullopt);
        request.isIsolated = sequence % daemonCount < isolatedCount;
        broker.ask(request, now);
        for (auto &verdict : broker.takeVerdicts()) {
            refused += verdict.verdict.kind == PermitVerdict::Kind::Refused ? 1 : 0;
            if (verdict.verdict.kind == PermitVerdict::Kind::Granted) {
                granted.push_back(std::move(verdict));
            }
        }
    };
    const auto answerAll = [&](Instant now) {
        for (const auto &verdict : granted) {
            auto answer = report(verdict);
            answer.forwarder = verdict.verdict.forwarder;
            broker.report(answer, now);
        }
        granted.clear();
    };
    for (std::uint64_t count = 0; count < 2 * daemonCount; ++count) {
        ask(start);
        answerAll(start);
    }
    refused = 0;
    const auto before = std::clock();
    constexpr int perBatch = 100;
    for (auto batch = 0; batch < targetPerSecond / perBatch; ++batch) {
        const auto now = start + milliseconds{1000 * perBatch / targetPerSecond * batch};
        for (auto count = 0; count < perBatch; ++count) {
            ask(now);
        }
        broker.advance(now + milliseconds{10});
        answerAll(now + milliseconds{10});
    }
    const auto used =
        std::chrono::duration<double>(static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC);
    CHECK(refused == 0);
    CHECK(used < halfOfACore);
}
