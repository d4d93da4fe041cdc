#pragma once

#include <cstdint>

namespace gooseberrywall {

/// Whether an answer hints that its upstream is about to stop. An upstream that leaves gives the
/// hint with each answer; others do so now and then.
enum class LeaveHint : std::uint8_t {
    /// There was no answer, or the daemon that got it doesn't tell.
    Unknown,
    /// The connection is kept open: the upstream didn't leave when it answered.
    Stays,
    /// The connection is closed after the answer.
    MayLeave,
};

} // namespace gooseberrywall
