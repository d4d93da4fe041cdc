#pragma once

#include <cstdint>

namespace gooseberrywall {

/// Whether an answer hints that its upstream is about to stop. An upstream that leaves gives the
/// hint with each answer; others do so now and then.
enum class LeaveHint : std::uint8_t {
    /// There was no answer, or the daemon that got it doesn't tell.
    Unknown,
    Stays,
    MayLeave,
};

} // namespace gooseberrywall
