#include "edge/grantorrole.h"

#include "storelink/tests/fakestore.h"

#include <catch2/catch.hpp>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A GrantorRole of a sharded service, with upstreams that accept all orders.
struct GrantorRoleFixture
{
    static constexpr std::size_t upstreamCount = 2;

    FakeStore store;
    Logger logger{"error", 1};
    RequestLog log{this->logger, 0};
    std::vector<std::pair<CallId, std::function<void(RangeOrderEnd)>>> orders;
    GrantorRole role;
    std::uint64_t sequence = 0;

    GrantorRoleFixture()
        : role(
            spec(), settings(), store.sender(),
            [this](const RangeOrder &order, std::function<void(RangeOrderEnd)> done) {
                this->orders.emplace_back(order.call, std::move(done));
            },
            [this] { return this->store.now(); }, this->logger, this->log)
    {
        this->role.onUpstreams(entries(Duration{0}));
    }

    static auto entries(Duration remainingWarmUp) -> std::vector<UpstreamEntry>
    {
        std::vector<UpstreamEntry> result(upstreamCount);
        for (std::size_t index = 0; index < result.size(); ++index) {
            result[index].id = UpstreamId{"u" + std::to_string(index)};
            result[index].service = spec().name;
            result[index].address = Address{"10.1.0." + std::to_string(index) + ":80"};
            result[index].slots = 3;
            result[index].remainingWarmUp = remainingWarmUp;
        }
        return result;
    }

    static auto spec() -> ServiceSpec
    {
        ServiceSpec result;
        result.name = ServiceName{"fitment"};
        result.isSharded = true;
        return result;
    }

    static auto settings() -> GrantorRoleSettings
    {
        GrantorRoleSettings result;
        result.daemon = DaemonId{"d1"};
        result.peerAddress = Address{"10.0.0.1:7000"};
        result.incarnation = 1;
        return result;
    }

    [[nodiscard]] auto grantor() const -> std::optional<ElectedGrantor>
    {
        const auto *item = this->store.find(grantorKey());
        return item == nullptr ? std::nullopt
                               : std::optional(ElectedGrantor{item->value, item->created});
    }

    static auto grantorKey() -> std::string { return settings().grantorPrefix + spec().name.value; }

    auto run(Duration duration) -> void
    {
        for (auto passed = Duration{0}; passed < duration; passed += milliseconds{10}) {
            this->role.onGrantor(this->grantor(), 0);
            this->role.advance();
            for (auto &[call, done] : std::exchange(this->orders, {})) {
                done(RangeOrderEnd{call, RangeOrderEnd::Kind::Accepted, ""});
            }
            this->store.advance(milliseconds{10});
        }
    }

    /// Asks for a permit for a key.
    /// @returns the id of the request
    auto ask(KeyPosition key) -> PermitId
    {
        PermitRequest request;
        request.id = PermitId{entry, 1, ++this->sequence};
        request.service = spec().name;
        request.key = key;
        request.remaining = seconds{1};
        request.untilTarget = seconds{1};
        this->role.onMessage(entry, request);
        return request.id;
    }

    /// @returns whether a permit request for a key is granted at once
    auto isServed(KeyPosition key) -> bool
    {
        (void) this->role.takeDatagrams();
        const auto id = this->ask(key);
        for (const auto &datagram : this->role.takeDatagrams()) {
            const auto *answer = std::get_if<PermitAnswer>(&datagram.message);
            if (answer != nullptr && answer->id == id) {
                return answer->verdict.kind == PermitVerdict::Kind::Granted;
            }
        }
        return false;
    }

    /// Lets a request for a random key arrive each 10 ms. Granted ones are answered at once.
    /// @returns the number of permits granted per upstream and second
    auto grantsPerSecond(Duration time) -> double
    {
        auto count = 0;
        (void) this->role.takeDatagrams();
        for (auto passed = Duration{0}; passed < time; passed += milliseconds{10}) {
            this->run(milliseconds{10});
            this->ask(static_cast<KeyPosition>(this->sequence * 7919));
            for (const auto &datagram : this->role.takeDatagrams()) {
                const auto *answer = std::get_if<PermitAnswer>(&datagram.message);
                if (answer == nullptr || answer->verdict.kind != PermitVerdict::Kind::Granted) {
                    continue;
                }
                PermitReport report;
                report.id = answer->id;
                report.service = spec().name;
                report.upstream = answer->verdict.upstream;
                report.end = AttemptEnd::Answered;
                report.latency = milliseconds{5};
                this->role.onMessage(entry, report);
                ++count;
            }
        }
        return count / std::chrono::duration<double>(time).count() / upstreamCount;
    }

private:
    inline static const Address entry{"10.0.0.2:7000"};
};

} // namespace

SCENARIO("GrantorRole grants nothing while it is cut off from the store that others reach",
         "[grantorrole]")
{
    GIVEN("a grantor whose keys all have owners")
    {
        GrantorRoleFixture fixture;
        fixture.run(seconds{5});
        REQUIRE(fixture.isServed(100));
        WHEN("it is cut off")
        {
            fixture.role.setCutOff(true);
            THEN("a request for a permit is answered that it isn't the grantor, and it is silent")
            {
                (void) fixture.role.takeDatagrams();
                PermitRequest request;
                request.id = PermitId{Address{"10.0.0.2:7000"}, 1, 99};
                request.service = GrantorRoleFixture::spec().name;
                request.remaining = seconds{1};
                fixture.role.onMessage(request.id.entry, request);
                fixture.run(seconds{2});
                const auto datagrams = fixture.role.takeDatagrams();
                REQUIRE_FALSE(datagrams.empty());
                for (const auto &datagram : datagrams) {
                    const auto *answer = std::get_if<PermitAnswer>(&datagram.message);
                    REQUIRE(answer != nullptr);
                    CHECK(answer->verdict.kind == PermitVerdict::Kind::NotGrantor);
                }
            }
            THEN("it grants again once it reaches the store")
            {
                fixture.role.setCutOff(false);
                CHECK(fixture.isServed(100));
            }
        }
    }
}

SCENARIO(
    "GrantorRole serves from its election on, though the daemon had no need of the store before",
    "[grantorrole]")
{
    GIVEN("a daemon that grants nothing, and hasn't called the store for longer than grantors have")
    {
        GrantorRoleFixture fixture;
        fixture.role.setCutOff(true);
        fixture.run(seconds{5});
        REQUIRE(fixture.role.isServing());
        THEN("it gives out slots once it is elected")
        {
            CHECK(fixture.isServed(100));
        }
    }
}

SCENARIO("GrantorRole serves the same owners again after it is re-elected", "[grantorrole]")
{
    GIVEN("a grantor whose keys all have owners")
    {
        GrantorRoleFixture fixture;
        fixture.run(seconds{5});
        REQUIRE(fixture.isServed(100));
        WHEN("another daemon is grantor for a short time and moves no key")
        {
            fixture.store.remove(GrantorRoleFixture::grantorKey());
            fixture.store.put(GrantorRoleFixture::grantorKey(), "d2 10.0.0.3:7000 1");
            fixture.run(milliseconds{50});
            REQUIRE_FALSE(fixture.role.isServing());
            fixture.store.remove(GrantorRoleFixture::grantorKey());
            fixture.run(seconds{2});
            THEN("it grants slots of the same owners again")
            {
                REQUIRE(fixture.role.isServing());
                CHECK(fixture.isServed(100));
            }
        }
    }
}

// Keys of the whole service had no owner while their grantor's VM had lost its links.
SCENARIO("GrantorRole gives up its place while its VM reaches no upstream",
         "[grantorrole][isolated]")
{
    GIVEN("a grantor whose keys all have owners")
    {
        GrantorRoleFixture fixture;
        fixture.run(seconds{5});
        REQUIRE(fixture.role.isLeading());
        WHEN("its VM reaches no upstream any more")
        {
            fixture.role.setUpstreamsReached(false);
            fixture.run(milliseconds{100});
            THEN("the place is free at once, and permits are issued until there is a successor")
            {
                CHECK_FALSE(fixture.grantor());
                CHECK(fixture.isServed(100));
            }
            THEN("other daemons have the time to claim the place")
            {
                fixture.run(milliseconds{1300});
                CHECK_FALSE(fixture.grantor());
            }
            THEN("it claims the place again where nobody else does, and keeps it for a while")
            {
                fixture.run(seconds{2});
                CHECK(fixture.role.isLeading());
                fixture.run(seconds{1});
                CHECK(fixture.role.isLeading());
            }
            THEN("it claims the place as usual once upstreams are reached again")
            {
                fixture.role.setUpstreamsReached(true);
                fixture.run(seconds{3});
                CHECK(fixture.role.isLeading());
                fixture.run(seconds{10});
                CHECK(fixture.role.isLeading());
                CHECK(fixture.isServed(100));
            }
        }
    }
}

// Guards against two grantors that each grant the whole rate for a cold upstream, as the former one
// hasn't heard of its successor.
SCENARIO("GrantorRole bounds the requests to cold upstreams, and more so without authority",
         "[grantorrole][cold]")
{
    constexpr double rate = 20;
    GrantorRoleFixture fixture;
    fixture.run(seconds{5});
    GIVEN("cold upstreams of a service without a rate")
    {
        fixture.role.onUpstreams(GrantorRoleFixture::entries(seconds{600}));
        CHECK(fixture.grantsPerSecond(seconds{2}) > 2 * rate);
        CHECK(fixture.role.coldUpstreamCount() == 0);
        WHEN("a new configuration sets one")
        {
            fixture.role.setWarmUpRate(rate);
            CHECK(fixture.role.coldUpstreamCount() == GrantorRoleFixture::upstreamCount);
            CHECK(fixture.role.limitedUpstreamCount() == 0);
            CHECK(fixture.grantsPerSecond(seconds{5}) <= rate + 0.2);
            CHECK(fixture.grantsPerSecond(seconds{5}) > 0.5 * rate);
            AND_WHEN("the grantor can't renew its lease")
            {
                fixture.store.mode = FakeStore::Mode::Silent;
                fixture.run(seconds{4});
                REQUIRE(fixture.role.isServing());
                CHECK(fixture.grantsPerSecond(seconds{4}) <= 0.1 * rate + 0.3);
            }
        }
    }
}
