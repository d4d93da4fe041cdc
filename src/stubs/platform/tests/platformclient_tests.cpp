#include "platformclient/platformclient.h"

#include "stubs/platform/platformserver.h"
#include "testing/testloop.h"

#include <catch2/catch.hpp>
#include <map>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

/// A client and the stand-in that it calls, on one event loop.
class ClientFixture
{
public:
    ClientFixture()
        : server(loop.base())
        , client(loop.base(), {toAddress(*server.listen({"127.0.0.1", 0})), 4, 4'000'000},
                 [this](CallId call, StoreAnswer answer) {
                     this->answers.emplace(call.value, std::move(answer));
                 })
    {
    }

    auto start(StoreRequest request, Duration timeout = 2s) -> std::uint64_t
    {
        this->lastCall += 1;
        this->client.send({{this->lastCall}, std::move(request), timeout});
        return this->lastCall;
    }

    auto wait(std::uint64_t call) -> StoreAnswer
    {
        REQUIRE(this->loop.runUntil([this, call] { return this->answers.contains(call); }));
        return this->answers.at(call);
    }

    auto call(StoreRequest request, Duration timeout = 2s) -> StoreAnswer
    {
        return this->wait(this->start(std::move(request), timeout));
    }

    TestLoop loop;
    PlatformServer server;
    PlatformClient client;
    std::map<std::uint64_t, StoreAnswer> answers;

private:
    std::uint64_t lastCall = 0;
};

} // namespace

SCENARIO("PlatformClient: returns the stand-in's answers and the kinds of failure",
         "[platformclient]")
{
    ClientFixture fixture;
    GIVEN("a value of one megabyte with bytes that aren't text")
    {
        std::string value(PlatformStore::defaultValueLimitBytes, '\0');
        value.front() = '\xff';
        CHECK(fixture.call(StoreCompareAndSwap{"k", value, {}}).status == StoreStatus::Ok);
        const auto read = fixture.call(StoreGet{"k"});
        CHECK(read.status == StoreStatus::Ok);
        REQUIRE(read.items.size() == 1);
        CHECK(read.items.front() == StoreItem{"k", value, {1}});
        THEN("a larger one is refused without effect")
        {
            value += 'x';
            CHECK(fixture.call(StoreCompareAndSwap{"k", value, {1}}).status
                  == StoreStatus::Unavailable);
            CHECK(fixture.server.store.peek("k")->version == StoreVersion{1});
        }
    }
    GIVEN("a store that is down")
    {
        StoreFaults faults;
        faults.down = true;
        fixture.server.store.setFaults(monotonicNow(), faults);
        CHECK(fixture.call(StoreGet{"k"}).status == StoreStatus::Unavailable);
    }
    GIVEN("a store that loses the answer to a write that took effect")
    {
        StoreFaults faults;
        faults.lostWriteAnswers = 1;
        fixture.server.store.setFaults(monotonicNow(), faults);
        CHECK(fixture.call(StoreCompareAndSwap{"k", "v", {}}).status == StoreStatus::Ambiguous);
        CHECK(fixture.call(StoreGet{"k"}).items.front().value == "v");
    }
    GIVEN("a store that answers after the timeout")
    {
        StoreFaults faults;
        faults.answerDelay = 300ms;
        fixture.server.store.setFaults(monotonicNow(), faults);
        CHECK(fixture.call(StoreCompareAndSwap{"k", "v", {}}, 50ms).status
              == StoreStatus::Ambiguous);
        CHECK(fixture.server.store.peek("k")->value == "v");
    }
    GIVEN("watches on all connections")
    {
        std::vector<std::uint64_t> watches;
        for (int count = 0; count < 4; ++count) {
            watches.push_back(fixture.start(StoreWatch{"k", 0, 5s}));
        }
        REQUIRE(fixture.loop.runUntil(
            [&fixture] { return fixture.server.store.counts().watches == 4; }));
        THEN("other calls aren't delayed, and each watch reports the write")
        {
            CHECK(fixture.call(StoreCompareAndSwap{"k", "v", {}}).status == StoreStatus::Ok);
            for (const auto watch : watches) {
                const auto change = fixture.wait(watch);
                CHECK(change.items == std::vector{StoreItem{"k", "v", {1}}});
                CHECK(change.revision == 1);
            }
        }
    }
}

SCENARIO("PlatformClient: given an address on which nothing listens, reports that the store is "
         "unavailable",
         "[platformclient]")
{
    const TestLoop loop;
    std::optional<StoreAnswer> answer;
    PlatformClient client(loop.base(), {{"127.0.0.1:1"}, 1, 1000},
                          [&answer](CallId, StoreAnswer got) { answer = std::move(got); });
    client.send({{1}, StoreGet{"k"}, 1s});
    REQUIRE(loop.runUntil([&answer] { return answer.has_value(); }));
    CHECK(answer->status == StoreStatus::Unavailable);
}
