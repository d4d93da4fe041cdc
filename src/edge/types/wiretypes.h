#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "dispatch/types/permits.h"

#include <optional>
#include <string>

namespace gooseberrywall {

/// What a caller's request says of itself in headers.
struct CallerFields
{
    /// The caller's id of this attempt; empty where it gave none.
    RequestId id;
    /// How long the caller waits.
    std::optional<Duration> timeout;
    std::optional<KeyPosition> key;
    auto operator==(const CallerFields &) const -> bool = default;
};

/// What an upstream's answer says of the attempt.
struct AnswerFields
{
    AttemptEnd end = AttemptEnd::NoAnswer;
    std::optional<ReportedLoad> load;
    auto operator==(const AnswerFields &) const -> bool = default;
};

/// A call of the store or an upstream as an HTTP message.
struct WireCall
{
    std::string method;
    std::string target;
    std::string body;
    auto operator==(const WireCall &) const -> bool = default;
};

} // namespace gooseberrywall
