#pragma once

#include "dispatch/types/permits.h"

namespace gooseberrywall {

/// The request limit of one upstream, from what its answers state. Answers to requests that were at
/// the upstream together may arrive in any order, so only the answer to a request that was sent
/// after a limit became known ends that limit.
class StatedRequestLimit
{
public:
    /// @param sentAt when the request was sent whose answer states the limit
    auto onStated(RequestLimit stated, Instant sentAt, Instant now) -> void
    {
        if (stated.isLimited()) {
            this->limit = stated;
            this->limitedAt = now;
        } else if (sentAt >= this->limitedAt) {
            this->limit = stated;
        }
    }

    [[nodiscard]] auto value() const -> RequestLimit { return this->limit; }
    /// @returns when a limit was last stated
    [[nodiscard]] auto statedAt() const -> Instant { return this->limitedAt; }

private:
    RequestLimit limit;
    Instant limitedAt{};
};

} // namespace gooseberrywall
