#pragma once

#include "common/types/instant.h"

namespace gooseberrywall {

/// Reduces the slots that one upstream is assumed to have, where it pauses so many entry daemons
/// that its stated number of slots can't be right. The assumed share halves with each such sign and
/// recovers gradually.
class SlotReduction
{
public:
    /// Takes in that the upstream pauses a large part of the entry daemons.
    /// @param grantedAt when the permit was granted whose request was rejected; one of before the
    ///        last reduction tells nothing about the reduced number
    auto onOverload(Instant grantedAt, Instant now) -> void;

    /// @returns the number of slots to use; one at least
    [[nodiscard]] auto slotsOf(int stated, Instant now) const -> int;
    [[nodiscard]] auto isReduced(Instant now) const -> bool { return this->shareAt(now) < 1; }

private:
    [[nodiscard]] auto shareAt(Instant now) const -> double;

    double share = 1;
    Instant reducedAt{};
};

} // namespace gooseberrywall
