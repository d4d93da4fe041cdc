#include "edge/configurationsource.h"
#include "storelink/tests/fakestore.h"
#include "tasks/eventloop.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string key = "configuration";

/// A grantor's source, beside other calls of the same daemon to the store. Nothing is sent over a
/// network.
struct SourceTrial
{
    FakeStore store;
    EventLoop loop;
    Logger logger{"error", 1};
    std::string text;
    PeerServer peers{this->loop.base(), Address{}, [this] { return this->store.now(); },
                     this->logger};
    ConfigurationSource source{this->loop.base(),
                               this->peers,
                               settings(),
                               this->sender(),
                               [this] { return this->store.now(); },
                               this->logger,
                               [this](const std::string &newText, StoreRevision) {
                                   this->text = newText;
                                   return true;
                               },
                               [] {}};

    static auto settings() -> ConfigurationSourceSettings
    {
        ConfigurationSourceSettings result;
        result.key = key;
        return result;
    }

    auto sender() -> SendStoreCall
    {
        return [this](StoreCall call, Duration timeout, std::function<void(StoreAnswer)> done) {
            this->store.sender()(std::move(call), timeout,
                                 [this, sentAt = this->store.now(),
                                  done = std::move(done)](const StoreAnswer &answer) {
                                     this->source.onStoreAnswer(answer, sentAt);
                                     done(answer);
                                 });
        };
    }

    /// Lets the daemon make a short call each 400 ms, as a grantor does.
    auto run(Duration time) -> void
    {
        for (auto passed = Duration{0}; passed < time; passed += milliseconds{10}) {
            if (passed % milliseconds{400} == Duration{0}) {
                this->sender()(StoreGet{"other", false}, milliseconds{500},
                               [](const StoreAnswer &) {});
            }
            this->source.advance(true);
            this->store.advance(milliseconds{10});
        }
    }
};

} // namespace

// Guards against a grantor that announces an old configuration as the newest until its watch, which
// waits on a dead connection, has timed out.
SCENARIO("ConfigurationSource: given connections to the store that have died, a grantor reads the "
         "configuration once the store answers again",
         "[edge][leaves]")
{
    SourceTrial trial;
    trial.store.put(key, "1");
    trial.run(seconds{2});
    REQUIRE(trial.text == "1");
    trial.run(milliseconds{10});
    trial.sender()(StoreGet{"other", false}, milliseconds{500}, [](const StoreAnswer &) {});
    trial.store.loseOpenCalls(seconds{20});
    trial.store.put(key, "2");
    trial.run(seconds{1});
    CHECK(trial.text == "2");
}

// Guards against a grantor that keeps and announces an old configuration as the newest because its
// calls other than the watch are answered.
SCENARIO("ConfigurationSource: given a lost answer to the watch alone, a grantor has the new "
         "configuration within the time in which it must apply",
         "[edge][lostwatch]")
{
    constexpr Duration applyTime = seconds{2};
    for (auto offset = Duration{0}; offset < seconds{2}; offset += milliseconds{130}) {
        SourceTrial trial;
        trial.store.put(key, "1");
        trial.run(seconds{5} + offset);
        REQUIRE(trial.text == "1");
        trial.store.lostWatchPrefix = key;
        trial.store.put(key, "2");
        trial.run(milliseconds{30});
        trial.store.lostWatchPrefix.clear();
        // Announced ages tell other daemons whether to rely on this one.
        trial.run(seconds{1});
        CHECK((trial.text == "2" || trial.source.age() >= milliseconds{1030}));
        trial.run(applyTime - seconds{1});
        CHECK(trial.text == "2");
    }
}

// Guards against daemons that follow a grantor whose own watch isn't answered any more.
SCENARIO("ConfigurationSource: given answers to all watches lost, the age of the configuration is "
         "that of the last one",
         "[edge][lostwatch]")
{
    SourceTrial trial;
    trial.store.put(key, "1");
    trial.run(seconds{5});
    CHECK(trial.source.age() <= milliseconds{850});
    trial.store.lostWatchPrefix = key;
    trial.run(milliseconds{900});
    CHECK(trial.source.age() >= milliseconds{900});
}
