#include "dispatch/entrypaths.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const Instant start{seconds{100}};
const Address asking{"10.9.0.1:7000"};
const Address near{"10.9.0.2:7000"};
const Address far{"10.9.0.3:7000"};
const UpstreamProcess first{UpstreamId{"a"}, Incarnation{1}};
const UpstreamProcess second{UpstreamId{"b"}, Incarnation{1}};
using FailureKind = EntryPaths::FailureKind;
using ForwarderFit = EntryPaths::ForwarderFit;

auto request(const Address &entry, std::uint64_t sequence, bool isIsolated) -> PermitRequest
{
    PermitRequest result;
    result.id = PermitId{entry, 1, sequence};
    result.domain = FailureDomain{entry == far ? "domain-2" : "domain-1"};
    result.isIsolated = isIsolated;
    return result;
}

auto everyone() -> auto
{
    return [](const Address &) { return ForwarderFit::Proven; };
}

/// @returns paths of three daemons, of which an upstream has answered the last two
auto knownPaths(EntryPathsSettings settings = {}) -> EntryPaths
{
    EntryPaths paths(settings);
    for (const auto &daemon : {asking, near, far}) {
        static_cast<void>(paths.onRequest(request(daemon, 1, false), start));
    }
    paths.onAnswered(near, first, start, start);
    paths.onAnswered(far, first, start, start);
    return paths;
}

} // namespace

SCENARIO("EntryPaths: given a path that fails, it is avoided for longer with each failure",
         "[dispatch][lostlinks]")
{
    auto paths = knownPaths();
    paths.onFailed(asking, first, FailureKind::NotSent, {start, start + milliseconds{250}});
    auto now = start + milliseconds{250};
    CHECK_FALSE(paths.reaches(asking, first, now + milliseconds{990}));
    CHECK(paths.reaches(asking, first, now + milliseconds{1010}));
    CHECK(paths.reaches(asking, second, now));
    CHECK(paths.reaches(asking, UpstreamProcess{UpstreamId{"a"}, Incarnation{2}}, now));
    CHECK(paths.reaches(near, first, now));
    WHEN("requests of the same time fail")
    {
        paths.onFailed(asking, first, FailureKind::NotSent, {start, now});
        CHECK(paths.reaches(asking, first, now + milliseconds{1010}));
    }
    WHEN("the path fails again when it is tried again")
    {
        now += seconds{1};
        paths.onFailed(asking, first, FailureKind::NotSent, {now, now});
        CHECK_FALSE(paths.reaches(asking, first, now + milliseconds{1990}));
        CHECK(paths.reaches(asking, first, now + milliseconds{2010}));
        for (auto count = 0; count < 5; ++count) {
            now += seconds{16};
            paths.onFailed(asking, first, FailureKind::NotSent, {now, now});
        }
        THEN("it is tried again after a limited time")
        {
            CHECK_FALSE(paths.reaches(asking, first, now + milliseconds{15990}));
            CHECK(paths.reaches(asking, first, now + milliseconds{16010}));
        }
    }
    WHEN("an older request is answered, and then a newer one")
    {
        paths.onAnswered(asking, first, start - milliseconds{1}, now);
        CHECK_FALSE(paths.reaches(asking, first, now));
        paths.onAnswered(asking, first, now, now + milliseconds{80});
        THEN("the newer answer ends it")
        {
            CHECK(paths.reaches(asking, first, now + milliseconds{80}));
        }
    }
}

SCENARIO("EntryPaths: given requests without an answer, the path is avoided only where the "
         "upstream answers others",
         "[dispatch][lostlinks]")
{
    auto paths = knownPaths();
    const auto now = start + milliseconds{800};
    paths.onFailed(asking, first, FailureKind::UnansweredAlone, {start, now});
    CHECK(paths.reaches(asking, first, now));
    CHECK(paths.hasFailed(asking, now));
    paths.onFailed(asking, second, FailureKind::Unanswered, {start, now});
    paths.onFailed(asking, second, FailureKind::Unanswered, {start, now});
    CHECK(paths.reaches(asking, second, now));
    paths.onFailed(asking, first, FailureKind::UnansweredAlone, {start, now});
    CHECK_FALSE(paths.reaches(asking, first, now));
}

SCENARIO("EntryPaths: given a daemon that states that it is isolated, it reaches no upstream until "
         "it states otherwise",
         "[dispatch][lostlinks]")
{
    auto paths = knownPaths();
    CHECK(paths.onRequest(request(asking, 3, true), start));
    CHECK_FALSE(paths.onRequest(request(asking, 4, true), start));
    CHECK(paths.isIsolated(asking));
    CHECK_FALSE(paths.reaches(asking, first, start));
    CHECK(paths.isolatedCount() == 1);
    GIVEN("a request of before that arrives later")
    {
        CHECK_FALSE(paths.onRequest(request(asking, 2, false), start));
        CHECK(paths.isIsolated(asking));
    }
    GIVEN("a later request that doesn't state it")
    {
        paths.onFailed(asking, first, FailureKind::NotSent, {start, start});
        CHECK_FALSE(paths.onRequest(request(asking, 5, false), start));
        THEN("its earlier failures don't count any more")
        {
            CHECK_FALSE(paths.isIsolated(asking));
            CHECK(paths.reaches(asking, first, start));
            CHECK_FALSE(paths.hasFailed(asking, start));
        }
    }
}

SCENARIO("EntryPaths: given daemons that upstreams answer, a near one with few requests forwards",
         "[dispatch][lostlinks]")
{
    EntryPathsSettings settings;
    settings.forwarderLimit = 2;
    auto paths = knownPaths(settings);
    const auto choose = [&](const UpstreamProcess &upstream, Instant now) {
        return paths.chooseForwarder(asking, upstream, everyone(), now);
    };
    CHECK(choose(first, start) == near);
    CHECK(paths.chooseForwarder(near, first, everyone(), start) == far);
    const auto fitWithNear = [](ForwarderFit ofNear) {
        return [ofNear](const Address &daemon) {
            return daemon == near ? ofNear : ForwarderFit::Proven;
        };
    };
    CHECK(paths.chooseForwarder(asking, first, fitWithNear(ForwarderFit::None), start) == far);
    CHECK(paths.chooseForwarder(asking, first, fitWithNear(ForwarderFit::Unknown), start) == far);
    GIVEN("a near daemon that forwards as many as it may")
    {
        paths.onForwardingStart(near, start);
        CHECK(choose(first, start) == near);
        paths.onForwardingStart(near, start);
        CHECK(choose(first, start) == far);
        paths.onForwardingStart(far, start);
        paths.onForwardingStart(far, start);
        CHECK(choose(first, start).empty());
        CHECK_FALSE(paths.hasForwarder(asking));
        CHECK(paths.mayGetForwarder(asking, start));
        THEN("it forwards again when one of them has ended")
        {
            paths.onForwardingEnd(near, start);
            CHECK(choose(first, start) == near);
        }
    }
    GIVEN("a near daemon that forwards far more than one of another domain")
    {
        auto shared = knownPaths();
        for (auto count = 0; count < EntryPathsSettings{}.nearForwarderLead; ++count) {
            shared.onForwardingStart(near, start);
            CHECK(shared.chooseForwarder(asking, first, everyone(), start) == near);
        }
        shared.onForwardingStart(near, start);
        CHECK(shared.chooseForwarder(asking, first, everyone(), start) == far);
        shared.onForwardingStart(far, start);
        CHECK(shared.chooseForwarder(asking, first, everyone(), start) == near);
    }
    GIVEN("a near daemon that doesn't reach the upstream")
    {
        paths.onFailed(near, first, FailureKind::NotSent, {start - milliseconds{1}, start});
        CHECK(choose(first, start) == far);
        CHECK(choose(second, start) == near);
    }
    GIVEN("a near daemon whose last attempts have failed")
    {
        paths.onFailed(near, second, FailureKind::Unanswered, {start + milliseconds{1}, start});
        CHECK(choose(first, start) == far);
    }
    GIVEN("a near daemon that is isolated")
    {
        static_cast<void>(paths.onRequest(request(near, 2, true), start));
        CHECK(choose(first, start) == far);
    }
    GIVEN("a near daemon that didn't forward")
    {
        paths.onForwarderFailed(near, start);
        paths.onAnswered(near, first, start, start + milliseconds{400});
        CHECK(choose(first, start + milliseconds{400}) == far);
        paths.advance(start + milliseconds{510});
        THEN("it may forward again half a second later, if an upstream has answered it meanwhile")
        {
            CHECK(choose(first, start + milliseconds{510}) == near);
        }
    }
    GIVEN("no answers for long")
    {
        paths.advance(start + seconds{11});
        CHECK(choose(first, start + seconds{11}).empty());
        CHECK_FALSE(paths.mayGetForwarder(asking, start + seconds{11}));
    }
}

// Guards against a new grantor, or one of a service with few requests, that knows no daemon that
// has been answered and lets the requests of VMs without links fail.
SCENARIO(
    "EntryPaths: given no daemon that an upstream has answered, one that hasn't failed forwards",
    "[dispatch][lostlinks]")
{
    EntryPaths paths{EntryPathsSettings{}};
    static_cast<void>(paths.onRequest(request(asking, 1, true), start));
    static_cast<void>(paths.onRequest(request(near, 1, false), start));
    const auto choose = [&](Instant now) {
        return paths.chooseForwarder(asking, first, everyone(), now);
    };
    CHECK(choose(start) == near);
    GIVEN("a daemon that an upstream has answered")
    {
        paths.onAnswered(far, first, start, start);
        CHECK(choose(start) == far);
    }
    GIVEN("a failure of the daemon")
    {
        paths.onFailed(near, second, FailureKind::Unanswered, {start, start});
        CHECK(choose(start).empty());
    }
    GIVEN("a daemon that didn't forward")
    {
        paths.onForwarderFailed(near, start);
        paths.advance(start + seconds{1});
        CHECK(choose(start + seconds{1}).empty());
    }
    GIVEN("a daemon that is isolated")
    {
        static_cast<void>(paths.onRequest(request(near, 2, true), start));
        CHECK(choose(start).empty());
    }
    GIVEN("no requests for long")
    {
        paths.advance(start + seconds{11});
        CHECK(choose(start + seconds{11}).empty());
    }
}
