#include "requests/tests/faultycell.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;

namespace {

const LinkFaults goodLinks{};
const LinkFaults badLinks{0.01, 0.02, 0.02, 0.01, 0.01};

struct FaultCase
{
    std::string name;
    std::vector<Fault> kinds;
    LinkFaults links;
};

auto faultCases() -> std::vector<FaultCase>
{
    return {
        {"links", {Fault::OwnerChange}, badLinks},
        {"grantor_lost", {Fault::GrantorLost}, goodLinks},
        {"takeover", {Fault::TakeOver}, goodLinks},
        {"standby_lost", {Fault::StandbyLost}, goodLinks},
        {"mirror_cut", {Fault::MirrorCut}, goodLinks},
        {"owner_change", {Fault::OwnerChange}, goodLinks},
        {"owner_bounce", {Fault::OwnerBounce}, goodLinks},
        {"standby_swap", {Fault::StandbySwap}, goodLinks},
        {"upstream_restart", {Fault::UpstreamRestart}, goodLinks},
        {"upstream_lost", {Fault::UpstreamLost}, goodLinks},
        {"upstream_frozen", {Fault::UpstreamFrozen}, goodLinks},
        {"all",
         {Fault::GrantorLost, Fault::TakeOver, Fault::StandbyLost, Fault::MirrorCut,
          Fault::OwnerChange, Fault::OwnerBounce, Fault::StandbySwap, Fault::UpstreamRestart,
          Fault::UpstreamLost, Fault::UpstreamFrozen},
         badLinks},
    };
}

} // namespace

SCENARIO("RequestRouter and Dispatcher keep their guarantees under every fault", "[faults]")
{
    for (const auto &fault : faultCases()) {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            GIVEN("a cell with the fault " << fault.name << ", seed " << seed)
            {
                FaultyCell faulty(seed, fault.kinds, fault.links);
                faulty.printResult(fault.name, seed);
                THEN("no request runs twice, runs although refused, or ends wrongly, late or not "
                     "at all")
                {
                    CHECK(faulty.check() == Violations{});
                    CHECK(faulty.answeredShare() > 0.5);
                }
            }
        }
    }
}
