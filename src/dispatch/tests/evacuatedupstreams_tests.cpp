#include "dispatch/slotbroker.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant start{seconds{100}};
const ServiceName service{"service"};

/// A broker of two upstreams with a slot each in the failure domain "north", and one in "south".
struct EvacuationFixture
{
    SlotBroker broker;
    std::uint64_t sequence = 0;
    std::set<std::string> evacuated;
    Instant evacuatedAt{};

    explicit EvacuationFixture(bool isSharded = false)
        : broker(service, isSharded, SlotBrokerSettings{}, RetryWindowSettings{}, 1)
    {
        this->setEvacuated({}, start);
    }

    auto setEvacuated(const std::set<std::string> &domains, Instant now) -> void
    {
        this->evacuated = domains;
        this->evacuatedAt = now;
        std::vector<UpstreamEntry> entries;
        for (const auto &[id, domain] :
             {std::pair("n1", "north"), {"n2", "north"}, {"s1", "south"}}) {
            UpstreamEntry entry;
            entry.id = UpstreamId{id};
            entry.service = service;
            entry.domain = FailureDomain{domain};
            entry.isEvacuated = domains.contains(domain);
            entry.evacuatedAt = entry.isEvacuated ? now : Instant{};
            entries.push_back(entry);
        }
        this->broker.setUpstreams(entries, now);
    }

    auto own(const std::string &upstream, Instant now) -> void
    {
        this->broker.setOwners({OwnedRange{KeyRange{0, 65535}, UpstreamId{upstream}, Instant{}}},
                               now);
    }

    auto request(std::optional<KeyPosition> key = std::nullopt) -> PermitRequest
    {
        PermitRequest result;
        result.id = PermitId{Address{"10.9.0.1:7000"}, 1, ++this->sequence};
        result.service = service;
        result.domain = FailureDomain{"north"};
        result.key = key;
        result.remaining = milliseconds{800};
        result.untilTarget = milliseconds{300};
        return result;
    }

    auto ask(const PermitRequest &asked, Instant now) -> IssuedVerdict
    {
        this->broker.ask(asked, now);
        const auto verdicts = this->broker.takeVerdicts();
        REQUIRE(verdicts.size() == 1);
        return verdicts.front();
    }
};

using Kind = PermitVerdict::Kind;

} // namespace

// Guards against the load that was observed: thousands of requests that were sent to upstreams of
// an evacuated failure domain.
SCENARIO("SlotBroker: given an evacuated failure domain, requests without a key are sent elsewhere",
         "[dispatch][evacuation]")
{
    EvacuationFixture fixture;
    GIVEN("an evacuation of the domain of most upstreams, and of the entry daemon")
    {
        fixture.setEvacuated({"north"}, start);
        const auto granted = fixture.ask(fixture.request(), start);
        THEN("the upstream elsewhere gets the request, and others wait for its slot")
        {
            CHECK(granted.verdict.kind == Kind::Granted);
            CHECK(granted.verdict.upstream == UpstreamId{"s1"});
            CHECK(fixture.ask(fixture.request(), start).verdict.kind == Kind::Queued);
        }
        THEN("evacuated upstreams aren't usable, but don't drain either")
        {
            for (const auto &status : fixture.broker.upstreamStatuses(start)) {
                const auto isNorth = status.id != UpstreamId{"s1"};
                CHECK(status.isUsable != isNorth);
                CHECK(status.isEvacuated == isNorth);
                CHECK_FALSE(status.isDraining);
            }
        }
        THEN("they get requests again at once when the evacuation is withdrawn")
        {
            fixture.setEvacuated({}, start + seconds{9});
            std::set<UpstreamId> used;
            for (auto number = 0; number < 2; ++number) {
                used.insert(fixture.ask(fixture.request(), start + seconds{9}).verdict.upstream);
            }
            CHECK(used == std::set{UpstreamId{"n1"}, UpstreamId{"n2"}});
        }
    }
    GIVEN("requests that wait when the evacuation begins")
    {
        for (auto number = 0; number < 3; ++number) {
            REQUIRE(fixture.ask(fixture.request(), start).verdict.kind == Kind::Granted);
        }
        const auto waiting = fixture.request();
        REQUIRE(fixture.ask(waiting, start).verdict.kind == Kind::Queued);
        fixture.setEvacuated({"north"}, start + milliseconds{10});
        THEN("they aren't granted slots that are freed in the evacuated domain")
        {
            for (std::uint64_t number = 1; number <= 3; ++number) {
                fixture.broker.cancel(PermitId{Address{"10.9.0.1:7000"}, 1, number},
                                      start + milliseconds{20});
            }
            const auto verdicts = fixture.broker.takeVerdicts();
            REQUIRE(verdicts.size() == 1);
            CHECK(verdicts.front().id == waiting.id);
            CHECK(verdicts.front().verdict.upstream == UpstreamId{"s1"});
        }
    }
    GIVEN("a verdict that was lost before the evacuation began")
    {
        auto lost = fixture.request();
        while (fixture.ask(lost, start).verdict.upstream == UpstreamId{"s1"}) {
            lost = fixture.request();
        }
        fixture.setEvacuated({"north"}, start + milliseconds{50});
        static_cast<void>(fixture.broker.takeVerdicts());
        THEN("it isn't repeated, which would send the request there later")
        {
            fixture.broker.advance(start + milliseconds{500});
            fixture.broker.ask(lost, start + milliseconds{500});
            for (const auto &issued : fixture.broker.takeVerdicts()) {
                CHECK_FALSE(issued.verdict.upstream.value.starts_with("n"));
            }
        }
    }
}

// Guards against keys that get no answer while their ranges move, and against an owner that goes on
// getting requests when a move takes too long.
SCENARIO("SlotBroker: given an evacuated owner of keys, it serves them for a limited time",
         "[dispatch][evacuation]")
{
    EvacuationFixture fixture(true);
    fixture.own("n1", start);
    fixture.setEvacuated({"north"}, start);
    THEN("a request with a key is sent to the owner until 2.5 s have passed")
    {
        CHECK(fixture.ask(fixture.request(7), start + milliseconds{2490}).verdict.kind
              == Kind::Granted);
    }
    THEN("from then on it gets none, even if its range hasn't moved")
    {
        CHECK(fixture.ask(fixture.request(7), start + milliseconds{2500}).verdict.kind
              != Kind::Granted);
        fixture.broker.advance(start + milliseconds{2600});
        for (const auto &issued : fixture.broker.takeVerdicts()) {
            CHECK(issued.verdict.kind != Kind::Granted);
        }
    }
    THEN("a lost verdict is repeated until then only")
    {
        const auto lost = fixture.request(7);
        REQUIRE(fixture.ask(lost, start + milliseconds{2300}).verdict.kind == Kind::Granted);
        CHECK(fixture.ask(lost, start + milliseconds{2400}).verdict.kind == Kind::Granted);
        CHECK(fixture.ask(lost, start + milliseconds{2501}).verdict.kind != Kind::Granted);
    }
    THEN("requests without a key aren't sent to it")
    {
        CHECK(fixture.ask(fixture.request(), start).verdict.upstream == UpstreamId{"s1"});
    }
}

// Guards against a request without a key that ranks first and keeps the slot of an evacuated owner
// from requests for its keys, as it may not run there.
SCENARIO(
    "SlotBroker: given an evacuated owner and a more urgent request without a key, the owner's "
    "slot goes to its keys",
    "[dispatch][evacuation]")
{
    EvacuationFixture fixture(true);
    fixture.own("n1", start);
    fixture.setEvacuated({"north"}, start);
    const auto atOwner = fixture.ask(fixture.request(7), start);
    REQUIRE(atOwner.verdict.upstream == UpstreamId{"n1"});
    REQUIRE(fixture.ask(fixture.request(), start).verdict.upstream == UpstreamId{"s1"});
    REQUIRE(fixture.ask(fixture.request(), start).verdict.kind == Kind::Queued);
    const auto keyed = fixture.request(7);
    REQUIRE(fixture.ask(keyed, start).verdict.kind == Kind::Queued);
    fixture.broker.cancel(atOwner.id, start + milliseconds{10});
    const auto verdicts = fixture.broker.takeVerdicts();
    REQUIRE(verdicts.size() == 1);
    CHECK(verdicts.front().id == keyed.id);
    CHECK(verdicts.front().verdict.upstream == UpstreamId{"n1"});
}

// Guards against requests that wait for the capacity of evacuated upstreams until their deadline.
SCENARIO("SlotBroker: given an evacuation, requests beyond the capacity elsewhere are refused at "
         "once",
         "[dispatch][evacuation]")
{
    EvacuationFixture fixture;
    fixture.setEvacuated({"north"}, start);
    auto refused = 0;
    for (auto number = 0; number < 40; ++number) {
        refused += fixture.ask(fixture.request(), start).verdict.kind == Kind::Refused ? 1 : 0;
    }
    // One slot serves ten requests of 80 ms within the 800 ms until the deadline.
    CHECK(refused >= 29);
}

// Guards against requests that wait until their deadline though no upstream may take them.
SCENARIO("SlotBroker: given that all failure domains are evacuated, requests are refused at once",
         "[dispatch][evacuation]")
{
    const auto isSharded = GENERATE(false, true);
    EvacuationFixture fixture(isSharded);
    const auto key = isSharded ? std::optional<KeyPosition>{7} : std::nullopt;
    GIVEN("a request that arrives during the evacuation")
    {
        fixture.setEvacuated({"north", "south"}, start);
        const auto issued = fixture.ask(fixture.request(key), start);
        CHECK(issued.verdict.kind == Kind::Refused);
        CHECK(issued.verdict.reason == Reason::NoOwner);
        CHECK(issued.verdict.retryAfter > Duration{0});
    }
    GIVEN("requests that wait when it begins")
    {
        if (!isSharded) {
            for (auto number = 0; number < 3; ++number) {
                static_cast<void>(fixture.ask(fixture.request(), start));
            }
        }
        const auto waiting = fixture.request(key);
        REQUIRE(fixture.ask(waiting, start).verdict.kind == Kind::Queued);
        fixture.setEvacuated({"north", "south"}, start + milliseconds{10});
        fixture.broker.advance(start + milliseconds{10});
        const auto verdicts = fixture.broker.takeVerdicts();
        REQUIRE(verdicts.size() == 1);
        CHECK(verdicts.front().id == waiting.id);
        CHECK(verdicts.front().verdict.kind == Kind::Refused);
    }
    GIVEN("an evacuation of all but one domain")
    {
        fixture.setEvacuated({"north"}, start);
        CHECK(fixture.ask(fixture.request(key), start).verdict.kind != Kind::Refused);
    }
}
