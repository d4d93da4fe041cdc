#include "dispatch/healthchanges.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using Kind = HealthChange::Kind;

namespace {

auto upstream(const std::string &id, bool isUsable) -> UpstreamStatus
{
    UpstreamStatus result;
    result.id = UpstreamId{id};
    result.isUsable = isUsable;
    return result;
}

} // namespace

SCENARIO("HealthChanges tells each change of an upstream once", "[healthchanges]")
{
    HealthChanges changes;
    GIVEN("two upstreams that have been told")
    {
        CHECK(changes.update({upstream("a", true), upstream("b", true)})
              == std::vector{HealthChange{Kind::Joined, upstream("a", true)},
                             HealthChange{Kind::Joined, upstream("b", true)}});
        THEN("nothing is told while they stay the same")
        {
            CHECK(changes.update({upstream("a", true), upstream("b", true)}).empty());
        }
        THEN("the loss of one and the trouble of the other are told once")
        {
            CHECK(changes.update({upstream("b", false)})
                  == std::vector{HealthChange{Kind::Unusable, upstream("b", false)},
                                 HealthChange{Kind::Gone, upstream("a", true)}});
            CHECK(changes.update({upstream("b", false)}).empty());
            CHECK(changes.update({upstream("b", true)})
                  == std::vector{HealthChange{Kind::Usable, upstream("b", true)}});
        }
    }
}
