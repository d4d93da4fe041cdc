#include "requests/requestrouter.h"

#include <catch2/catch.hpp>

#include <chrono>

using namespace gooseberrywall;

namespace {

constexpr auto start = Instant{std::chrono::seconds{100}};

/// A table in which the only shard of a service has no owner.
auto tableWithoutOwner() -> TablePointer
{
    CellRecord record;
    record.version = {1};
    record.services = {{{"fitment"}, 1}};
    record.shards = {{{{"fitment"}, 0}, ShardStage::Unowned, {}, {}, {}, {}}};
    return std::make_shared<const Table>(std::move(record));
}

auto policy() -> ServicePolicy
{
    ServicePolicy made;
    made.service = {"fitment"};
    made.bodyLimitBytes = 10;
    return made;
}

auto request(bool resend, const std::string &body) -> Request
{
    Request made;
    made.id = {"r1"};
    made.caller = {"shop"};
    made.service = {"fitment"};
    made.key = {"ring"};
    made.idempotent = false;
    made.resend = resend;
    made.deadline = start + std::chrono::seconds{1};
    made.body = body;
    return made;
}

/// Sends one request and lets its deadline pass.
auto endOf(RequestRouter &router, Request sent) -> RequestEnd
{
    Outbox out;
    router.onRequest(start, {1}, std::move(sent), out);
    for (auto now = start; now < start + std::chrono::seconds{2};
         now += std::chrono::milliseconds{10}) {
        router.tick(now, out);
    }
    REQUIRE(out.callerSends.size() == 1);
    return out.callerSends.front().end;
}

} // namespace

SCENARIO("RequestRouter refuses only requests that certainly didn't run", "[requestrouter]")
{
    GIVEN("a router")
    {
        Counters counters;
        EventRing events;
        RequestRouter router({{"d1"}, {1}, {"north-1"}, {"127.0.0.1:1"}}, {}, counters, events, 1);
        Outbox out;
        WHEN("the operators' document hasn't arrived yet")
        {
            router.onTable(start, tableWithoutOwner(), out);
            THEN("a request is refused as not ready, not for an unknown service")
            {
                CHECK(endOf(router, request(false, "body")).reason == Reason::NotReady);
            }
        }
        WHEN("the document has arrived and the shard has no owner")
        {
            router.onTable(start, tableWithoutOwner(), out);
            router.onPolicies({policy()});
            THEN("a first sending is refused")
            {
                CHECK(endOf(router, request(false, "body")).kind == EndKind::Refused);
            }
            AND_THEN("a resend ends as unknown, since its first sending may have run")
            {
                CHECK(endOf(router, request(true, "body")).kind == EndKind::Unknown);
            }
            AND_THEN("a body over the service's limit is refused at once")
            {
                const auto end = endOf(router, request(false, std::string(11, 'x')));
                CHECK(end.kind == EndKind::Refused);
                CHECK(end.reason == Reason::BodyTooLarge);
            }
        }
    }
}
