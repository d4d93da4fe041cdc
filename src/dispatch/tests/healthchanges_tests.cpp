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

SCENARIO("HealthChanges: given successive statuses, each change is returned once",
         "[healthchanges]")
{
    HealthChanges changes;
    GIVEN("two upstreams whose joining has been returned")
    {
        CHECK(changes.update({upstream("a", true), upstream("b", true)})
              == std::vector{HealthChange{Kind::Joined, upstream("a", true)},
                             HealthChange{Kind::Joined, upstream("b", true)}});
        THEN("nothing is returned while they stay the same")
        {
            CHECK(changes.update({upstream("a", true), upstream("b", true)}).empty());
        }
        THEN("the departure of one and each change of the other are returned once")
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
