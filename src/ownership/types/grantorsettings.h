#pragma once

#include "common/types/instant.h"

namespace gooseberrywall {

/// Times of a grantor; docs/design/ownership.md says how they depend on each other.
struct GrantorSettings
{
    /// Time between renewals of the grants of one upstream.
    Duration renewInterval = std::chrono::milliseconds{350};
    /// Time before the next call to an upstream after a failed one.
    Duration retryInterval = std::chrono::milliseconds{100};
    /// Timeout of a batch of grants; revocations have the service's drain timeout on top.
    Duration callTimeout = std::chrono::milliseconds{350};
    /// An upstream that hasn't answered for this time is reported as unreachable.
    Duration unreachableAfter = std::chrono::milliseconds{1500};
    /// Time between reports to the coordinator, which are repeated until the record reflects them.
    Duration reportInterval = std::chrono::milliseconds{100};
    /// A longer gap between two steps of the grantor counts as a pause of the process.
    Duration pauseThreshold = std::chrono::milliseconds{250};
    /// Time between requests for authority, if a service needs the coordinator's answers.
    Duration authorityInterval = std::chrono::milliseconds{500};

    auto operator==(const GrantorSettings &) const -> bool = default;
};

} // namespace gooseberrywall
