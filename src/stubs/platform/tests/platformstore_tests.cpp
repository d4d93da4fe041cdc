#include "stubs/platform/platformstore.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using namespace std::chrono_literals;

namespace {

auto at(Duration time) -> Instant
{
    return Instant{time};
}

/// Makes a call and fails the test unless it is answered at once.
auto call(PlatformStore &store, Duration time, const StoreRequest &request) -> StoreAnswer
{
    store.receive(at(time), {1000}, request);
    for (const auto &reply : store.takeReplies()) {
        if (reply.call == CallId{1000}) {
            return reply.answer;
        }
    }
    FAIL("the call was not answered at once");
    return {};
}

} // namespace

SCENARIO("PlatformStore: compare-and-swap writes only over the expected version", "[platformstore]")
{
    PlatformStore store;
    CHECK(call(store, 0s, StoreGet{"k"}).status == StoreStatus::Conflict);
    CHECK(call(store, 0s, StoreCompareAndSwap{"k", "a", {}}).status == StoreStatus::Ok);
    const auto conflict = call(store, 0s, StoreCompareAndSwap{"k", "b", {}});
    CHECK(conflict.status == StoreStatus::Conflict);
    CHECK(conflict.items == std::vector{StoreItem{"k", "a", {1}}});
    CHECK(call(store, 0s, StoreCompareAndSwap{"k", "b", {2}}).status == StoreStatus::Conflict);
    CHECK(call(store, 0s, StoreCompareAndSwap{"new", "b", {1}}).status == StoreStatus::Conflict);
    CHECK(call(store, 0s, StoreCompareAndSwap{"k", "b", {1}}).items.front().version
          == StoreVersion{2});
    CHECK(call(store, 0s, StoreCompareAndSwap{"l", "c", {}}).revision == 3);
    CHECK(call(store, 0s, StoreList{"k"}).items == std::vector{StoreItem{"k", "b", {2}}});
}

SCENARIO("PlatformStore: given a held lease, refuses other holders until it expires or is released",
         "[platformstore]")
{
    PlatformStore store;
    CHECK(call(store, 0s, StoreLease{"n", "a", 1s}).status == StoreStatus::Ok);
    const auto taken = call(store, 500ms, StoreLease{"n", "b", 1s});
    CHECK(taken.status == StoreStatus::Conflict);
    CHECK(taken.leaseHolder == "a");
    CHECK(call(store, 600ms, StoreLease{"n", "a", 1s}).status == StoreStatus::Ok);
    CHECK(call(store, 1500ms, StoreLease{"n", "b", 1s}).status == StoreStatus::Conflict);
    CHECK(call(store, 1600ms, StoreLease{"n", "b", 1s}).leaseHolder == "b");
    CHECK(call(store, 1700ms, StoreLeaseRelease{"n", "a"}).status == StoreStatus::Conflict);
    CHECK(call(store, 1700ms, StoreLeaseRelease{"n", "b"}).status == StoreStatus::Ok);
    CHECK(call(store, 1700ms, StoreLease{"n", "a", 1s}).status == StoreStatus::Ok);
    CHECK(store.counts().leases == 6);
    CHECK(store.counts().writes() == 8);
}

SCENARIO("PlatformStore: answers watches on changes, timeouts and faults", "[platformstore]")
{
    PlatformStore store;
    StoreFaults faults;
    GIVEN("a waiting watch")
    {
        store.receive(at(0s), {1}, StoreWatch{"k", 0, 1s});
        REQUIRE(store.takeReplies().empty());
        CHECK(store.nextChange() == at(1s));
        CHECK(store.counts().watches == 1);
        WHEN("another key changes and the watch times out")
        {
            call(store, 100ms, StoreCompareAndSwap{"other", "v", {}});
            store.advance(at(1s));
            const auto replies = store.takeReplies();
            REQUIRE(replies.size() == 1);
            CHECK(replies.front().answer.status == StoreStatus::Ok);
            CHECK(replies.front().answer.items.empty());
        }
        WHEN("the store goes down")
        {
            faults.down = true;
            store.setFaults(at(100ms), faults);
            CHECK(store.takeReplies().front().answer.status == StoreStatus::Unavailable);
        }
    }
    GIVEN("changes that are reported to watches 300 ms late")
    {
        faults.watchDelay = 300ms;
        store.setFaults(at(0s), faults);
        call(store, 0s, StoreCompareAndSwap{"k", "v", {}});
        store.receive(at(100ms), {1}, StoreWatch{"k", 0, 1s});
        CHECK(store.takeReplies().empty());
        CHECK(store.nextChange() == at(300ms));
        store.advance(at(300ms));
        CHECK(store.takeReplies().front().answer.items.size() == 1);
    }
    GIVEN("a change that is reported twice")
    {
        faults.doubleWatchEvents = 1;
        store.setFaults(at(0s), faults);
        call(store, 0s, StoreCompareAndSwap{"k", "v", {}});
        const auto first = call(store, 1ms, StoreWatch{"k", 0, 1s});
        const auto second = call(store, 2ms, StoreWatch{"k", first.revision, 1s});
        CHECK(second.items == first.items);
        CHECK(second.revision == first.revision);
        store.receive(at(3ms), {1}, StoreWatch{"k", second.revision, 1s});
        CHECK(store.takeReplies().empty());
    }
}

SCENARIO("PlatformStore: given lost writes and lost answers, reports both as ambiguous",
         "[platformstore]")
{
    PlatformStore store;
    StoreFaults faults;
    faults.lostWrites = 1;
    faults.lostWriteAnswers = 1;
    store.setFaults(at(0s), faults);
    CHECK(call(store, 0s, StoreCompareAndSwap{"k", "v", {}}).status == StoreStatus::Ambiguous);
    CHECK_FALSE(store.peek("k").has_value());
    CHECK(call(store, 0s, StoreCompareAndSwap{"k", "v", {}}).status == StoreStatus::Ambiguous);
    CHECK(store.peek("k").has_value());
    CHECK(call(store, 0s, StoreCompareAndSwap{"k", "w", {1}}).status == StoreStatus::Ok);
}

SCENARIO("PlatformStore: given a lag, shows changes of the list of VMs only after it",
         "[platformstore]")
{
    PlatformStore store;
    store.vms.setLag(500ms);
    const VmEntry vm{"u1", VmRole::Upstream, VmState::Live, {"fitment"}, {"fd1"}, {"10.0.0.1:80"}};
    store.vms.put(at(0s), vm);
    CHECK(call(store, 499ms, StoreVmList{}).vms.empty());
    CHECK(call(store, 500ms, StoreVmList{}).vms == std::vector{vm});
    store.vms.remove(at(1s), "u1");
    CHECK(call(store, 1400ms, StoreVmList{}).vms.size() == 1);
    CHECK(call(store, 1500ms, StoreVmList{}).vms.empty());
}
