#pragma once

namespace gooseberrywall {

/// How the project's long-running programs and its test tools end.
inline constexpr int exitOk = 0;
inline constexpr int exitFailed = 1;
/// Wrong options or settings; nothing was started.
inline constexpr int exitUsage = 2;

} // namespace gooseberrywall
