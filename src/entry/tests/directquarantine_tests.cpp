#include "entry/directchoice.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::seconds;

// Guards against a request that crashes upstreams and is sent without a permit while its service
// has no grantor.
SCENARIO("DirectChoice: given a quarantined request, it is refused", "[entry][quarantine]")
{
    const Instant start{seconds{100}};
    constexpr std::uint64_t crashingPrint = 7;
    UpstreamStatements statements{UpstreamStatementSettings{}};
    DirectChoice direct(1, statements, [](const PermitRequest &request) {
        return request.fingerprint == crashingPrint;
    });
    UpstreamEntry entry;
    entry.id = UpstreamId{"u"};
    entry.service = ServiceName{"service"};
    direct.setUpstreams({entry}, start);
    PermitRequest request;
    request.service = entry.service;
    request.fingerprint = crashingPrint;
    for (const auto isTrusted : {false, true}) {
        direct.setTrusted(isTrusted);
        const auto verdict = direct.choose(request, start);
        REQUIRE(verdict);
        CHECK(verdict->kind == PermitVerdict::Kind::Refused);
        CHECK(verdict->reason == Reason::Quarantined);
        CHECK(verdict->retryAfter > Duration{0});
    }
    request.fingerprint = crashingPrint + 1;
    const auto verdict = direct.choose(request, start);
    REQUIRE(verdict);
    CHECK(verdict->kind == PermitVerdict::Kind::Granted);
}
