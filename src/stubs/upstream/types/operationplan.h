#pragma once

#include "common/types/instant.h"

#include <cstddef>
#include <optional>
#include <string_view>

namespace gooseberrywall {

/// Behaviour of a run, as encoded in the name of its operation:
/// - `sleep-MS` takes MS milliseconds of service time;
/// - `crash` and `crash-MS` crash the upstream, at once or after MS milliseconds;
/// - `large-KIB` answers with KIB kibibytes;
/// - all other operations take the configured service time.
struct OperationPlan
{
    /// Without a value, the configured service time applies.
    std::optional<Duration> serviceTime;
    bool crashes = false;
    /// Minimum size of the answer's body.
    std::size_t answerBytes = 0;

    auto operator==(const OperationPlan &) const -> bool = default;
};

/// @param operation the operation's name
/// @returns its plan; the default plan for names of another form or with a number over 1000000
[[nodiscard]] auto planOf(std::string_view operation) -> OperationPlan;

} // namespace gooseberrywall
