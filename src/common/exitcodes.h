#pragma once

namespace gooseberrywall {

/// Exit codes of the long-running programs and the test tools.
inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1;
/// Wrong options or settings; nothing was started.
inline constexpr int exitUsage = 2;

} // namespace gooseberrywall
