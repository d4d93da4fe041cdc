#include "edge/tests/restoredstorecell.h"
#include "keyranges/rangerecordcodec.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const KeyRange hotKeys{20'000, 21'999};
const KeyRange laterHotKeys{40'000, 41'999};

/// Takes the store away, and brings it back from the copy.
auto restore(RestoredStoreCell &cell, Duration outage) -> void
{
    cell.store.mode = FakeStore::Mode::Silent;
    cell.run(outage);
    cell.store.restoreCopy();
    cell.store.mode = FakeStore::Mode::Normal;
}

/// A cell in which keys move after the copy of the store was taken.
auto movedSinceCopy(std::size_t daemonCount) -> std::unique_ptr<RestoredStoreCell>
{
    auto cell = std::make_unique<RestoredStoreCell>(static_cast<int>(daemonCount));
    cell->setLoad(hotKeys, 90);
    cell->run(seconds{12});
    cell->store.keepCopy();
    cell->setLoad(laterHotKeys, 90);
    cell->run(seconds{6});
    return cell;
}

/// Ends grantors and lets a part of the orders be carried out late around a restoration.
auto loseGrantorAndEntries(RestoredStoreCell &cell, Duration killAfter) -> void
{
    cell.loseEntry(2, milliseconds{1900});
    cell.loseEntry(4, milliseconds{2200});
    cell.run(killAfter);
    cell.killGrantor(std::nullopt);
}

auto checkOwners(const RestoredStoreCell &cell) -> void
{
    CHECK(cell.doubleOwnerCount() == 0);
    CHECK(cell.lowFenceCount() == 0);
    CHECK(cell.givenOnAtWorkCount() == 0);
}

} // namespace

// Guards against two owners of a key after the store has come back from a copy without the last
// moves of keys, without the last election, or without the lease of the grantor.
SCENARIO("GrantorRole: given a store that comes back from an older copy, no key gets two owners",
         "[edge][restored]")
{
    const auto outage = milliseconds{GENERATE(200, 1000, 2000)};
    auto cell = movedSinceCopy(4);
    checkOwners(*cell);
    GIVEN("a grantor that lives on")
    {
        restore(*cell, outage);
        cell->run(seconds{20});
        checkOwners(*cell);
        THEN("requests are served again")
        {
            cell->resetCounts();
            cell->run(seconds{5});
            CHECK(cell->grantedCount() >= cell->askedCount() * 9 / 10);
        }
    }
    GIVEN("a grantor that is lost as the store comes back")
    {
        restore(*cell, outage);
        cell->run(milliseconds{GENERATE(0, 150, 400, 900)});
        cell->killGrantor(std::nullopt);
        cell->run(seconds{25});
        checkOwners(*cell);
        THEN("requests are served again")
        {
            cell->resetCounts();
            cell->run(seconds{5});
            CHECK(cell->grantedCount() >= cell->askedCount() * 9 / 10);
        }
    }
    GIVEN("a grantor that was lost before, so that its successor's election isn't in the copy")
    {
        cell->killGrantor(seconds{1});
        cell->run(seconds{4});
        restore(*cell, outage);
        cell->run(seconds{25});
        checkOwners(*cell);
    }
    GIVEN("a grantor that doesn't reach the store when it comes back")
    {
        const auto grantor = cell->grantorIndex().value();
        cell->setCutOff(grantor, true);
        restore(*cell, outage);
        cell->run(seconds{3});
        cell->setCutOff(grantor, false);
        cell->run(seconds{20});
        checkOwners(*cell);
    }
    GIVEN("no daemon that knew what was lost")
    {
        restore(*cell, outage);
        cell->killAll();
        cell->run(seconds{25});
        checkOwners(*cell);
        THEN("requests are served again")
        {
            cell->resetCounts();
            cell->run(seconds{5});
            CHECK(cell->grantedCount() >= cell->askedCount() * 9 / 10);
        }
    }
    GIVEN("a second restoration from the same copy")
    {
        restore(*cell, outage);
        cell->run(seconds{4});
        cell->setLoad(hotKeys, 90);
        cell->run(seconds{4});
        restore(*cell, outage);
        cell->killGrantor(seconds{2});
        cell->run(seconds{25});
        checkOwners(*cell);
    }
}

// Guards against two owners of a key after the loss of all daemons, where a copy from before the
// first record of owners was taken for the first start of the system.
SCENARIO(
    "GrantorRole: given a copy without any record, a daemon that was started later waits until "
    "grants have run out",
    "[edge][restored]")
{
    RestoredStoreCell cell(4);
    cell.store.keepCopy();
    cell.setLoad(hotKeys, 90);
    cell.run(seconds{8});
    restore(cell, milliseconds{GENERATE(200, 2000)});
    cell.killAll();
    cell.run(seconds{25});
    checkOwners(cell);
    cell.resetCounts();
    cell.run(seconds{5});
    CHECK(cell.grantedCount() >= cell.askedCount() * 9 / 10);
}

// Guards against two owners of a key in a large fleet (issue 29): the record of the copy was taken
// for the truth after keys of many upstreams had moved and the grantor was lost or had changed.
SCENARIO("GrantorRole: given a large fleet whose store comes back from an older copy, no key gets "
         "two owners",
         "[edge][restored][large]")
{
    RestoredStoreCell cell(24, 210);
    cell.setLoad(KeyRange{0, 65535}, 900);
    cell.run(seconds{8});
    cell.store.keepCopy();
    cell.setLoad(laterHotKeys, 900);
    cell.run(seconds{5});
    const auto *record = cell.store.find("gw/ranges/fitment");
    REQUIRE(record != nullptr);
    REQUIRE(decodeRangeRecord(record->value).value_or(RangeRecord{}).rows.size() >= 200);
    GIVEN("a grantor that is lost as the store comes back")
    {
        restore(cell, milliseconds{1000});
        cell.run(milliseconds{300});
        cell.killGrantor(std::nullopt);
        cell.run(seconds{13});
        checkOwners(cell);
    }
    GIVEN("a grantor that was elected after the copy was taken")
    {
        cell.killGrantor(seconds{1});
        cell.run(seconds{4});
        restore(cell, milliseconds{1000});
        cell.run(seconds{13});
        checkOwners(cell);
    }
}

// A grantor whose predecessor is lost doesn't know the last moves of keys.
SCENARIO("GrantorRole: given a lost grantor, all keys are served within 5 s of a restoration",
         "[edge][restored]")
{
    auto cell = movedSinceCopy(5);
    restore(*cell, milliseconds{GENERATE(1000, 2000)});
    cell->setLoad(KeyRange{0, 65535}, 200);
    GIVEN("a grantor that is lost as the store comes back, and upstreams that the copy lacks")
    {
        const auto killAfter = milliseconds{GENERATE(0, 300)};
        loseGrantorAndEntries(*cell, killAfter);
        cell->run(seconds{5} - killAfter);
        cell->resetCounts();
        cell->run(seconds{6});
        THEN("requests are served from then on, and no key has two owners")
        {
            CHECK(cell->servedCount() >= cell->askedCount() * 9 / 10);
            checkOwners(*cell);
        }
    }
}

// Guards against two owners of a key by orders that are carried out late around the release of
// keys.
SCENARIO("GrantorRole: given late orders and lost grantors after a restoration, no key has two "
         "owners",
         "[edge][restored]")
{
    const auto doReleasesRaiseFences = GENERATE(true, false);
    RestoredStoreCell cell(7, 6, doReleasesRaiseFences);
    cell.setLoad(hotKeys, 90);
    cell.run(seconds{12});
    cell.store.keepCopy();
    cell.setLoad(laterHotKeys, 90);
    cell.run(seconds{4});
    cell.setLateOrderShare(0.15);
    cell.run(seconds{2});
    restore(cell, milliseconds{1000});
    loseGrantorAndEntries(cell, milliseconds{GENERATE(0, 300)});
    GIVEN("a successor that is lost after a part of its round")
    {
        const auto leads = milliseconds{GENERATE(100, 600, 1400, 2600)};
        for (auto passed = 0; passed < 300 && !cell.grantorIndex(); ++passed) {
            cell.run(milliseconds{10});
        }
        cell.run(leads);
        cell.killGrantor(std::nullopt);
        cell.run(seconds{5});
        cell.setLateOrderShare(0);
        cell.run(seconds{20});
        checkOwners(cell);
        THEN("requests are served again")
        {
            cell.resetCounts();
            cell.run(seconds{5});
            CHECK(cell.servedCount() >= cell.askedCount() * 9 / 10);
        }
    }
    GIVEN("a second restoration in the successor's round")
    {
        cell.run(milliseconds{GENERATE(2200, 3600)});
        restore(cell, milliseconds{500});
        if (GENERATE(true, false)) {
            cell.killGrantor(std::nullopt);
        }
        cell.run(seconds{25});
        checkOwners(cell);
    }
}

// Guards against keys that are given on while their holder is at work (OWNER, issue 33): a lost
// grantor had ordered the release of the keys that its successor ordered, too.
SCENARIO("GrantorRole: given upstreams at work for seconds and lost grantors, no key is given on "
         "before the work or its hold has ended",
         "[edge][restored][workatrelease]")
{
    RestoredStoreCell cell(7);
    cell.setWorkTime(seconds{3});
    cell.killAll();
    cell.run(seconds{3});
    const auto leads = milliseconds{GENERATE(1500, 1650, 1900, 2200)};
    for (auto round = 0; round < 4; ++round) {
        cell.setLoad(round % 2 == 0 ? hotKeys : laterHotKeys, 120);
        cell.run(leads);
        cell.killGrantor(seconds{1});
    }
    GIVEN("a store that keeps its records")
    {
        cell.run(seconds{20});
        checkOwners(cell);
    }
    GIVEN("a store that comes back from an older copy")
    {
        cell.store.keepCopy();
        cell.setLoad(hotKeys, 120);
        cell.run(seconds{4});
        restore(cell, milliseconds{500});
        cell.killGrantor(seconds{1});
        cell.run(seconds{25});
        checkOwners(cell);
    }
}
