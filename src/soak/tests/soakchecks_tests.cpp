#include "soak/vmcuts.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

SCENARIO("VmCuts: reports first tries that are served far less often at daemons that are cut off",
         "[soak]")
{
    std::vector<std::unique_ptr<FaultProxy>> proxies;
    VmCuts cuts(proxies, 2, 1);
    Instant now{seconds{100}};
    while (cuts.advance(now).empty()) {
        now += milliseconds{100};
    }
    const auto cutDaemon = [&] {
        return cuts.classify(0, now + seconds{4}).isAtCutDaemon ? std::size_t{0} : std::size_t{1};
    }();
    CHECK(cuts.classify(cutDaemon, now + seconds{2}).series == 0);
    const auto atCut = cuts.classify(cutDaemon, now + seconds{3});
    const auto atOther = cuts.classify(1 - cutDaemon, now + seconds{3});
    REQUIRE(atCut.isAtCutDaemon);
    REQUIRE_FALSE(atOther.isAtCutDaemon);
    REQUIRE(atOther.series == atCut.series);
    for (auto number = 0; number < 100; ++number) {
        cuts.onEnd(atOther, number % 10 != 0);
        cuts.onEnd(atCut, number < 60);
    }
    // 60 of 100 is two thirds of 90 of 100.
    CHECK(cuts.violations().empty());
    cuts.onEnd(atCut, false);
    CHECK(cuts.violations().size() == 1);
    THEN("no daemon is compared until the contact time after its cut")
    {
        cuts.clear(now + seconds{4});
        CHECK(cuts.classify(cutDaemon, now + seconds{5}).series == 0);
        CHECK(cuts.classify(1 - cutDaemon, now + seconds{5}).series == 0);
    }
}
