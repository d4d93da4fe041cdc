#include "dispatch/slotbroker.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct LikelyOwnerFixture
{
    Instant now{seconds{100}};
    SlotBroker broker{ServiceName{"service"}, true, SlotBrokerSettings{}, RetryWindowSettings{}, 1};
    std::uint64_t sequence = 0;

    LikelyOwnerFixture()
    {
        UpstreamEntry entry;
        entry.id = UpstreamId{"a"};
        entry.service = ServiceName{"service"};
        entry.slots = 2;
        this->broker.setUpstreams({entry}, this->now);
        this->setOwner(true, this->now + seconds{8});
    }

    auto setOwner(bool isLikely, Instant readyAt) -> void
    {
        this->broker.setOwners({OwnedRange{KeyRange{0, 65535}, UpstreamId{"a"}, readyAt, isLikely}},
                               this->now);
    }

    auto ask(KeyPosition key) -> PermitVerdict
    {
        PermitRequest request;
        request.id = PermitId{Address{"entry"}, 1, ++this->sequence};
        request.service = ServiceName{"service"};
        request.key = key;
        request.remaining = milliseconds{800};
        request.untilTarget = milliseconds{300};
        this->broker.ask(request, this->now);
        const auto verdicts = this->broker.takeVerdicts();
        REQUIRE(verdicts.size() == 1);
        return verdicts[0].verdict;
    }

    /// Reports how the last request ended.
    auto report(AttemptEnd end) -> void
    {
        PermitReport report;
        report.id = PermitId{Address{"entry"}, 1, this->sequence};
        report.service = ServiceName{"service"};
        report.upstream = UpstreamId{"a"};
        report.end = end;
        report.latency = milliseconds{5};
        this->broker.report(report, this->now);
    }
};

} // namespace

SCENARIO("SlotBroker sends no further requests for a key to a likely owner that turned it away",
         "[dispatch][owners]")
{
    GIVEN("a likely owner that has turned a request away")
    {
        LikelyOwnerFixture fixture;
        REQUIRE(fixture.ask(7).kind == PermitVerdict::Kind::Granted);
        fixture.report(AttemptEnd::WrongOwner);
        THEN("requests for the key are refused at once, as its owner is known only later")
        {
            const auto verdict = fixture.ask(7);
            CHECK(verdict.kind == PermitVerdict::Kind::Refused);
            CHECK(verdict.reason == Reason::NoOwner);
        }
        THEN("requests for other keys are granted")
        {
            CHECK(fixture.ask(8).kind == PermitVerdict::Kind::Granted);
        }
        WHEN("the owner is expected soon")
        {
            fixture.setOwner(true, Instant{});
            THEN("requests for the key wait, and are granted once it is known")
            {
                CHECK(fixture.ask(7).kind == PermitVerdict::Kind::Queued);
                fixture.setOwner(false, Instant{});
                const auto verdicts = fixture.broker.takeVerdicts();
                REQUIRE(verdicts.size() == 1);
                CHECK(verdicts[0].verdict.kind == PermitVerdict::Kind::Granted);
            }
        }
        WHEN("it is the owner for certain")
        {
            fixture.setOwner(false, Instant{});
            THEN("requests for the key are granted, also after it is only likely once more")
            {
                CHECK(fixture.ask(7).kind == PermitVerdict::Kind::Granted);
                fixture.setOwner(true, Instant{});
                CHECK(fixture.ask(7).kind == PermitVerdict::Kind::Granted);
            }
        }
    }
    GIVEN("an owner that is known for certain and turns a request away")
    {
        LikelyOwnerFixture fixture;
        fixture.setOwner(false, Instant{});
        REQUIRE(fixture.ask(7).kind == PermitVerdict::Kind::Granted);
        fixture.report(AttemptEnd::WrongOwner);
        THEN("requests for the key are granted, as its grant may just be on its way")
        {
            CHECK(fixture.ask(7).kind == PermitVerdict::Kind::Granted);
        }
    }
}
