#include "entry/permitclient.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;

namespace {

const Address self{"10.0.0.1:7000"};
const Address grantor{"10.0.0.2:7000"};
const ServiceName service{"service"};
const ExchangeId exchange{1};

/// A client with one grantor, and the messages that it has sent.
struct Fixture
{
    PermitClient client{self, 1, PermitClientSettings{}};
    Instant now{std::chrono::seconds{10}};

    Fixture() { this->client.setGrantor(service, grantor, 1); }

    auto ask() -> PermitId
    {
        PermitRequest request;
        request.service = service;
        request.remaining = std::chrono::seconds{4};
        return this->client.ask(exchange, request, this->now);
    }

    auto answer(const PermitId &id, PermitVerdict::Kind kind) -> void
    {
        PermitVerdict verdict;
        verdict.kind = kind;
        verdict.upstream = UpstreamId{"u"};
        this->client.onAnswer(grantor, PermitAnswer{id, verdict}, this->now);
    }

    auto advance(Duration duration) -> void
    {
        for (auto passed = Duration{0}; passed < duration; passed += milliseconds{5}) {
            this->now += milliseconds{5};
            this->client.advance(this->now);
        }
    }

    template<typename Message>
    [[nodiscard]] auto takeSent() -> std::vector<Message>
    {
        std::vector<Message> result;
        for (const auto &datagram : this->client.takeDatagrams()) {
            if (const auto *message = std::get_if<Message>(&datagram.message)) {
                CHECK(datagram.peer == grantor);
                result.push_back(*message);
            }
        }
        return result;
    }
};

} // namespace

SCENARIO("PermitClient: given a permit that nobody waits for any more, it names the service in the "
         "report that returns it",
         "[entry]")
{
    Fixture fixture;
    const auto id = fixture.ask();
    WHEN("the grantor was silent until the request was given up")
    {
        fixture.advance(milliseconds{200});
        REQUIRE(fixture.client.takeResults().size() == 1);
        THEN("the grantor is told to drop the request")
        {
            const auto cancels = fixture.takeSent<PermitCancel>();
            REQUIRE(cancels.size() == 1);
            CHECK(cancels.front() == PermitCancel{id, service});
        }
    }
    WHEN("the request was cancelled")
    {
        fixture.client.cancel(exchange);
    }
    WHEN("the permit was granted and returned, and is granted again for a repeated request")
    {
        fixture.answer(id, PermitVerdict::Kind::Granted);
        PermitReport report;
        report.id = id;
        report.end = AttemptEnd::Answered;
        fixture.client.report(report);
        const auto reports = fixture.takeSent<PermitReport>();
        REQUIRE(reports.size() == 1);
        CHECK(reports.front().service == service);
    }
    WHEN("the request was refused, and is granted as its repetition arrives")
    {
        fixture.answer(id, PermitVerdict::Kind::Refused);
    }
    static_cast<void>(fixture.client.takeDatagrams());
    fixture.answer(id, PermitVerdict::Kind::Granted);
    const auto reports = fixture.takeSent<PermitReport>();
    REQUIRE(reports.size() <= 1);
    if (!reports.empty()) {
        CHECK(reports.front().id == id);
        CHECK(reports.front().service == service);
    }
}

SCENARIO("PermitClient: given large answers that fill the link, a report that was lost is repeated "
         "when the grantor repeats its verdict",
         "[entry][load]")
{
    Fixture fixture;
    const auto id = fixture.ask();
    fixture.answer(id, PermitVerdict::Kind::Granted);
    static_cast<void>(fixture.client.takeDatagrams());
    WHEN("the permit is in use")
    {
        fixture.answer(id, PermitVerdict::Kind::Granted);
        THEN("it isn't returned")
        {
            CHECK(fixture.takeSent<PermitReport>().empty());
        }
    }
    WHEN("the attempt has ended")
    {
        PermitReport report;
        report.id = id;
        report.service = service;
        report.upstream = UpstreamId{"u"};
        report.end = AttemptEnd::Answered;
        report.latency = milliseconds{300};
        fixture.client.report(report);
        REQUIRE(fixture.takeSent<PermitReport>().size() == 1);
        fixture.answer(id, PermitVerdict::Kind::Granted);
        THEN("the same report is sent again")
        {
            CHECK(fixture.takeSent<PermitReport>() == std::vector{report});
        }
    }
}

SCENARIO("PermitClient: given a permit that its request doesn't use, the report names the service",
         "[entry]")
{
    Fixture fixture;
    const auto id = fixture.ask();
    fixture.answer(id, PermitVerdict::Kind::Granted);
    static_cast<void>(fixture.client.takeDatagrams());
    PermitReport unused;
    unused.id = id;
    unused.upstream = UpstreamId{"u"};
    fixture.client.report(unused);
    const auto reports = fixture.takeSent<PermitReport>();
    REQUIRE(reports.size() == 1);
    CHECK(reports.front().service == service);
}

SCENARIO("PermitClient: given a crest in which hundreds of requests wait for seconds, they are "
         "repeated less and less often",
         "[entry][load]")
{
    Fixture fixture;
    const auto id = fixture.ask();
    fixture.answer(id, PermitVerdict::Kind::Queued);
    static_cast<void>(fixture.client.takeDatagrams());
    auto repetitions = 0;
    auto lastAt = fixture.now;
    auto longestGap = Duration{0};
    for (auto step = 0; step < 300; ++step) {
        fixture.advance(milliseconds{10});
        for (const auto &request : fixture.takeSent<PermitRequest>()) {
            ++repetitions;
            longestGap = std::max(longestGap, Duration{fixture.now - lastAt});
            lastAt = fixture.now;
            fixture.answer(request.id, PermitVerdict::Kind::Queued);
        }
    }
    THEN("a wait of three seconds takes at most six repetitions, and a verdict that was lost comes "
         "again within a second")
    {
        CHECK(repetitions <= 6);
        CHECK(longestGap <= milliseconds{1000});
        CHECK(fixture.now - lastAt <= milliseconds{1000});
    }
}
