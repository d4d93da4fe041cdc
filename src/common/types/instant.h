#pragma once

#include <chrono>
#include <cstdint>

namespace gooseberrywall {

/// A span of time; the resolution of every timer, deadline and time to live is one microsecond.
using Duration = std::chrono::microseconds;

/// The clock of one process: monotonic, without relation to any other process's clock.
/// The core never reads it: its owner passes the time in.
struct ProcessClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<ProcessClock, Duration>;
};

/// A moment on a process's own monotonic clock.
using Instant = ProcessClock::time_point;

/// The monotonic clock of an upstream, which its answers state.
struct UpstreamClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<UpstreamClock, Duration>;
};
/// A moment on an upstream's own monotonic clock.
using UpstreamInstant = UpstreamClock::time_point;

/// Milliseconds since the Unix epoch; only used to compare the time of issue in UUIDv7 request ids.
using UnixMillis = std::int64_t;

} // namespace gooseberrywall
