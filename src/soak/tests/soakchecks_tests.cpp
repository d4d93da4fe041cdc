#include "http1/messagewriter.h"
#include "soak/upstreamlives.h"
#include "soak/vmcuts.h"
#include "streams/outboundpool.h"
#include "testing/freeaddress.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Two upstreams, and requests that reach them as those of some daemon.
struct LivesFixture
{
    LivesFixture()
    {
        for (const auto *id : {"u0", "u1"}) {
            KeyedUpstreamStub::Settings settings;
            settings.id = id;
            settings.service = "plain";
            settings.listen = freeAddress();
            settings.serviceTime = milliseconds{1};
            this->addresses.push_back(settings.listen);
            this->upstreams.push_back(std::make_unique<KeyedUpstreamStub>(
                this->loop.base(), settings, monotonicNow, this->runs));
            this->upstreams.back()->start();
        }
        this->lives = std::make_unique<UpstreamLives>(
            this->upstreams, this->store, [this](const std::string &) { return this->origin; }, 1);
    }

    /// Begins leaves or pauses until one of the kind has begun.
    /// @returns the upstream's index
    auto begin(const std::string &kind) -> std::size_t
    {
        for (;;) {
            const auto text = this->lives->begin(true, monotonicNow());
            if (text.starts_with(kind)) {
                return text.ends_with("u0") ? 0 : 1;
            }
            this->lives->clear(monotonicNow() + seconds{20});
        }
    }

    auto ask(std::size_t upstream) -> MessageHead
    {
        MessageHead head;
        head.method = "GET";
        head.target = "/";
        head.headers = {{"Host", "h"}, {"Request-Id", "r"}};
        OutboundRequest request;
        request.address = this->addresses[upstream];
        request.text = requestText(head, "", {});
        request.timeout = seconds{2};
        std::optional<MessageHead> answer;
        this->pool.send(std::move(request),
                        [&](const OutboundResult &result) { answer = result.answer.head; });
        this->loop.runUntil([&] { return answer.has_value(); });
        return answer.value_or(MessageHead{});
    }

    TestLoop loop;
    KvStoreStub store{this->loop.base(), freeAddress(), monotonicNow};
    std::vector<KeyedRun> runs;
    std::vector<Address> addresses;
    std::vector<std::unique_ptr<KeyedUpstreamStub>> upstreams;
    std::optional<UpstreamLives::Origin> origin;
    std::unique_ptr<UpstreamLives> lives;
    OutboundPool pool{this->loop.base(), OutboundPoolSettings{}, monotonicNow};
};

} // namespace

SCENARIO("UpstreamLives: reports requests that reach an upstream after its leave is known",
         "[soak]")
{
    // Guards against a soak that passes as its checks see nothing.
    LivesFixture fixture;
    GIVEN("a leave that the store has acknowledged")
    {
        const auto upstream = fixture.begin("leave 0");
        const auto begun = monotonicNow();
        fixture.origin = UpstreamLives::Origin{0, begun + milliseconds{1900}};
        fixture.ask(upstream);
        CHECK(fixture.lives->violations().empty());
        fixture.origin = UpstreamLives::Origin{0, begun + milliseconds{2100}};
        fixture.ask(upstream);
        CHECK(fixture.lives->violations().size() == 1);
        THEN("a daemon that was disturbed is excused")
        {
            fixture.lives->onDaemonFault(1, begun);
            fixture.origin = UpstreamLives::Origin{1, begun + milliseconds{2100}};
            fixture.ask(upstream);
            CHECK(fixture.lives->violations().size() == 1);
        }
        THEN("the process that follows takes requests")
        {
            fixture.lives->clear(begun + seconds{20});
            fixture.ask(upstream);
            CHECK(fixture.lives->violations().size() == 1);
        }
    }
    GIVEN("a leave that only answers state")
    {
        const auto upstream = fixture.begin("leave 1");
        fixture.origin = UpstreamLives::Origin{0, monotonicNow()};
        const auto answer = fixture.ask(upstream);
        REQUIRE(answer.find("Server-Leaving") != nullptr);
        const auto passedOn = monotonicNow();
        fixture.origin = UpstreamLives::Origin{0, passedOn + milliseconds{2100}};
        fixture.ask(upstream);
        CHECK(fixture.lives->violations().empty());
        fixture.lives->onAnswer(0, answer, passedOn);
        fixture.ask(upstream);
        CHECK(fixture.lives->violations().size() == 1);
        THEN("another daemon isn't bound by it")
        {
            fixture.origin = UpstreamLives::Origin{1, passedOn + milliseconds{2100}};
            fixture.ask(upstream);
            CHECK(fixture.lives->violations().size() == 1);
        }
    }
}

SCENARIO("UpstreamLives: reports the third request that reaches a pausing upstream", "[soak]")
{
    LivesFixture fixture;
    const auto upstream = fixture.begin("pause");
    fixture.origin = UpstreamLives::Origin{0, monotonicNow()};
    const auto rejected = fixture.ask(upstream);
    CHECK(rejected.status == 503);
    REQUIRE(rejected.find("Retry-After") != nullptr);
    fixture.loop.runFor(milliseconds{550});
    fixture.ask(upstream);
    fixture.ask(upstream);
    CHECK(fixture.lives->violations().empty());
    fixture.ask(upstream);
    CHECK(fixture.lives->violations().size() == 1);
}

SCENARIO("VmCuts: reports first tries that are served far less often at daemons that are cut off",
         "[soak]")
{
    std::vector<std::unique_ptr<FaultProxy>> proxies;
    VmCuts cuts(proxies, 2, 1);
    Instant now{seconds{100}};
    while (cuts.advance(now).empty()) {
        now += milliseconds{100};
    }
    const auto cutDaemon = [&] {
        return cuts.classify(0, now + seconds{4}).isAtCutDaemon ? std::size_t{0} : std::size_t{1};
    }();
    CHECK(cuts.classify(cutDaemon, now + seconds{2}).series == 0);
    const auto atCut = cuts.classify(cutDaemon, now + seconds{3});
    const auto atOther = cuts.classify(1 - cutDaemon, now + seconds{3});
    REQUIRE(atCut.isAtCutDaemon);
    REQUIRE_FALSE(atOther.isAtCutDaemon);
    REQUIRE(atOther.series == atCut.series);
    for (auto number = 0; number < 100; ++number) {
        cuts.onEnd(atOther, number % 10 != 0);
        cuts.onEnd(atCut, number < 60);
    }
    // 60 of 100 is two thirds of 90 of 100.
    CHECK(cuts.violations().empty());
    cuts.onEnd(atCut, false);
    CHECK(cuts.violations().size() == 1);
    THEN("no daemon is compared until the contact time after its cut")
    {
        cuts.clear(now + seconds{4});
        CHECK(cuts.classify(cutDaemon, now + seconds{5}).series == 0);
        CHECK(cuts.classify(1 - cutDaemon, now + seconds{5}).series == 0);
    }
}
