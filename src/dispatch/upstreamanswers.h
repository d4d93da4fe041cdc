#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <optional>

namespace gooseberrywall {

/// The last answers of one upstream to two different daemons. A failure that one daemon reports
/// tells little about an upstream that answers another.
class UpstreamAnswers
{
public:
    struct Answer
    {
        /// The daemon that sent the request to the upstream.
        Address daemon;
        /// When the request's permit was granted.
        Instant grantedAt;
        Instant reportedAt;
        auto operator==(const Answer &) const -> bool = default;
    };

    auto onAnswered(Answer answer) -> void;
    /// @returns the last answer to another daemon; nullptr where there was none
    [[nodiscard]] auto lastToOther(const Address &daemon) const -> const Answer *;

private:
    std::optional<Answer> last;
    /// The last answer to another daemon than the one of `last`.
    std::optional<Answer> lastToAnother;
};

} // namespace gooseberrywall
