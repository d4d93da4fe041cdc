#pragma once

#include "common/types/instant.h"

namespace gooseberrywall {

/// Mean number of requests at an upstream over about the last 10 s, weighted by time.
class UtilisationAverage
{
public:
    /// @param requests number of requests at the upstream from now on
    auto onChange(int requests, Instant now) -> void;
    [[nodiscard]] auto mean(Instant now) const -> double;

private:
    double meanAtUpdate = 0;
    int requests = 0;
    Instant updatedAt{};
};

} // namespace gooseberrywall
