#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <deque>
#include <unordered_set>

namespace gooseberrywall {

/// Remembers recent attempts, so that a message that arrives twice, or after its cancellation, is
/// ignored. Bounded in number and time.
class SeenAttempts
{
public:
    /// @returns whether the attempt is new
    auto insert(Instant now, AttemptId attempt) -> bool;

    auto expire(Instant now) -> void;

private:
    struct Seen
    {
        Instant at{};
        AttemptId attempt;
    };

    std::unordered_set<AttemptId> attempts;
    std::deque<Seen> byAge;
};

} // namespace gooseberrywall
