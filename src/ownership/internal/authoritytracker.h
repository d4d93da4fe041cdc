#pragma once

#include "common/types/instant.h"
#include "protocol/types/peermessages.h"

#include <map>
#include <optional>

namespace gooseberrywall {

/// Asks the coordinator for authority and remembers for how long it was given.
class AuthorityTracker
{
public:
    explicit AuthorityTracker(Duration interval);

    /// @returns the sequence of the request to send now; nothing while none is due
    auto nextRequest(Instant now) -> std::optional<std::uint64_t>;

    /// @returns when the answered request was sent; nothing for an unknown or repeated answer
    auto onAnswer(const AuthorityAnswer &answer) -> std::optional<Instant>;

    /// After a pause only requests sent from now on count.
    auto reset() -> void;

    /// @returns whether a request sent within the last `bound` was answered, for as long as the
    ///          coordinator allowed
    [[nodiscard]] auto isConfirmed(Instant now, Duration maximumAge) const -> bool;

private:
    Duration interval;
    std::uint64_t lastSequence = 0;
    std::optional<Instant> lastRequestAt;
    std::map<std::uint64_t, Instant> openRequests;
    std::optional<Instant> confirmedRequestSentAt;
    Instant validUntil{};
};

} // namespace gooseberrywall
