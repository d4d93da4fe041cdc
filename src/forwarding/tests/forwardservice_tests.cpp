#include "forwarding/forwardservice.h"

#include "forwarding/forwardcodec.h"
#include "forwarding/tests/forwardsamples.h"
#include "http/clocktimer.h"
#include "streams/tests/scriptedpeer.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>

#include <map>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;
using End = OutboundResult::End;

namespace {

/// A service with an upstream, whose clock a test can set forward. The tests' upstreams state with
/// headers that they leave or pause.
struct ServiceFixture
{
    explicit ServiceFixture(std::vector<ScriptedPeer::Step> steps, std::size_t limit = 24)
        : upstream(this->loop.base(), std::move(steps))
        , pool(this->loop.base(), OutboundPoolSettings{}, monotonicNow)
        , service(
              ForwardSettings{limit}, this->pool, this->statements, readStatement,
              [this] { return this->now(); },
              [this](ExchangeId exchange, const MessageHead &head, std::string_view body) {
                  this->replies[exchange.value] = WholeMessage{head, std::string(body)};
              },
              [this] { ++this->workCalls; })
        , tick(this->loop.base(), [this] { this->onTick(); })
    {
        this->onTick();
    }

    /// Waits for events in steps, as a daemon does.
    auto onTick() -> void
    {
        constexpr Duration step = milliseconds{50};
        this->service.onWait(this->now(), this->now() + step);
        this->tick.set(monotonicNow() + step);
    }

    static auto readStatement(const MessageHead &answer, bool) -> AnswerStatement
    {
        AnswerStatement statement;
        statement.isAnswered = true;
        statement.isLeaving = answer.find("Leaving") != nullptr;
        if (const auto *pause = answer.find("Pause-Ms")) {
            statement.pause = milliseconds{std::stoi(*pause)};
        }
        return statement;
    }

    [[nodiscard]] auto now() const -> Instant { return monotonicNow() + this->added; }

    auto start(std::uint64_t exchange, ForwardRequest request) -> void
    {
        this->service.onRequest(ExchangeId{exchange},
                                wholeMessage(MessageReader::Kind::Request,
                                             forwardRequestText(request, Address{"10.0.0.2:90"},
                                                                std::to_string(exchange))));
    }

    auto start(std::uint64_t exchange) -> void
    {
        this->start(exchange, sampleRequest(this->upstream.address));
    }

    /// Starts a request once the service no longer takes a change of the clock for a suspension.
    auto startLater(std::uint64_t exchange, const ForwardRequest &request) -> void
    {
        const auto isExpired = [&] {
            const auto answer = this->answerTo(exchange);
            return answer && answer->refusal == ForwardRefusal::Expired;
        };
        this->start(exchange, request);
        for (auto trial = 0; trial < 100 && isExpired(); ++trial) {
            this->replies.erase(exchange);
            this->loop.runFor(milliseconds{20});
            this->start(exchange, request);
        }
        REQUIRE_FALSE(isExpired());
    }

    /// @returns what the service has answered so far; nothing if it hasn't
    auto answerTo(std::uint64_t exchange) -> std::optional<ForwardAnswer>
    {
        const auto found = this->replies.find(exchange);
        return found == this->replies.end()
                   ? std::nullopt
                   : decodeForwardAnswer(found->second, std::to_string(exchange), false);
    }

    auto awaitAnswer(std::uint64_t exchange) -> ForwardAnswer
    {
        REQUIRE(this->loop.runUntil([&] { return this->replies.contains(exchange); }));
        const auto answer = this->answerTo(exchange);
        REQUIRE(answer);
        return *answer;
    }

    TestLoop loop;
    ScriptedPeer upstream;
    OutboundPool pool;
    UpstreamStatements statements{UpstreamStatementSettings{}};
    Duration added{0};
    std::map<std::uint64_t, WholeMessage> replies;
    int workCalls = 0;
    ForwardService service;
    ClockTimer tick;
};

const std::string okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

SCENARIO("ForwardService answers malformed requests with 400 and sends nothing", "[forwarding]")
{
    ServiceFixture fixture({{okAnswer}});
    auto message = wholeMessage(
        MessageReader::Kind::Request,
        forwardRequestText(sampleRequest(fixture.upstream.address), Address{"h:1"}, "1"));
    message.body.clear();
    fixture.service.onRequest(ExchangeId{1}, message);
    fixture.service.onRequest(ExchangeId{2}, WholeMessage{});
    REQUIRE(fixture.replies.size() == 2);
    CHECK(fixture.replies[1].head.status == 400);
    CHECK(fixture.replies[2].head.status == 400);
    // Guards against a refusal that the entry daemon can't tell from another request's answer.
    CHECK(fixture.answerTo(1) == ForwardAnswer{End::NotSent, ForwardRefusal::Unread});
    CHECK(fixture.replies[2].head.headers.empty());
    fixture.loop.runFor(milliseconds{20});
    CHECK(fixture.upstream.connections == 0);
    CHECK(fixture.service.counters().malformed == 2);
    CHECK(fixture.service.openCount() == 0);
}

SCENARIO("ForwardService forwards a limited number of requests at once", "[forwarding]")
{
    ServiceFixture fixture({}, 2);
    fixture.start(1);
    fixture.start(2);
    fixture.start(3);
    CHECK(fixture.service.openCount() == 2);
    CHECK(fixture.answerTo(3) == ForwardAnswer{End::NotSent, ForwardRefusal::Full});
    THEN("a request may follow the end of another one")
    {
        fixture.service.onDisconnect(ExchangeId{1});
        fixture.start(4);
        CHECK_FALSE(fixture.answerTo(4));
        CHECK(fixture.service.counters().sent == 3);
    }
}

SCENARIO("ForwardService lets requests in progress end after it refuses new ones", "[forwarding]")
{
    ServiceFixture fixture({{okAnswer}});
    fixture.start(1);
    fixture.service.refuseNew();
    fixture.start(2);
    CHECK(fixture.answerTo(2) == ForwardAnswer{End::NotSent, ForwardRefusal::Stopping});
    CHECK(fixture.service.openCount() == 1);
    CHECK(fixture.awaitAnswer(1).answer.body == "ok");
    CHECK(fixture.service.openCount() == 0);
    CHECK(fixture.workCalls == 1);
}

SCENARIO("ForwardService is bound by what upstreams state", "[forwarding]")
{
    // Guards against requests to an upstream that has told the forwarder that it leaves, or wants
    // no requests.
    GIVEN("an upstream that has stated, in an answer to a forwarded request, that it leaves")
    {
        ServiceFixture fixture(
            {{"HTTP/1.1 200 OK\r\nLeaving: 1\r\nContent-Length: 0\r\n\r\n"}, {okAnswer}});
        fixture.start(1);
        CHECK(fixture.awaitAnswer(1).end == End::Answered);
        fixture.start(2);
        const auto answer = fixture.answerTo(2);
        REQUIRE(answer);
        CHECK(answer->refusal == ForwardRefusal::Held);
        REQUIRE(answer->hold);
        CHECK(answer->hold->isLeaving);
        CHECK(answer->hold->allowsLastResort);
        THEN("a request that no other one can serve is sent")
        {
            auto request = sampleRequest(fixture.upstream.address);
            request.isLastResort = true;
            fixture.start(3, request);
            CHECK(fixture.awaitAnswer(3).end == End::Answered);
        }
        THEN("a later incarnation isn't bound")
        {
            auto request = sampleRequest(fixture.upstream.address);
            request.incarnation = request.incarnation.next();
            fixture.start(3, request);
            CHECK(fixture.awaitAnswer(3).end == End::Answered);
        }
        THEN("nothing is sent once the drain time is over")
        {
            fixture.added = seconds{2};
            auto request = sampleRequest(fixture.upstream.address);
            request.isLastResort = true;
            fixture.startLater(3, request);
            REQUIRE(fixture.answerTo(3));
            CHECK(fixture.answerTo(3)->refusal == ForwardRefusal::Held);
        }
    }
    GIVEN("an upstream that wants no requests for a time")
    {
        ServiceFixture fixture({{"HTTP/1.1 503 Service Unavailable\r\nPause-Ms: 500\r\n"
                                 "Content-Length: 0\r\n\r\n"},
                                {okAnswer},
                                {okAnswer}});
        fixture.start(1);
        CHECK(fixture.awaitAnswer(1).answer.head.status == 503);
        fixture.start(2);
        const auto answer = fixture.answerTo(2);
        REQUIRE(answer);
        CHECK(answer->refusal == ForwardRefusal::Held);
        REQUIRE(answer->hold);
        REQUIRE(answer->hold->pause);
        CHECK(*answer->hold->pause > milliseconds{200});
        CHECK(*answer->hold->pause <= milliseconds{500});
        THEN("one request is sent after the pause, and more once that is answered")
        {
            fixture.added = milliseconds{500};
            fixture.startLater(3, sampleRequest(fixture.upstream.address));
            CHECK_FALSE(fixture.answerTo(3));
            fixture.start(4);
            REQUIRE(fixture.answerTo(4));
            CHECK(fixture.answerTo(4)->refusal == ForwardRefusal::Held);
            CHECK(fixture.awaitAnswer(3).end == End::Answered);
            fixture.start(5);
            CHECK(fixture.awaitAnswer(5).end == End::Answered);
        }
    }
    GIVEN("a statement that this daemon has from a request of its own")
    {
        ServiceFixture fixture({{okAnswer}});
        AttemptStatement stated;
        stated.upstream = UpstreamId{"u1"};
        stated.incarnation = Incarnation{7};
        stated.isAnswered = true;
        stated.isLeaving = true;
        fixture.statements.onAttemptEnd(stated, fixture.now());
        fixture.start(1);
        CHECK(fixture.answerTo(1)->refusal == ForwardRefusal::Held);
        CHECK(fixture.service.openCount() == 0);
    }
}

SCENARIO("ForwardService tells requests that weren't sent from those of unknown outcome",
         "[forwarding]")
{
    GIVEN("an upstream that can't be reached")
    {
        ServiceFixture fixture({});
        fixture.start(1, sampleRequest(freeAddress()));
        CHECK(fixture.awaitAnswer(1) == ForwardAnswer{End::NotSent, ForwardRefusal::Unreachable});
    }
    GIVEN("an address that a socket can't use")
    {
        ServiceFixture fixture({});
        fixture.start(1, sampleRequest(Address{"[::1]:80"}));
        CHECK(fixture.awaitAnswer(1) == ForwardAnswer{End::NotSent, ForwardRefusal::Unreachable});
    }
    GIVEN("an upstream that is lost after it has read the request")
    {
        ServiceFixture fixture({{okAnswer}});
        fixture.start(1);
        fixture.loop.runUntil([&] { return fixture.upstream.connections == 1; });
        fixture.upstream.reset();
        CHECK(fixture.awaitAnswer(1) == ForwardAnswer{});
        THEN("the request isn't sent again")
        {
            fixture.loop.runFor(milliseconds{50});
            CHECK(fixture.upstream.connections == 1);
            CHECK(fixture.service.counters().sent == 1);
        }
    }
    GIVEN("answers that break off")
    {
        for (const std::string text :
             {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n12345678", "HTTP/1.1 200 OK\r\nConte",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", "HTTP/1.1 2",
              "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n12"}) {
            CAPTURE(text);
            ServiceFixture fixture({{text, true}});
            fixture.start(1);
            CHECK(fixture.awaitAnswer(1) == ForwardAnswer{});
        }
    }
}

SCENARIO("ForwardService ends attempts whose time is over", "[forwarding]")
{
    ServiceFixture fixture({});
    auto request = sampleRequest(fixture.upstream.address);
    request.remaining = milliseconds{100};
    const auto start = monotonicNow();
    fixture.start(1, request);
    CHECK(fixture.awaitAnswer(1) == ForwardAnswer{});
    CHECK(monotonicNow() - start >= milliseconds{100} - timerStep);
    CHECK(monotonicNow() - start < milliseconds{1500});
    THEN("the upstream sees its connection end")
    {
        CHECK(fixture.loop.runUntil([&] { return fixture.upstream.ended == 1; }));
    }
}

SCENARIO("ForwardService sends nothing of which the time was over while it was suspended",
         "[forwarding]")
{
    // Guards against a request that runs after its entry daemon and caller have given it up.
    ServiceFixture fixture({{okAnswer}});
    fixture.loop.runFor(milliseconds{120});
    fixture.added = seconds{1};
    auto request = sampleRequest(fixture.upstream.address);
    GIVEN("a request that may be older than its time")
    {
        request.remaining = milliseconds{900};
        fixture.start(1, request);
        CHECK(fixture.answerTo(1) == ForwardAnswer{End::NotSent, ForwardRefusal::Expired});
        CHECK(fixture.service.counters().sent == 0);
    }
    GIVEN("a request with time left, after a pause that connections don't survive")
    {
        request.remaining = seconds{60};
        fixture.start(1, request);
        CHECK(fixture.answerTo(1) == ForwardAnswer{End::NotSent, ForwardRefusal::Expired});
    }
    GIVEN("a request whose time was over in a short pause")
    {
        fixture.added = milliseconds{600};
        request.remaining = milliseconds{500};
        fixture.start(1, request);
        CHECK(fixture.answerTo(1) == ForwardAnswer{End::NotSent, ForwardRefusal::Expired});
    }
    GIVEN("a request with time left, after a short pause")
    {
        fixture.added = milliseconds{600};
        request.remaining = milliseconds{1600};
        fixture.start(1, request);
        CHECK(fixture.awaitAnswer(1).end == End::Answered);
    }
    GIVEN("a daemon that has run again for some time")
    {
        request.remaining = milliseconds{900};
        fixture.startLater(1, request);
        CHECK(fixture.awaitAnswer(1).end == End::Answered);
    }
}

SCENARIO("ForwardService ends the attempt of an entry daemon that has left", "[forwarding]")
{
    ServiceFixture fixture({});
    auto request = sampleRequest(fixture.upstream.address);
    request.remaining = seconds{60};
    fixture.start(1, request);
    fixture.loop.runUntil([&] { return !fixture.upstream.received.empty(); });
    fixture.service.onDisconnect(ExchangeId{1});
    CHECK(fixture.service.openCount() == 0);
    CHECK(fixture.loop.runUntil([&] { return fixture.upstream.ended == 1; }, seconds{5}));
    CHECK(fixture.replies.empty());
    CHECK(fixture.service.counters().abandoned == 1);
    fixture.service.onDisconnect(ExchangeId{1});
    fixture.service.onDisconnect(ExchangeId{2});
    CHECK(fixture.service.counters().abandoned == 1);
}
