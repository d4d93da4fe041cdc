#include "entry/directchoice.h"
#include "entry/tests/requestflowfixture.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
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

// Guards against crashes that nobody counts: of requests without a permit, or whose grantor is lost
// with its count.
SCENARIO("RequestFlow: given attempts with and without a permit, the end of each is passed on",
         "[entry][quarantine]")
{
    const RequestFingerprint fingerprint{9};
    GIVEN("a permit")
    {
        RequestFlowFixture fixture;
        fixture.begin(false);
        fixture.grant("u", Incarnation{4});
        fixture.end(AttemptEnd::NoAnswer);
        CHECK(fixture.ended
              == std::vector{EndedAttempt{service, fingerprint, UpstreamId{"u"}, Incarnation{4},
                                          AttemptEnd::NoAnswer}});
    }
    GIVEN("a grantor that doesn't answer")
    {
        RequestFlowFixture fixture;
        UpstreamEntry entry;
        entry.id = UpstreamId{"u"};
        entry.service = service;
        entry.address = Address{"10.1.0.1:80"};
        entry.incarnation = Incarnation{5};
        fixture.direct.setUpstreams({entry}, fixture.now);
        fixture.begin(false);
        fixture.advance(milliseconds{200});
        REQUIRE(fixture.count<FlowSend>() == 1);
        fixture.end(AttemptEnd::NoAnswer);
        CHECK(fixture.ended
              == std::vector{EndedAttempt{service, fingerprint, UpstreamId{"u"}, Incarnation{5},
                                          AttemptEnd::NoAnswer}});
    }
}
