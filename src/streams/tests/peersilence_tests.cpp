#include "streams/peersilence.h"

#include <catch2/catch.hpp>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration limit = seconds{2};
constexpr Duration step = milliseconds{500};

auto inFlight() -> SendQueueState
{
    SendQueueState state;
    state.acknowledgedBytes = 1000;
    state.queuedBytes = 5000;
    state.unacknowledgedSegments = 4;
    return state;
}

/// @returns after how long the peer counts as silent while the state stays the same; empty if it
///          doesn't within a minute
auto silentAfter(const SendQueueState &state, Duration interval = step) -> std::optional<Duration>
{
    PeerSilence silence(limit);
    const Instant start{};
    for (auto elapsed = Duration{0}; elapsed <= std::chrono::minutes{1}; elapsed += interval) {
        if (silence.observe(state, start + elapsed)) {
            return elapsed;
        }
    }
    return std::nullopt;
}

} // namespace

SCENARIO("PeerSilence: given a closed window, the peer isn't silent", "[streams]")
{
    // Guards against connections of callers and upstreams that are cut since they read slowly.
    SendQueueState state;
    state.acknowledgedBytes = 1000;
    state.queuedBytes = 5000;
    CHECK_FALSE(silentAfter(state));
    GIVEN("a buffer so full that the peer drops segments and acknowledges them again")
    {
        state.unacknowledgedSegments = 1;
        state.isLastSegmentAnswered = true;
        CHECK_FALSE(silentAfter(state));
    }
}

SCENARIO("PeerSilence: given sent bytes without an acknowledgement, the peer is silent",
         "[streams]")
{
    // Guards against connections over a broken path that hold requests until their deadline.
    auto state = inFlight();
    CHECK(silentAfter(state) == limit);
    GIVEN("a kernel that tells when it received the last acknowledgement")
    {
        state.isLastSegmentAnswered = false;
        CHECK(silentAfter(state) == limit);
    }
    GIVEN("a window that was closed before the path broke")
    {
        state.unacknowledgedSegments = 0;
        state.unansweredProbes = 1;
        CHECK(silentAfter(state) == limit);
    }
}

SCENARIO("PeerSilence: given acknowledgements from time to time, the peer isn't silent",
         "[streams]")
{
    // Guards against a lossy path that is taken for a broken one.
    PeerSilence silence(limit);
    auto state = inFlight();
    Instant moment{};
    for (auto count = 0; count < 100; ++count) {
        CHECK_FALSE(silence.observe(state, moment));
        moment += step;
        state.acknowledgedBytes += count % 3 == 0 ? 100 : 0;
    }
}

SCENARIO("PeerSilence: given a process that was suspended, its peer gets time to be heard",
         "[streams]")
{
    // Guards against all connections that are ended when a frozen VM wakes up.
    PeerSilence silence(limit);
    CHECK_FALSE(silence.observe(inFlight(), Instant{}));
    CHECK_FALSE(silence.observe(inFlight(), Instant{} + seconds{30}));
}
