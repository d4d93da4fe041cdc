#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// How a call of the load tool ended.
enum class CallEndKind : std::uint8_t {
    /// The answer to this request.
    Answer,
    /// An answer to another request, or a malformed one.
    WrongAnswer,
    /// The server refused the request without running it.
    Refused,
    /// The server reported that the outcome is unknown.
    Unknown,
    /// No connection to the server; nothing was sent.
    NotSent,
    /// The connection broke or the timeout passed after sending.
    NoAnswer,
};

inline constexpr int callEndKinds = static_cast<int>(CallEndKind::NoAnswer) + 1;

/// @returns the name of the kind in reports, such as "refused"
[[nodiscard]] auto toString(CallEndKind kind) -> std::string_view;

/// The end of one call.
struct CallEnd
{
    CallEndKind kind = CallEndKind::NoAnswer;
    /// The server's reason; empty for answers.
    std::string reason;

    auto operator==(const CallEnd &) const -> bool = default;
};

} // namespace gooseberrywall
