#include "entry/tests/requestflowfixture.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// How a simulated request ended.
struct StoppedRequest
{
    Instant arrivedAt;
    Instant due;
    Duration target{0};
    bool isRepeatable = false;
    bool isDelivered = false;
    std::optional<FlowRefuse> refusal;
    auto operator==(const StoppedRequest &) const -> bool = default;
};

/// Callers, a grantor and upstreams in virtual time, before and during a stop of the daemon.
class StopSimulation
{
public:
    StopSimulation(Duration shutdownTimeout, unsigned seed)
        : stoppingAt(this->fixture.now + seconds{2})
        , stop{this->stoppingAt + shutdownTimeout - milliseconds{550},
               this->stoppingAt + milliseconds{2800}}
        , random(seed)
    {
    }

    auto run() -> void
    {
        auto isStopping = false;
        while (this->fixture.now < this->stop.lastAnswerAt) {
            if (!isStopping && this->fixture.now >= this->stoppingAt) {
                isStopping = true;
                this->fixture.flow.stopAt(this->stop);
            }
            if (this->chance(0.2)) {
                this->arrive();
            }
            this->fixture.now += milliseconds{5};
            this->fixture.flow.advance(this->fixture.now);
            this->answer();
        }
        this->fixture.flow.refuseWaiting(this->fixture.now);
        this->fixture.flow.endSent(this->fixture.now);
        this->answer();
    }

    RequestFlowFixture fixture;
    Instant stoppingAt;
    FlowStop stop;
    std::map<ExchangeId, StoppedRequest> requests;

private:
    auto chance(double share) -> bool
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
    }

    auto arrive() -> void
    {
        const std::vector<Duration> timeouts{milliseconds{500}, seconds{1}, seconds{3},
                                             seconds{10}};
        FlowRequest request;
        request.exchange = ExchangeId{this->requests.size() + 1};
        request.id = RequestId{"r-" + std::to_string(request.exchange.value)};
        request.service = service;
        request.route.name = "route";
        request.route.isIdempotent = this->chance(0.5);
        request.route.maximalAttempts = 1;
        request.route.timeout = timeouts.at(this->random() % timeouts.size());
        request.route.targetLatency = request.route.timeout / 5;
        request.callerTimeout = request.route.timeout;
        auto &placed = this->requests[request.exchange];
        placed.arrivedAt = this->fixture.now;
        placed.due = this->fixture.now + request.route.timeout;
        placed.target = request.route.targetLatency;
        placed.isRepeatable = request.route.isIdempotent;
        this->fixture.flow.begin(request, this->fixture.now);
        this->answer();
    }

    /// Acts as the grantor, the upstreams and the listener.
    auto answer() -> void
    {
        for (const auto &datagram : this->fixture.permits.takeDatagrams()) {
            if (const auto *request = std::get_if<PermitRequest>(&datagram.message)) {
                PermitVerdict verdict;
                verdict.kind = PermitVerdict::Kind::Granted;
                verdict.upstream = UpstreamId{"u"};
                verdict.address = Address{"10.1.0.1:80"};
                this->fixture.permits.onAnswer(grantor, PermitAnswer{request->id, verdict},
                                               this->fixture.now);
            }
        }
        for (const auto &result : this->fixture.permits.takeResults()) {
            this->fixture.flow.onPermit(result, this->fixture.now);
        }
        for (auto at = this->running.begin();
             at != this->running.end() && at->first <= this->fixture.now;) {
            this->fixture.flow.onAttemptEnd(
                FlowAttemptEnd{at->second, AttemptEnd::Answered, std::nullopt, std::nullopt},
                this->fixture.now);
            at = this->running.erase(at);
        }
        for (const auto &command : this->fixture.flow.takeCommands()) {
            if (const auto *send = std::get_if<FlowSend>(&command)) {
                this->startRun(send->exchange);
            } else if (const auto *deliver = std::get_if<FlowDeliver>(&command)) {
                this->requests.at(deliver->exchange).isDelivered = true;
            } else if (const auto *refuse = std::get_if<FlowRefuse>(&command)) {
                this->requests.at(refuse->exchange).refusal = *refuse;
            }
        }
    }

    /// Most answers come within the target latency, some take far longer, and a few never come.
    auto startRun(ExchangeId exchange) -> void
    {
        const auto target = this->requests.at(exchange).target;
        const auto lasts = this->chance(0.02)   ? Duration{seconds{60}}
                           : this->chance(0.03) ? target * 3
                                                : target / 2;
        this->running.emplace(this->fixture.now + lasts, exchange);
    }

    std::multimap<Instant, ExchangeId> running;
    std::mt19937 random;
};

} // namespace

SCENARIO("RequestFlow: given a stop under load, requests that come late are answered or refused "
         "unsent, and none is cut off",
         "[entry]")
{
    // Guards against a planned stop in which requests are taken and sent late in the grace, and cut
    // off at its end.
    const auto grace = GENERATE(seconds{6}, seconds{10});
    const auto seed = GENERATE(range(1U, 21U));
    StopSimulation simulation(grace, seed);
    simulation.run();
    auto cutEarly = 0;
    for (const auto &[exchange, request] : simulation.requests) {
        CAPTURE(seed, exchange.value);
        REQUIRE(request.isDelivered != request.refusal.has_value());
        const auto isDueBeforeStop = request.due + milliseconds{80} <= simulation.stop.lastAnswerAt;
        if (request.isDelivered || request.refusal->reason != Reason::ShuttingDown) {
            continue;
        }
        // Nobody is refused or cut off whose request ends by itself before the stop.
        CHECK_FALSE(isDueBeforeStop);
        const auto isCut = request.refusal->status != 503;
        if (!isCut) {
            CHECK(request.refusal->retryAfter.has_value());
            continue;
        }
        CHECK(request.arrivedAt < simulation.stop.certainFrom);
        ++cutEarly;
    }
    CHECK(simulation.fixture.flow.openCount() == 0);
    // Only attempts that never end: 2% of those that arrived before.
    CHECK(cutEarly <= static_cast<int>(simulation.requests.size() / 50));
}

SCENARIO("RequestFlow: given a stop, waiting requests are refused once they can't end before it",
         "[entry]")
{
    const auto isRepeatable = GENERATE(true, false);
    RequestFlowFixture fixture;
    // Its timeout is 800 ms.
    fixture.begin(isRepeatable);
    GIVEN("a stop before the request's own end")
    {
        fixture.flow.stopAt(FlowStop{fixture.now + milliseconds{700}, fixture.now + seconds{1}});
        THEN("a request that may last longer is refused at the next step, and its permit returned")
        {
            fixture.grant();
            CHECK(fixture.count<FlowSend>() == 0);
            CHECK(fixture.refusal().status == 503);
            CHECK(fixture.refusal().reason == Reason::ShuttingDown);
            CHECK(fixture.countSent<PermitReport>() == 1);
        }
        THEN("nextDue() is no later than that step")
        {
            REQUIRE(fixture.flow.nextDue().has_value());
            CHECK(*fixture.flow.nextDue() <= fixture.now);
            fixture.advance(milliseconds{5});
            CHECK(fixture.refusal().status == 503);
            CHECK(fixture.countSent<PermitCancel>() == 1);
        }
    }
    GIVEN("a stop after the request's own end")
    {
        fixture.flow.stopAt(FlowStop{fixture.now + milliseconds{880}, fixture.now});
        fixture.grant();
        THEN("it is sent")
        {
            CHECK(fixture.count<FlowSend>() == 1);
        }
    }
}
