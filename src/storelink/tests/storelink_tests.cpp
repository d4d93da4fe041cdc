#include "storelink/prefixview.h"
#include "storelink/tests/fakestore.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct Trial
{
    FakeStore store;
    int changeCount = 0;
    PrefixView view{"p/", PrefixViewSettings{}, this->store.sender(),
                    [this] { return this->store.now(); },
                    [this](const PrefixView::Items &) { ++this->changeCount; }};

    auto run(Duration time) -> void
    {
        for (auto passed = Duration{0}; passed < time; passed += milliseconds{10}) {
            this->view.advance();
            this->store.advance(milliseconds{10});
        }
    }
};

} // namespace

SCENARIO("PrefixView keeps a copy of the keys with a prefix", "[storelink]")
{
    Trial trial;
    for (const auto *key : {"p/a", "p/b", "p/c", "p/d", "p/e", "q/x"}) {
        trial.store.put(key, "1");
    }
    trial.run(milliseconds{200});
    GIVEN("several pages of keys")
    {
        THEN("all keys with the prefix are read, and no others")
        {
            CHECK(trial.view.isLoaded());
            CHECK(trial.view.items().size() == 5);
            CHECK(trial.changeCount == 1);
        }
    }
    WHEN("keys change")
    {
        trial.store.put("p/a", "2");
        trial.store.remove("p/b");
        trial.store.put("q/y", "1");
        trial.run(milliseconds{300});
        THEN("the copy shows the changes")
        {
            CHECK(trial.view.items().at("p/a").value == "2");
            CHECK_FALSE(trial.view.items().contains("p/b"));
            CHECK(trial.view.items().size() == 4);
        }
    }
    WHEN("the store refuses calls, and drops its history after keys have changed")
    {
        trial.store.mode = FakeStore::Mode::Refusing;
        trial.run(milliseconds{500});
        trial.store.put("p/f", "1");
        trial.store.remove("p/a");
        trial.store.compact();
        trial.store.mode = FakeStore::Mode::Normal;
        trial.run(milliseconds{1500});
        THEN("all keys are read again")
        {
            CHECK(trial.view.items().contains("p/f"));
            CHECK_FALSE(trial.view.items().contains("p/a"));
            CHECK_FALSE(trial.view.isFailing());
        }
    }
    WHEN("it is paused while keys change")
    {
        trial.view.setPaused(true);
        // Answers the watch that is still open.
        trial.store.put("p/a", "2");
        trial.run(milliseconds{300});
        trial.store.put("p/a", "3");
        const auto callsBefore = trial.store.callCount();
        trial.run(seconds{60});
        THEN("the answer to the open watch is applied, and no call is started")
        {
            CHECK(trial.view.items().at("p/a").value == "2");
            CHECK(trial.store.callCount() == callsBefore);
            CHECK_FALSE(trial.view.nextDue());
        }
        THEN("once it resumes, it gets the changes made meanwhile")
        {
            trial.view.setPaused(false);
            trial.run(milliseconds{300});
            CHECK(trial.view.items().at("p/a").value == "3");
        }
    }
    WHEN("the store refuses everything for ten seconds")
    {
        trial.store.mode = FakeStore::Mode::Refusing;
        trial.run(seconds{10});
        THEN("the copy stays, and the view reports the failure")
        {
            CHECK(trial.view.items().size() == 5);
            CHECK(trial.view.isFailing());
        }
    }
}

// Guards against a copy that is out of date until a watch on a dead connection has timed out.
SCENARIO("PrefixView: given a watch on a dead connection, a read that is asked for replaces it",
         "[storelink][leaves]")
{
    Trial trial;
    trial.store.put("p/a", "1");
    trial.run(milliseconds{200});
    trial.store.loseOpenCalls(seconds{20});
    trial.store.put("p/a", "2");
    trial.run(seconds{1});
    REQUIRE(trial.view.items().at("p/a").value == "1");
    const auto askedAt = trial.store.now();
    trial.view.readSince(askedAt);
    trial.run(milliseconds{50});
    CHECK(trial.view.items().at("p/a").value == "2");
    CHECK(trial.view.readStartedAt() >= askedAt);
    WHEN("a read since the same moment is asked for again")
    {
        const auto callsBefore = trial.store.callCount();
        trial.view.readSince(askedAt);
        trial.run(milliseconds{50});
        THEN("no call is started")
        {
            CHECK(trial.store.callCount() == callsBefore);
        }
    }
}

// Guards against a copy that keeps what the store has lost, and misses what is written to it
// afterwards, because revisions have gone back.
SCENARIO("PrefixView: given a store that comes back from an older copy, the view follows it",
         "[storelink][restored]")
{
    Trial trial;
    trial.store.put("p/a", "1");
    trial.run(milliseconds{200});
    trial.store.keepCopy();
    for (const auto *key : {"p/a", "p/b", "q/x", "q/y", "p/c"}) {
        trial.store.put(key, "lost");
    }
    trial.run(milliseconds{200});
    REQUIRE(trial.view.items().size() == 3);
    GIVEN("a store that was away meanwhile")
    {
        trial.store.mode = FakeStore::Mode::Refusing;
        trial.run(milliseconds{500});
        trial.store.restoreCopy();
        trial.store.mode = FakeStore::Mode::Normal;
        THEN("what it has lost is dropped")
        {
            trial.run(milliseconds{2500});
            CHECK(trial.view.items().size() == 1);
            CHECK(trial.view.items().at("p/a").value == "1");
        }
        THEN("later changes are seen, though their revisions were given out before")
        {
            trial.run(milliseconds{2500});
            trial.store.put("p/a", "new");
            trial.run(milliseconds{200});
            CHECK(trial.view.items().at("p/a").value == "new");
        }
        THEN("few calls are needed")
        {
            const auto callsBefore = trial.store.callCount();
            trial.run(seconds{10});
            CHECK(trial.store.callCount() - callsBefore <= 3);
        }
    }
    GIVEN("a store that has given out the revisions again before the next call")
    {
        trial.view.setPaused(true);
        trial.run(milliseconds{100});
        trial.store.restoreCopy();
        for (auto count = 0; count < 8; ++count) {
            trial.store.put("p/d", std::to_string(count));
        }
        trial.view.setPaused(false);
        trial.run(milliseconds{1000});
        THEN("the copy is that of the store")
        {
            CHECK(trial.view.items().size() == 2);
            CHECK(trial.view.items().contains("p/d"));
        }
    }
}

SCENARIO("PrefixView takes a page without items for unreadable where more pages follow",
         "[storelink]")
{
    // Guards against upstreams that are taken for gone as they stand behind an odd page.
    Instant moment{seconds{10}};
    std::vector<std::function<void(StoreAnswer)>> open;
    PrefixView view{"p/", PrefixViewSettings{},
                    [&](const StoreCall &, Duration, std::function<void(StoreAnswer)> done) {
                        open.push_back(std::move(done));
                    },
                    [&] { return moment; }, [](const PrefixView::Items &) {}};
    view.advance();
    REQUIRE(open.size() == 1);
    StoreAnswer page;
    page.kind = StoreAnswer::Kind::Ok;
    page.revision = StoreRevision{9};
    page.hasMore = true;
    open[0](page);
    CHECK_FALSE(view.isLoaded());
    WHEN("the next read shows the keys")
    {
        moment += seconds{5};
        view.advance();
        REQUIRE(open.size() == 2);
        page.hasMore = false;
        page.items = {StoreItem{"p/a", "1", StoreRevision{4}, StoreRevision{4}, {}, false}};
        open[1](page);
        THEN("they are taken over")
        {
            CHECK(view.isLoaded());
            CHECK(view.items().size() == 1);
        }
    }
}

// Guards against a slow store that gets calls over and over, as each answer comes after the time
// for it.
SCENARIO("PrefixView: given a slow store, its answers are waited for", "[storelink][lostwatch]")
{
    constexpr Duration interval = milliseconds{800};
    constexpr Duration observedTime = seconds{20};
    for (const auto delay : {milliseconds{300}, milliseconds{500}, milliseconds{700}}) {
        Trial trial;
        trial.store.put("p/a", "1");
        trial.view.setConfirmInterval(interval);
        trial.run(seconds{2});
        trial.store.answerDelay = delay;
        trial.run(seconds{4});
        const auto lostBefore = trial.view.lostWatchCount();
        const auto callsBefore = trial.store.callCount();
        trial.store.put("p/a", "2");
        trial.run(observedTime);
        CHECK(trial.view.items().at("p/a").value == "2");
        CHECK(trial.view.lostWatchCount() == lostBefore);
        // One call an interval, and two for the change.
        CHECK(trial.store.callCount() - callsBefore <= observedTime / interval + 2);
    }
}

// Guards against calls to the store that grow with the number of daemons.
TEST_CASE("fleetInterval: given large fleets, their daemons together make as many calls",
          "[storelink][lostwatch]")
{
    const Duration interval = milliseconds{800};
    CHECK(fleetInterval(interval, 0) == interval);
    CHECK(fleetInterval(interval, 27) == interval);
    for (const std::uint64_t count : {144, 295, 3000}) {
        const auto perSecond =
            static_cast<double>(count)
            / std::chrono::duration<double>(fleetInterval(interval, count)).count();
        CHECK(perSecond < 100);
    }
}

// Guards against a large answer over a slow link that is taken for lost while it arrives, and asked
// for again.
SCENARIO("PrefixView: given an answer that is arriving, the watch isn't sent again",
         "[storelink][largeconfiguration]")
{
    FakeStore store;
    auto isArriving = false;
    auto watches = 0;
    PrefixView view(
        "p/", PrefixViewSettings{},
        [&](StoreCall call, Duration timeout, std::function<void(StoreAnswer)> done) {
            const auto isWatch = std::holds_alternative<StoreWatch>(call);
            watches += isWatch ? 1 : 0;
            // Watches aren't answered, and their sender doesn't give them up.
            store.sender()(std::move(call), isWatch ? seconds{60} : timeout, std::move(done));
        },
        [&] { return store.now(); }, [](const PrefixView::Items &) {}, [&] { return isArriving; });
    view.setConfirmInterval(milliseconds{800});
    const auto run = [&](Duration time) {
        for (auto passed = Duration{0}; passed < time; passed += milliseconds{10}) {
            view.advance();
            store.advance(milliseconds{10});
        }
    };
    store.put("p/a", "1");
    run(milliseconds{100});
    store.mode = FakeStore::Mode::Silent;
    const auto sentBefore = watches;
    REQUIRE(sentBefore >= 1);
    isArriving = true;
    run(seconds{3});
    CHECK(watches == sentBefore);
    CHECK(view.nextDue() > store.now());
    THEN("it is sent again where nothing arrives any more")
    {
        isArriving = false;
        run(milliseconds{100});
        CHECK(watches == sentBefore + 1);
    }
}
