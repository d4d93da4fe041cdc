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
    GIVEN("an upstream that names a request limit")
    {
        auto limited = upstream("a", true);
        limited.requestLimit = RequestLimit{10};
        CHECK(changes.update({limited})
              == std::vector{HealthChange{Kind::Joined, limited},
                             HealthChange{Kind::Limited, limited}});
        THEN("only a clearly different limit is a change")
        {
            limited.requestLimit = RequestLimit{10.5};
            CHECK(changes.update({limited}).empty());
            limited.requestLimit = RequestLimit{5};
            CHECK(changes.update({limited}) == std::vector{HealthChange{Kind::Limited, limited}});
        }
        THEN("the end of the limit is returned once")
        {
            CHECK(changes.update({upstream("a", true)})
                  == std::vector{HealthChange{Kind::Unlimited, upstream("a", true)}});
            CHECK(changes.update({upstream("a", true)}).empty());
        }
        THEN("grants clearly above the limit are returned once")
        {
            limited.grantedPerSecond = 17.5;
            CHECK(changes.update({limited}) == std::vector{HealthChange{Kind::OverLimit, limited}});
            CHECK(changes.update({limited}).empty());
        }
    }
}
