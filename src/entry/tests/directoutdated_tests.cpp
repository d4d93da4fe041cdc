#include "entry/directchoice.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant start{seconds{100}};
const ServiceName service{"fitment"};
const UpstreamId heard{"u1"};
const UpstreamId unheard{"u2"};
constexpr KeyPosition keyOfHeard = 7;
constexpr KeyPosition keyOfUnheard = 40000;

auto choose(DirectChoice &direct, std::optional<KeyPosition> key, Instant now)
    -> std::optional<PermitVerdict>
{
    PermitRequest request;
    request.service = service;
    request.key = key;
    return direct.choose(request, now);
}

} // namespace

// Guards against requests to an upstream that has left while the store refused this daemon, and
// against refusals where no upstream can have left.
SCENARIO("DirectChoice: given entries that the store hasn't confirmed, upstreams are used for a "
         "limited time after they were known to stay",
         "[entry][outdated]")
{
    UpstreamStatements statements{UpstreamStatementSettings{}};
    DirectChoice direct{7, statements};
    std::vector<UpstreamEntry> entries(2);
    entries[0].id = heard;
    entries[1].id = unheard;
    for (auto &entry : entries) {
        entry.service = service;
    }
    direct.setUpstreams(entries, start);
    direct.setOwners(service,
                     {DirectOwner{KeyRange{0, 32767}, heard, Address{"10.0.0.1:80"}},
                      DirectOwner{KeyRange{32768, 65535}, unheard, Address{"10.0.0.2:80"}}});
    direct.setTrusted(true);
    direct.onStays(heard, start + seconds{1});
    const auto useTime = milliseconds{1600};
    GIVEN("that the store answers others")
    {
        direct.setOutdated(OutdatedEntries{start, useTime});
        CHECK(choose(direct, keyOfUnheard, start + milliseconds{1599}));
        CHECK_FALSE(choose(direct, keyOfUnheard, start + useTime));
        CHECK(choose(direct, keyOfHeard, start + milliseconds{2599}));
        for (auto number = 0; number < 50; ++number) {
            CHECK(choose(direct, std::nullopt, start + milliseconds{2599})->upstream == heard);
        }
        CHECK_FALSE(choose(direct, keyOfHeard, start + milliseconds{2600}));
        CHECK_FALSE(choose(direct, std::nullopt, start + milliseconds{2600}));
    }
    GIVEN("that nothing is known of the store")
    {
        direct.setOutdated(std::nullopt);
        CHECK(choose(direct, keyOfUnheard, start + seconds{60}));
        CHECK(choose(direct, std::nullopt, start + seconds{60}));
    }
}
