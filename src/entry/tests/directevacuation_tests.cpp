#include "entry/directchoice.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant start{seconds{100}};
const ServiceName service{"fitment"};
const UpstreamId north{"n1"};
const UpstreamId south{"s1"};

/// A daemon without a grantor, and an upstream in each of two failure domains; the first one owns
/// all keys.
struct DirectFixture
{
    UpstreamStatements statements{UpstreamStatementSettings{}};
    DirectChoice direct{7, this->statements};

    DirectFixture()
    {
        this->setEvacuated({});
        this->direct.setOwners(service,
                               {DirectOwner{KeyRange{0, 65535}, north, Address{"10.0.0.1:80"}}});
        this->direct.setTrusted(true);
    }

    auto setEvacuated(const std::set<UpstreamId> &evacuated) -> void
    {
        std::vector<UpstreamEntry> entries(2);
        entries[0].id = north;
        entries[1].id = south;
        for (auto &entry : entries) {
            entry.service = service;
            entry.isEvacuated = evacuated.contains(entry.id);
            entry.evacuatedAt = entry.isEvacuated ? start : Instant{};
        }
        this->direct.setUpstreams(entries, start);
    }

    auto choose(std::optional<KeyPosition> key, Instant now) -> std::optional<PermitVerdict>
    {
        PermitRequest request;
        request.service = service;
        request.key = key;
        return this->direct.choose(request, now);
    }
};

} // namespace

// Guards against daemons that send requests to evacuated upstreams while a grantor is missing.
SCENARIO("DirectChoice: given an evacuated upstream, it gets no requests but those for its keys",
         "[entry][evacuation]")
{
    DirectFixture fixture;
    fixture.setEvacuated({north});
    THEN("requests without a key are sent elsewhere at once")
    {
        for (auto number = 0; number < 50; ++number) {
            CHECK(fixture.choose(std::nullopt, start)->upstream == south);
        }
    }
    THEN("it serves its keys for 2.5 s; requests for them then wait for a grantor to move them")
    {
        CHECK(fixture.choose(7, start + milliseconds{2499})->upstream == north);
        CHECK_FALSE(fixture.choose(7, start + milliseconds{2500}));
    }
    THEN("it is used again once the evacuation is withdrawn")
    {
        fixture.setEvacuated({});
        CHECK(fixture.choose(7, start + seconds{9})->upstream == north);
        std::set<UpstreamId> used;
        for (auto number = 0; number < 50; ++number) {
            used.insert(fixture.choose(std::nullopt, start + seconds{9})->upstream);
        }
        CHECK(used.size() == 2);
    }
}

// Guards against requests that wait for a grantor that couldn't grant them anything either.
SCENARIO("DirectChoice: given that all upstreams are evacuated, requests are refused",
         "[entry][evacuation]")
{
    DirectFixture fixture;
    fixture.setEvacuated({north, south});
    const auto refusal = fixture.choose(std::nullopt, start);
    REQUIRE(refusal.has_value());
    CHECK(refusal->kind == PermitVerdict::Kind::Refused);
    CHECK(refusal->reason == Reason::NoOwner);
    CHECK(refusal->retryAfter > Duration{0});
    CHECK(fixture.choose(7, start)->kind == PermitVerdict::Kind::Granted);
    CHECK(fixture.choose(7, start + milliseconds{2500})->kind == PermitVerdict::Kind::Refused);
}
