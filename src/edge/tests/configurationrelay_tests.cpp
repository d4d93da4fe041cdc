#include "edge/configurationrelay.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Address first{"10.0.0.1:7000"};
const Address second{"10.0.0.2:7000"};
const Instant start{std::chrono::seconds{10}};

auto announcement(std::uint64_t revision, Duration age) -> GrantorAnnouncement
{
    GrantorAnnouncement result;
    result.configurationRevision = revision;
    result.configurationAge = age;
    return result;
}

} // namespace

SCENARIO("ConfigurationRelay: given grantors that are up to date, a daemon doesn't need the store",
         "[edge][relay]")
{
    ConfigurationRelay relay(ConfigurationRelaySettings{}, Duration{0});
    CHECK(relay.isStoreNeeded(start));
    relay.onAnnouncement(first, announcement(7, milliseconds{100}), start);
    CHECK_FALSE(relay.isStoreNeeded(start));
    WHEN("the daemon hasn't the announced configuration")
    {
        THEN("it is fetched from the grantor, once at a time")
        {
            CHECK(relay.fetchSource(start) == first);
            relay.onFetchStarted(start);
            CHECK_FALSE(relay.fetchSource(start + milliseconds{200}));
            relay.onAdopted(StoreRevision{7}, false);
            CHECK_FALSE(relay.fetchSource(start + milliseconds{200}));
            CHECK_FALSE(relay.isStoreNeeded(start + milliseconds{1000}));
        }
    }
    WHEN("the fetch fails")
    {
        relay.onAnnouncement(second, announcement(7, milliseconds{100}), start);
        relay.onFetchStarted(start);
        relay.onFetchFailed(first, start + milliseconds{50});
        THEN("another grantor is asked, and after some time the store")
        {
            CHECK(relay.fetchSource(start + milliseconds{200}) == second);
            CHECK_FALSE(relay.isStoreNeeded(start + milliseconds{200}));
            CHECK(relay.isStoreNeeded(start + milliseconds{700}));
        }
    }
    WHEN("a grantor announces an older configuration than the daemon has")
    {
        relay.onAdopted(StoreRevision{9}, false);
        relay.onAnnouncement(second, announcement(8, milliseconds{0}), start);
        THEN("nothing is fetched")
        {
            CHECK_FALSE(relay.fetchSource(start + milliseconds{500}));
        }
    }
    WHEN("the next version is known while one is fetched")
    {
        relay.onFetchStarted(start);
        relay.onAnnouncement(second, announcement(8, milliseconds{0}), start);
        relay.onAdopted(StoreRevision{7}, false);
        THEN("it is fetched from the grantor that has it")
        {
            CHECK(relay.fetchSource(start + milliseconds{100}) == second);
        }
    }
}

// Guards against a daemon that reads a large text from the store while it arrives from a grantor.
SCENARIO("ConfigurationRelay: given a fetch that makes progress, the store isn't needed",
         "[edge][relay]")
{
    ConfigurationRelay relay(ConfigurationRelaySettings{}, Duration{0});
    const auto hear = [&relay](Instant now) {
        relay.onAnnouncement(first, announcement(7, milliseconds{0}), now);
    };
    hear(start);
    relay.onFetchStarted(start);
    for (auto passed = Duration{0}; passed < milliseconds{2000}; passed += milliseconds{100}) {
        hear(start + passed);
        relay.onFetchProgress(start + passed);
        CHECK_FALSE(relay.isStoreNeeded(start + passed + milliseconds{50}));
    }
    THEN("it is needed once the fetch has failed")
    {
        relay.onFetchFailed(first, start + milliseconds{2000});
        CHECK(relay.isStoreNeeded(start + milliseconds{2000}));
    }
    THEN("it is needed some time after the last progress")
    {
        hear(start + milliseconds{2500});
        CHECK_FALSE(relay.isStoreNeeded(start + milliseconds{2500}));
        CHECK(relay.nextDue(start + milliseconds{2500}) == start + milliseconds{2600});
        CHECK(relay.isStoreNeeded(start + milliseconds{2600}));
    }
}

// Guards against a daemon that keeps an old configuration for good since each of its fetches brings
// a part of the text and fails: it never reads the store.
SCENARIO("ConfigurationRelay: given fetches that make progress and fail, the store is needed",
         "[edge][relay][largeconfiguration]")
{
    ConfigurationRelay relay(ConfigurationRelaySettings{}, Duration{0});
    const auto fetchFor = [&relay](Instant from, Duration time) {
        relay.onFetchStarted(from);
        for (auto passed = Duration{0}; passed < time; passed += milliseconds{100}) {
            relay.onAnnouncement(first, announcement(7, milliseconds{0}), from + passed);
            relay.onFetchProgress(from + passed);
        }
    };
    relay.onAnnouncement(first, announcement(7, milliseconds{0}), start);
    fetchFor(start, seconds{2});
    relay.onFetchFailed(first, start + seconds{2});
    WHEN("the next fetch makes progress too")
    {
        fetchFor(start + milliseconds{2100}, milliseconds{900});
        THEN("the store is needed some time after the first one's progress")
        {
            CHECK(relay.isStoreNeeded(start + seconds{3}));
        }
        THEN("it isn't needed once the text has been adopted, also while the next one arrives")
        {
            relay.onAdopted(StoreRevision{7}, false);
            relay.onAnnouncement(first, announcement(8, milliseconds{0}), start + seconds{3});
            relay.onFetchStarted(start + seconds{3});
            relay.onFetchProgress(start + seconds{4});
            relay.onAnnouncement(first, announcement(8, milliseconds{0}), start + seconds{4});
            CHECK_FALSE(relay.isStoreNeeded(start + milliseconds{4500}));
        }
    }
}

// Guards against a fleet that reads a large text from the store since its first calls of a busy
// grantor have failed.
SCENARIO("ConfigurationRelay: given a fetch that fails before it makes progress, the next one's "
         "progress counts",
         "[edge][relay][largeconfiguration]")
{
    ConfigurationRelay relay(ConfigurationRelaySettings{}, Duration{0});
    relay.onAnnouncement(first, announcement(7, milliseconds{0}), start);
    relay.onFetchStarted(start);
    relay.onFetchFailed(first, start + milliseconds{250});
    relay.onFetchStarted(start + milliseconds{330});
    relay.onFetchProgress(start + milliseconds{600});
    CHECK_FALSE(relay.isStoreNeeded(start + milliseconds{1200}));
    relay.onAnnouncement(first, announcement(7, milliseconds{0}), start + milliseconds{1200});
    relay.onFetchProgress(start + milliseconds{1200});
    CHECK_FALSE(relay.isStoreNeeded(start + milliseconds{1800}));
}

// Guards against a daemon that answers as if it were behind after the only grantor that announced a
// newer configuration has gone.
SCENARIO("ConfigurationRelay: given a newer revision, it is known while it is announced",
         "[edge][relay]")
{
    ConfigurationRelay relay(ConfigurationRelaySettings{}, Duration{0});
    relay.onAdopted(StoreRevision{5}, false);
    CHECK_FALSE(relay.newerSince(start));
    relay.onAnnouncement(first, announcement(7, milliseconds{0}), start);
    relay.onAnnouncement(second, announcement(5, milliseconds{0}), start + milliseconds{100});
    CHECK(relay.newerSince(start + milliseconds{2500}) == start);
    CHECK_FALSE(relay.newerSince(start + milliseconds{2501}));
    WHEN("it is announced again")
    {
        relay.onAnnouncement(first, announcement(7, milliseconds{0}), start + seconds{3});
        CHECK(relay.newerSince(start + seconds{3}));
        THEN("it isn't newer any more once it is adopted")
        {
            relay.onAdopted(StoreRevision{7}, false);
            CHECK_FALSE(relay.newerSince(start + seconds{3}));
        }
    }
}

// Guards against a daemon that asks for the newest configuration in vain, again and again, and
// keeps one that is older than those of grantors it reaches.
SCENARIO(
    "ConfigurationRelay: given a newest configuration that can't be fetched, the next newest is "
    "fetched",
    "[edge][relay]")
{
    ConfigurationRelay relay(ConfigurationRelaySettings{}, Duration{0});
    relay.onAdopted(StoreRevision{5}, false);
    relay.onAnnouncement(first, announcement(9, milliseconds{0}), start);
    relay.onAnnouncement(second, announcement(7, milliseconds{0}), start);
    CHECK(relay.fetchSource(start) == first);
    relay.onFetchStarted(start);
    relay.onFetchFailed(first, start + milliseconds{250});
    CHECK(relay.fetchSource(start + milliseconds{400}) == second);
    THEN("the newest is tried again afterwards")
    {
        relay.onFetchStarted(start + milliseconds{400});
        relay.onAdopted(StoreRevision{7}, false);
        CHECK(relay.fetchSource(start + milliseconds{500}) == first);
    }
}

SCENARIO("ConfigurationRelay: given grantors that are cut off, the store is followed in time",
         "[edge][relay]")
{
    ConfigurationRelay relay(ConfigurationRelaySettings{}, Duration{0});
    relay.onAdopted(StoreRevision{7}, false);
    WHEN("a grantor goes on announcing, without contact to the store")
    {
        relay.onAnnouncement(first, announcement(7, milliseconds{0}), start);
        relay.onAnnouncement(first, announcement(7, milliseconds{1000}),
                             start + milliseconds{1000});
        THEN("the store is needed 1.5 s after its last contact")
        {
            CHECK_FALSE(relay.isStoreNeeded(start + milliseconds{1400}));
            CHECK(relay.isStoreNeeded(start + milliseconds{1500}));
            CHECK(relay.nextDue(start + milliseconds{1000}) == start + milliseconds{1500});
        }
    }
    WHEN("one of two grantors has lost its contact")
    {
        relay.onAnnouncement(first, announcement(7, milliseconds{3000}), start);
        relay.onAnnouncement(second, announcement(7, milliseconds{10}), start);
        THEN("the other one is enough")
        {
            CHECK_FALSE(relay.isStoreNeeded(start + milliseconds{1000}));
        }
    }
    WHEN("this daemon can't reach the store, but another grantor can")
    {
        const auto ownContact = start;
        relay.onAnnouncement(first, announcement(7, milliseconds{100}), start + milliseconds{1000});
        THEN("it is cut off, well before the others would have to stop using its list of upstreams")
        {
            CHECK_FALSE(relay.isCutOff(StoreContact{start + milliseconds{500}, true},
                                       start + milliseconds{1000}));
            CHECK(relay.isCutOff(StoreContact{ownContact, true}, start + milliseconds{1000}));
        }
    }
    WHEN("this daemon hasn't run for a second, so it hasn't called the store")
    {
        relay.onAnnouncement(first, announcement(7, milliseconds{5}), start + milliseconds{1300});
        THEN("it isn't cut off")
        {
            CHECK_FALSE(relay.isCutOff(StoreContact{start, false}, start + milliseconds{1300}));
        }
    }
    WHEN("nobody can reach the store")
    {
        relay.onAnnouncement(first, announcement(7, milliseconds{300}), start);
        relay.onAnnouncement(first, announcement(7, milliseconds{1300}),
                             start + milliseconds{1000});
        THEN("no grantor is cut off")
        {
            CHECK_FALSE(relay.isCutOff(StoreContact{start - milliseconds{700}, true},
                                       start + milliseconds{1000}));
            CHECK_FALSE(relay.isCutOff(StoreContact{start - milliseconds{700}, true},
                                       start + milliseconds{9000}));
        }
    }
    WHEN("a grantor has no configuration yet")
    {
        relay.onAnnouncement(first, announcement(0, milliseconds{0}), start);
        THEN("it confirms nothing")
        {
            CHECK(relay.isStoreNeeded(start));
        }
    }
}

// Guards against a daemon that starts with a copy of the configuration from before the store was
// restored, and takes later ones for older.
SCENARIO(
    "ConfigurationRelay: given a configuration that may be old, any other that a grantor has is "
    "fetched",
    "[configurationrelay][restored]")
{
    ConfigurationRelay relay(ConfigurationRelaySettings{}, Duration{0});
    const auto announced = announcement(storeRevision(2, 60).value, milliseconds{100});
    GIVEN("a configuration with a higher number of the same era")
    {
        relay.onAdopted(storeRevision(2, 90), true);
        relay.onAnnouncement(first, announced, start);
        CHECK(relay.fetchSource(start) == first);
        THEN("the one that was fetched isn't fetched again")
        {
            relay.onAdopted(storeRevision(2, 60), false);
            CHECK_FALSE(relay.fetchSource(start).has_value());
        }
    }
    GIVEN("the same configuration")
    {
        relay.onAdopted(storeRevision(2, 60), true);
        relay.onAnnouncement(first, announced, start);
        CHECK_FALSE(relay.fetchSource(start).has_value());
    }
    GIVEN("a configuration of an earlier era with a higher number")
    {
        relay.onAdopted(storeRevision(1, 90), false);
        relay.onAnnouncement(first, announced, start);
        CHECK(relay.fetchSource(start) == first);
    }
}

// Guards against grantors that confirm each other's configuration in a circle while none of them
// has asked the store.
SCENARIO("ConfigurationRelay: given grantors with the same configuration, news pass to higher "
         "addresses only",
         "[edge][relay]")
{
    const Address third{"10.0.0.3:7000"};
    ConfigurationRelay relay(ConfigurationRelaySettings{}, Duration{0});
    relay.onAdopted(StoreRevision{7}, false);
    relay.onAnnouncement(second, announcement(7, milliseconds{300}), start);
    CHECK(relay.checkedAt(third) == start - milliseconds{300});
    CHECK(relay.checkedAt(second) == Instant{});
    CHECK(relay.checkedAt(first) == Instant{});
    CHECK(relay.checkedUntil(third) > start);
    WHEN("that grantor has a newer configuration")
    {
        relay.onAnnouncement(second, announcement(8, milliseconds{0}), start + milliseconds{1000});
        THEN("the own one isn't confirmed")
        {
            CHECK(relay.checkedAt(third) == Instant{});
        }
    }
}
