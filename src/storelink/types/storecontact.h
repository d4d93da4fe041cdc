#pragma once

#include "common/types/instant.h"

namespace gooseberrywall {

/// Whether a daemon reaches the store.
struct StoreContact
{
    /// When the last call was sent that the store has answered.
    Instant lastAt{};
    /// A later call has failed, or waits for its answer. Without one, the daemon hasn't tried.
    bool isUnanswered = false;
    auto operator==(const StoreContact &) const -> bool = default;
};

} // namespace gooseberrywall
