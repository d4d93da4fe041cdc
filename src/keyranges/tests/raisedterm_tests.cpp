#include "keyranges/rangegrantor.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr KeyRange allKeys{0, 65535};
constexpr KeyRange movedKeys{0, 100};

/// A grantor whose keys all belong to upstream "a", among "a", "b" and "c".
struct GrantorBeforeRestoration
{
    RangeGrantorSettings settings;
    Instant now{seconds{100}};
    std::vector<UpstreamEntry> entries;
    RangeGrantor grantor{this->settings, 1};

    explicit GrantorBeforeRestoration(bool doReleasesRaiseFences = false)
        : settings(settingsOf(doReleasesRaiseFences))
    {
        for (const auto *id : {"a", "b", "c"}) {
            UpstreamEntry entry;
            entry.id = UpstreamId{id};
            entry.address = Address{std::string{"10.0.0.1:80"} + id};
            entry.incarnation = Incarnation{200};
            this->entries.push_back(entry);
        }
        this->grantor.setAuthorityEnd(this->now + seconds{60});
        this->grantor.setUpstreams(this->entries, this->now);
        this->grantor.adopt(RangeRecord{}, this->now);
        this->grantor.move({RangeMove{allKeys, UpstreamId{"a"}}}, this->now);
        this->storeRecord();
        this->answer(this->grantor.takeOrders(), RangeOrderEnd::Kind::Accepted);
    }

    static auto settingsOf(bool doReleasesRaiseFences) -> RangeGrantorSettings
    {
        RangeGrantorSettings result;
        result.doReleasesRaiseFences = doReleasesRaiseFences;
        return result;
    }

    auto storeRecord() -> void
    {
        std::uint64_t version = 0;
        if (this->grantor.takeRecord(version)) {
            this->grantor.onRecordStored(version, this->now);
        }
    }

    auto answer(const std::vector<RangeOrder> &orders, RangeOrderEnd::Kind kind) -> void
    {
        for (const auto &order : orders) {
            this->grantor.onOrderEnd({order.call, kind, ""}, this->now);
        }
    }

    /// Runs until keys of `movedKeys` are granted to an upstream other than `knownOwner`; orders
    /// before are answered with `answers`, and those to `silentUpstream` not at all.
    auto grantTime(const std::string &knownOwner, RangeOrderEnd::Kind answers,
                   const std::string &silentUpstream = "") -> std::optional<Instant>
    {
        const auto end = this->now + seconds{20};
        while (this->now < end) {
            this->storeRecord();
            if (this->grantor.hasUnowned()) {
                this->grantor.move({RangeMove{movedKeys, UpstreamId{"c"}}}, this->now);
            }
            this->grantor.advance(this->now);
            const auto orders = this->grantor.takeOrders();
            for (const auto &order : orders) {
                const auto isNewGrant = order.kind == RangeOrder::Kind::Grant
                                        && order.upstream != UpstreamId{knownOwner}
                                        && order.range.first <= movedKeys.last;
                if (isNewGrant) {
                    return this->now;
                }
            }
            for (const auto &order : orders) {
                const auto isSilent = order.upstream == UpstreamId{silentUpstream};
                this->answer({order}, isSilent ? RangeOrderEnd::Kind::NoAnswer : answers);
            }
            this->now += milliseconds{10};
        }
        return std::nullopt;
    }
};

} // namespace

// Guards against two owners of a key: another daemon had led and moved keys while this grantor was
// cut off, and the store came back from a copy from before its election.
SCENARIO("RangeGrantor: given a raised term after others may have led, a range without a confirmed "
         "owner waits for the longest grants",
         "[keyranges][restored]")
{
    GrantorBeforeRestoration before;
    const auto raisedAt = before.now + seconds{1};
    const auto checkWaits = [&](std::optional<Instant> grantedAt) {
        REQUIRE(grantedAt.has_value());
        CHECK(*grantedAt - raisedAt >= before.settings.longestHoldTime);
    };
    GIVEN("a range that had been released, and waited for the record")
    {
        before.grantor.move({RangeMove{movedKeys, UpstreamId{"b"}}}, before.now);
        before.answer(before.grantor.takeOrders(), RangeOrderEnd::Kind::Accepted);
        before.now = raisedAt;
        WHEN("others may have led")
        {
            before.grantor.raiseTerm(2, true, before.now);
            checkWaits(before.grantTime("", RangeOrderEnd::Kind::Accepted));
        }
        WHEN("nobody else can have led")
        {
            before.grantor.raiseTerm(2, false, before.now);
            const auto grantedAt = before.grantTime("", RangeOrderEnd::Kind::Accepted);
            REQUIRE(grantedAt.has_value());
            CHECK(*grantedAt - raisedAt < milliseconds{100});
        }
    }
    GIVEN("a range whose release ends after the term was raised")
    {
        before.grantor.move({RangeMove{movedKeys, UpstreamId{"b"}}}, before.now);
        const auto releases = before.grantor.takeOrders();
        REQUIRE(releases.size() == 1);
        before.now = raisedAt;
        before.grantor.raiseTerm(2, true, before.now);
        before.answer(releases, RangeOrderEnd::Kind::Accepted);
        checkWaits(before.grantTime("", RangeOrderEnd::Kind::Accepted));
    }
    GIVEN("a grant that ends after the term was raised")
    {
        before.grantor.move({RangeMove{movedKeys, UpstreamId{"b"}}}, before.now);
        before.answer(before.grantor.takeOrders(), RangeOrderEnd::Kind::Accepted);
        before.storeRecord();
        const auto grants = before.grantor.takeOrders();
        REQUIRE(grants.size() == 1);
        before.now = raisedAt;
        before.grantor.raiseTerm(2, true, before.now);
        before.answer(grants, RangeOrderEnd::Kind::Accepted);
        checkWaits(before.grantTime("", RangeOrderEnd::Kind::Accepted));
    }
    GIVEN("an unconfirmed owner that is gone after the term was raised twice")
    {
        before.now = raisedAt;
        before.grantor.raiseTerm(2, true, before.now);
        before.now += milliseconds{100};
        before.grantor.raiseTerm(3, false, before.now);
        WHEN("it has restarted at another address")
        {
            before.entries[0].incarnation = Incarnation{300};
            before.entries[0].address = Address{"10.0.0.9:80"};
            before.grantor.setUpstreams(before.entries, before.now);
            checkWaits(before.grantTime("a", RangeOrderEnd::Kind::NoAnswer));
        }
        WHEN("another upstream answers at its address")
        {
            before.entries[0].isDraining = true;
            before.grantor.setUpstreams(before.entries, before.now);
            checkWaits(before.grantTime("a", RangeOrderEnd::Kind::OtherUpstream));
        }
    }
    GIVEN("an unconfirmed owner that is gone")
    {
        before.now = raisedAt;
        before.grantor.raiseTerm(2, true, before.now);
        WHEN("it has restarted at another address")
        {
            before.entries[0].incarnation = Incarnation{300};
            before.entries[0].address = Address{"10.0.0.9:80"};
            before.grantor.setUpstreams(before.entries, before.now);
            checkWaits(before.grantTime("a", RangeOrderEnd::Kind::Accepted));
        }
        WHEN("it has restarted at the same address, and knows no fence")
        {
            before.entries[0].incarnation = Incarnation{300};
            before.grantor.setUpstreams(before.entries, before.now);
            before.entries[0].isDraining = true;
            before.grantor.setUpstreams(before.entries, before.now);
            checkWaits(before.grantTime("a", RangeOrderEnd::Kind::Accepted));
        }
        WHEN("another upstream answers at its address")
        {
            before.entries[0].isDraining = true;
            before.grantor.setUpstreams(before.entries, before.now);
            checkWaits(before.grantTime("a", RangeOrderEnd::Kind::OtherUpstream));
        }
        WHEN("it doesn't answer")
        {
            before.entries[0].isDraining = true;
            before.grantor.setUpstreams(before.entries, before.now);
            checkWaits(before.grantTime("a", RangeOrderEnd::Kind::NoAnswer));
        }
    }
}

// Guards against orders whose fence isn't above those of earlier grantors: a range had been adopted
// and not granted yet when the term was raised.
SCENARIO("RangeGrantor: given a raised term before its first grant, no order has a lower fence",
         "[keyranges][restored]")
{
    GrantorBeforeRestoration before;
    const auto mayOthersHaveLed = GENERATE(true, false);
    const auto &owner = before.entries[0];
    const RangeHolder holder{owner.id, owner.incarnation, owner.address};
    RangeGrantor grantor(before.settings, 2);
    grantor.setUpstreams(before.entries, before.now);
    grantor.adopt(RangeRecord{{RangeRow{allKeys, holder, {}}}}, before.now);
    REQUIRE(grantor.takeOrders().empty());
    before.now += seconds{3};
    grantor.raiseTerm(3, mayOthersHaveLed, before.now);
    const auto lowestFence = std::uint64_t{3} << 20U;
    for (auto step = 0; step < 1500; ++step) {
        grantor.setAuthorityEnd(before.now + seconds{1});
        std::uint64_t version = 0;
        if (grantor.takeRecord(version)) {
            grantor.onRecordStored(version, before.now);
        }
        grantor.advance(before.now);
        for (const auto &order : grantor.takeOrders()) {
            CHECK(order.fence > lowestFence);
            grantor.onOrderEnd({order.call, RangeOrderEnd::Kind::Accepted, ""}, before.now);
        }
        before.now += milliseconds{10};
    }
    CHECK(grantor.owners(before.now).front().owner == owner.id);
}

// Guards against two owners of a key: a holder that this grantor knew wasn't asked to release it,
// as the store didn't list it any more.
SCENARIO("RangeGrantor: given a raised term after others may have led, a holder that isn't listed "
         "any more has to release its keys, too",
         "[keyranges][restored]")
{
    GrantorBeforeRestoration before(true);
    const auto raisedAt = before.now + seconds{1};
    const auto isMoving = GENERATE(true, false);
    if (isMoving) {
        before.grantor.move({RangeMove{allKeys, UpstreamId{"b"}}}, before.now);
        static_cast<void>(before.grantor.takeOrders());
    }
    before.entries.erase(before.entries.begin());
    before.now = raisedAt;
    before.grantor.setUpstreams(before.entries, before.now);
    before.grantor.raiseTerm(2, true, before.now);
    before.grantor.setAreAllUpstreamsListed(true);
    const auto grantedAt = before.grantTime("a", RangeOrderEnd::Kind::Accepted, "a");
    REQUIRE(grantedAt.has_value());
    CHECK(*grantedAt - raisedAt >= before.settings.longestHoldTime);
}
