#include "callerapi/callerwire.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace gooseberrywall;

namespace {

auto post(const std::string &path, std::vector<HttpHeader> headers) -> ServerRequest
{
    return {{1}, "POST", path, "", std::move(headers), "body"};
}

struct BadCall
{
    std::string name;
    ServerRequest http;
    int status;
};

} // namespace

SCENARIO("CallerWire: calls are read completely or refused", "[callerwire]")
{
    GIVEN("a reservation with all headers")
    {
        const auto http = post("/v1/services/stockdesk/keys/ring%2F24",
                               {{"X-Request-Id", "0190a5b8-7c00-7000-8000-000000000001"},
                                {"x-caller", "shop-1"},
                                {"X-Operation", "reserve"},
                                {"X-Deadline-Ms", "250"},
                                {"X-Idempotent", "false"},
                                {"X-Resend", "true"},
                                {"X-Size-Hint", "long"}});
        WHEN("it is read")
        {
            const auto call = readCallerCall(http, {"fallback"});
            THEN("the call has all values, and the time of issue from the request id")
            {
                const auto *run = std::get_if<RunCall>(&call);
                REQUIRE(run != nullptr);
                CHECK(run->request.key == Key{"ring/24"});
                CHECK(run->request.caller == CallerId{"shop-1"});
                CHECK_FALSE(run->request.idempotent);
                CHECK(run->request.resend);
                CHECK(run->request.sizeHint == SizeHint::Long);
                CHECK(run->timeout == Duration{std::chrono::milliseconds{250}});
                CHECK(run->request.issuedAt == UnixMillis{0x0190a5b87c00});
                CHECK(run->request.body == "body");
            }
        }
    }
    GIVEN("calls that the interface doesn't accept")
    {
        const HttpHeader idempotent{"X-Idempotent", "true"};
        const std::vector<BadCall> calls{
            {"idempotence is missing", post("/v1/services/a/keys/b", {}), 400},
            {"request id is missing", post("/v1/services/a/keys/b", {{"X-Idempotent", "false"}}),
             400},
            {"bad key", post("/v1/services/a/keys/%zz", {idempotent}), 400},
            {"empty key", post("/v1/services/a/keys/", {idempotent}), 400},
            {"long key", post("/v1/services/a/keys/" + std::string(2000, 'k'), {idempotent}), 400},
            {"bad deadline", post("/v1/services/a/keys/b", {idempotent, {"X-Deadline-Ms", "-1"}}),
             400},
            {"bad hint", post("/v1/services/a/keys/b", {idempotent, {"X-Size-Hint", "big"}}), 400},
            {"bad caller", post("/v1/services/a/keys/b", {idempotent, {"X-Caller", "a b"}}), 400},
            {"other path", post("/v1/somewhere", {idempotent}), 404},
            {"other method", {{1}, "GET", "/v1/services/a/keys/b", "", {idempotent}, ""}, 405},
            {"outcome without key", {{1}, "GET", "/v1/outcomes/x", "service=a", {}, ""}, 400},
        };
        for (const auto &bad : calls) {
            THEN("it is refused: " + bad.name)
            {
                const auto call = readCallerCall(bad.http, {"fallback"});
                const auto *refused = std::get_if<MalformedCall>(&call);
                REQUIRE(refused != nullptr);
                CHECK(refused->status == bad.status);
            }
        }
    }
    GIVEN("arbitrary paths, headers and queries")
    {
        const auto holds = rc::check("a call that is read has a key and an id", [] {
            const auto any = [] { return *rc::gen::arbitrary<std::string>(); };
            ServerRequest http{
                {1},
                *rc::gen::element<std::string>("GET", "POST"),
                "/v1/" + *rc::gen::element<std::string>("services/a/keys/", "outcomes/") + any(),
                any(),
                {{"X-Idempotent", "true"}, {any(), any()}},
                any()};
            const auto call = readCallerCall(http, {"fallback"});
            if (const auto *run = std::get_if<RunCall>(&call)) {
                RC_ASSERT(!run->request.key.empty());
                RC_ASSERT(!run->request.id.empty());
            }
        });
        THEN("each is refused, or read as a call with a key and an id")
        {
            CHECK(holds);
        }
    }
}

SCENARIO("CallerWire: replies tell refusals, unknown outcomes and answers apart", "[callerwire]")
{
    GIVEN("each reason as a refusal and as an unknown outcome")
    {
        THEN("a refusal never looks like an answer, and an unknown outcome never like a refusal")
        {
            for (int number = 1; number < reasonCount; ++number) {
                const auto reason = static_cast<Reason>(number);
                const auto refused =
                    toServerReply({1}, RequestEnd::refused(reason, Duration{1500}));
                CHECK(refused.headers[0] == HttpHeader{"X-End", "refused"});
                CHECK(refused.headers[2] == HttpHeader{"Retry-After-Ms", "2"});
                CHECK(refused.status >= 400);
                CHECK(refused.status != 504);
                const auto unknown = toServerReply({1}, RequestEnd::unknown(reason));
                CHECK(unknown.headers[0] == HttpHeader{"X-End", "unknown"});
                CHECK(unknown.status == 504);
            }
        }
    }
}
