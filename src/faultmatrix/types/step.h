#pragma once

#include "common/types/instant.h"

#include <cstdint>
#include <string>

namespace gooseberrywall {

enum class StepTarget : std::uint8_t { Peer, Store, Upstream };

/// One message or call that a daemon sends.
struct Step
{
    /// Counted from the start of the scenario's window, without background traffic.
    std::uint64_t number = 0;
    Instant at{};
    StepTarget target = StepTarget::Peer;
    /// The step's name, such as "peer ForwardRequest" or "store write record".
    std::string what;
    std::string from;
    std::string to;
    auto operator==(const Step &) const -> bool = default;
};

} // namespace gooseberrywall
