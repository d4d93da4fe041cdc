#include "dispatch/healthchanges.h"
#include "dispatch/slotbroker.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <vector>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr double warmUpPerSecond = 5.4;
/// What an upstream takes in one second while it is cold.
constexpr double coldBound = 1.5 * warmUpPerSecond + 8;
/// Time that an upstream takes for a request.
constexpr Duration work = milliseconds{40};
const ServiceName service{"fitment"};
const UpstreamId upstream{"u0"};

/// A broker with one upstream, which gets a request each 5 ms, far more than a cold upstream takes.
class LoadedBroker
{
public:
    /// @param isSharded the upstream owns all keys
    explicit LoadedBroker(double warmUpRate = warmUpPerSecond, bool isSharded = false)
        : broker(service, isSharded, SlotBrokerSettings{}, RetryWindowSettings{}, 1)
    {
        this->entry.id = upstream;
        this->entry.service = service;
        this->entry.slots = 3;
        this->broker.setWarmUpRate(warmUpRate, this->now);
        this->publish();
        OwnedRange owned;
        owned.keys = KeyRange{0, 65535};
        owned.owner = upstream;
        this->broker.setOwners({owned}, this->now);
    }

    UpstreamEntry entry;
    /// How attempts end.
    AttemptEnd end = AttemptEnd::Answered;
    /// What the answers state.
    std::optional<RequestLimit> requestLimit;
    bool areRetries = false;

    auto publish() -> void { this->broker.setUpstreams({this->entry}, this->now); }
    auto removeEntry() -> void { this->broker.setUpstreams({}, this->now); }
    /// Publishes an entry that states the warm-up.
    auto publishCold(Duration remaining) -> void
    {
        this->entry.remainingWarmUp = remaining;
        this->entry.warmUpRevision = ++this->revision;
        this->publish();
    }
    auto publishEvacuated() -> void
    {
        this->entry.isEvacuated = true;
        this->entry.evacuatedAt = this->now;
        this->publish();
    }
    auto publishTakenBack() -> void
    {
        this->entry.isEvacuated = false;
        this->entry.evacuationEndedAt = this->now;
        this->publish();
    }
    auto suspectCold() -> void { this->broker.suspectCold(upstream, this->now); }
    auto setWarmUpRate(double rate) -> void { this->broker.setWarmUpRate(rate, this->now); }

    auto run(Duration time) -> void
    {
        for (const auto until = this->now + time; this->now < until;) {
            this->now += milliseconds{5};
            while (!this->attempts.empty() && this->attempts.front().first <= this->now) {
                const auto report = this->attempts.front().second;
                this->attempts.pop_front();
                this->broker.report(report, this->now);
            }
            this->ask();
            this->broker.advance(this->now);
            this->takeVerdicts();
        }
    }

    auto forgetSends() -> void { this->sends.clear(); }
    /// @returns the most requests in any one second
    [[nodiscard]] auto mostInSecond() const -> double
    {
        std::size_t most = 0;
        std::deque<Instant> window;
        for (const auto &at : this->sends) {
            window.push_back(at);
            while (window.front() <= at - seconds{1}) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return static_cast<double>(most);
    }
    [[nodiscard]] auto sentCount() const -> std::size_t { return this->sends.size(); }
    [[nodiscard]] auto refusals(Reason reason) const -> std::size_t
    {
        return static_cast<std::size_t>(
            std::count(this->reasons.begin(), this->reasons.end(), reason));
    }
    [[nodiscard]] auto status() const -> UpstreamStatus
    {
        return this->broker.upstreamStatuses(this->now).front();
    }

private:
    auto ask() -> void
    {
        PermitRequest request;
        request.id = PermitId{Address{"entry"}, 1, ++this->sequence};
        request.service = service;
        request.key = KeyPosition{1};
        request.remaining = milliseconds{800};
        request.untilTarget = milliseconds{300};
        request.isRetry = this->areRetries && this->sequence % 2 == 0;
        this->broker.ask(request, this->now);
        this->takeVerdicts();
    }

    auto takeVerdicts() -> void
    {
        for (const auto &issued : this->broker.takeVerdicts()) {
            if (issued.verdict.kind == PermitVerdict::Kind::Refused) {
                this->reasons.push_back(issued.verdict.reason);
            }
            if (issued.verdict.kind != PermitVerdict::Kind::Granted) {
                continue;
            }
            this->sends.push_back(this->now);
            PermitReport report;
            report.id = issued.id;
            report.service = service;
            report.upstream = upstream;
            report.end = this->end;
            report.latency = work;
            report.requestLimit = this->requestLimit;
            this->attempts.emplace_back(this->now + work, report);
        }
    }

    SlotBroker broker;
    Instant now{seconds{50}};
    std::deque<std::pair<Instant, PermitReport>> attempts;
    std::vector<Instant> sends;
    std::vector<Reason> reasons;
    std::uint64_t sequence = 0;
    std::uint64_t revision = 0;
};

/// Requests per second of an upstream that isn't cold: three slots, 40 ms each.
constexpr double warmPerSecond = 75;

} // namespace

// Guards against a cold upstream that crashes, as it gets as many requests as it has slots for.
SCENARIO(
    "SlotBroker: given a load of 200 requests per second, a cold upstream gets no more than its "
    "bound in any second",
    "[dispatch][cold]")
{
    const auto isSharded = GENERATE(false, true);
    LoadedBroker loaded(warmUpPerSecond, isSharded);
    GIVEN("an upstream that is cold after its start")
    {
        loaded.publishCold(seconds{3});
        loaded.run(milliseconds{2900});
        CHECK(loaded.mostInSecond() <= warmUpPerSecond + 1);
        CHECK(static_cast<double>(loaded.sentCount()) >= 0.85 * warmUpPerSecond * 2.9);
        CHECK(loaded.status().requestLimit.perSecond == warmUpPerSecond);
        THEN("the bound ends with the warm-up")
        {
            loaded.run(milliseconds{300});
            loaded.forgetSends();
            loaded.run(seconds{3});
            CHECK(static_cast<double>(loaded.sentCount()) >= 0.8 * warmPerSecond * 3);
            CHECK_FALSE(loaded.status().isCold);
            CHECK_FALSE(loaded.status().requestLimit.isLimited());
        }
    }
    GIVEN("an upstream in use")
    {
        loaded.run(seconds{5});
        REQUIRE(loaded.mostInSecond() > coldBound);
        REQUIRE_FALSE(loaded.status().isCold);
        loaded.forgetSends();
        WHEN("its entry states a warm-up, as it has become cold again")
        {
            loaded.publishCold(seconds{3});
            loaded.run(seconds{3});
            CHECK(loaded.mostInSecond() <= coldBound);
            AND_WHEN("a later entry states the same warm-up once more")
            {
                loaded.run(seconds{2});
                loaded.forgetSends();
                loaded.publishCold(seconds{3});
                loaded.run(seconds{3});
                CHECK(loaded.mostInSecond() <= coldBound);
            }
        }
        WHEN("its entry is missing, and is back")
        {
            loaded.entry.isMissing = true;
            loaded.publish();
            loaded.run(seconds{1});
            loaded.forgetSends();
            loaded.entry.isMissing = false;
            loaded.publish();
            loaded.run(seconds{2});
            CHECK(loaded.mostInSecond() <= coldBound);
        }
        WHEN("its entry disappears, and is back")
        {
            loaded.removeEntry();
            loaded.run(seconds{1});
            loaded.forgetSends();
            loaded.publish();
            loaded.run(seconds{2});
            CHECK(loaded.mostInSecond() <= coldBound);
        }
        WHEN("it can't be reached, and then can be reached again")
        {
            const auto failure = GENERATE(AttemptEnd::NotSent, AttemptEnd::NoAnswer);
            loaded.end = failure;
            loaded.run(seconds{10});
            loaded.forgetSends();
            loaded.end = AttemptEnd::Answered;
            loaded.run(seconds{2});
            CHECK(loaded.mostInSecond() <= coldBound);
            THEN("it is used as usual after some seconds")
            {
                loaded.run(seconds{4});
                loaded.forgetSends();
                loaded.run(seconds{3});
                CHECK(static_cast<double>(loaded.sentCount()) >= 0.8 * warmPerSecond * 3);
            }
        }
        WHEN("it may have become cold")
        {
            loaded.suspectCold();
            loaded.run(milliseconds{1900});
            CHECK(loaded.mostInSecond() <= coldBound);
            CHECK(loaded.status().isCold);
            THEN("it counts as cold for 2 s at most")
            {
                loaded.run(milliseconds{200});
                CHECK_FALSE(loaded.status().isCold);
            }
        }
        WHEN("it may have become cold, and its entry states another time after that")
        {
            loaded.suspectCold();
            loaded.run(milliseconds{500});
            loaded.publishCold(milliseconds{200});
            loaded.run(milliseconds{250});
            CHECK_FALSE(loaded.status().isCold);
        }
        WHEN("it is cold, and each second request is a retry")
        {
            loaded.areRetries = true;
            loaded.publishCold(seconds{5});
            loaded.run(seconds{5});
            CHECK(loaded.mostInSecond() <= coldBound);
        }
    }
}

SCENARIO("SlotBroker: given a cold upstream that names a limit, the lower one applies",
         "[dispatch][cold]")
{
    LoadedBroker loaded;
    loaded.requestLimit = RequestLimit{2};
    loaded.publishCold(seconds{10});
    loaded.run(seconds{2});
    CHECK(loaded.status().requestLimit.perSecond == 2);
    loaded.forgetSends();
    loaded.run(seconds{8});
    CHECK(loaded.sentCount() <= 18);
    THEN("the named limit goes on after the warm-up")
    {
        loaded.run(seconds{1});
        CHECK_FALSE(loaded.status().isCold);
        CHECK(loaded.status().requestLimit.perSecond == 2);
    }
}

// Guards against deployments that get fewer requests through though they set no rate.
SCENARIO("SlotBroker: given a service without a rate for cold upstreams, they aren't bounded",
         "[dispatch][cold]")
{
    LoadedBroker loaded(0);
    loaded.publishCold(seconds{3});
    loaded.suspectCold();
    loaded.run(seconds{3});
    CHECK(static_cast<double>(loaded.sentCount()) >= 0.8 * warmPerSecond * 3);
    CHECK_FALSE(loaded.status().isCold);
    THEN("an entry that states the same warm-up anew doesn't prolong it")
    {
        loaded.publishCold(seconds{3});
        loaded.run(milliseconds{100});
        CHECK(loaded.status().expectedLatency < milliseconds{60});
    }
    THEN("a rate that is set during the warm-up applies at once")
    {
        loaded.publishCold(seconds{3});
        loaded.run(seconds{1});
        loaded.forgetSends();
        loaded.setWarmUpRate(warmUpPerSecond);
        loaded.run(milliseconds{1900});
        CHECK(loaded.mostInSecond() <= warmUpPerSecond + 1);
    }
}

SCENARIO("HealthChanges tells when an upstream begins and ceases to count as cold",
         "[dispatch][cold]")
{
    HealthChanges changes;
    UpstreamStatus status;
    status.id = upstream;
    CHECK(changes.update({status}).size() == 1);
    status.isCold = true;
    status.requestLimit = RequestLimit{warmUpPerSecond};
    status.grantedPerSecond = warmPerSecond;
    const auto cold = changes.update({status});
    REQUIRE(cold.size() == 1);
    CHECK(toString(cold.front().kind) == "cold");
    CHECK(changes.update({status}).empty());
    status.isCold = false;
    status.requestLimit = RequestLimit{};
    const auto warm = changes.update({status});
    REQUIRE(warm.size() == 1);
    CHECK(toString(warm.front().kind) == "warm");
}

SCENARIO(
    "SlotBroker: given requests for keys of a cold owner, those that it can't serve in time are "
    "refused for its limit",
    "[dispatch][cold]")
{
    LoadedBroker loaded(warmUpPerSecond, true);
    loaded.publishCold(seconds{10});
    loaded.run(seconds{5});
    CHECK(loaded.refusals(Reason::RequestLimitReached) > 800);
    CHECK(loaded.refusals(Reason::QueueFull) == 0);
}

// Guards against upstreams that are overrun at the end of an evacuation, in which they became cold.
SCENARIO("SlotBroker: given an evacuation that is withdrawn, its upstreams count as cold",
         "[dispatch][cold]")
{
    LoadedBroker loaded;
    loaded.run(seconds{1});
    loaded.publishEvacuated();
    loaded.run(seconds{2});
    loaded.forgetSends();
    loaded.publishTakenBack();
    CHECK(loaded.status().isCold);
    loaded.run(milliseconds{1900});
    CHECK(loaded.mostInSecond() <= warmUpPerSecond + 1);
    THEN("they serve as usual after that")
    {
        loaded.run(milliseconds{200});
        CHECK_FALSE(loaded.status().isCold);
    }
}
