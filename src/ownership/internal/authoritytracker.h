#pragma once

#include "common/types/instant.h"
#include "protocol/types/peermessages.h"

#include <map>
#include <optional>

namespace gooseberrywall {

/// Schedules a grantor's requests for authority and tracks for how long it is given.
class AuthorityTracker
{
public:
    explicit AuthorityTracker(Duration requestInterval);

    /// @returns the sequence number of the request to send now; nothing while none is due
    auto nextRequest(Instant now) -> std::optional<std::uint64_t>;

    /// @returns when the answered request was sent; nothing if no request with that sequence
    ///          number is open
    auto onAnswer(const AuthorityAnswer &answer) -> std::optional<Instant>;

    /// Discards the authority and all open requests. To be called after a pause of the process, so
    /// that only answers to later requests count.
    auto reset() -> void;

    /// @returns whether the last answered request was sent less than `maximumAge` ago and the
    ///          coordinator's answer is still valid
    [[nodiscard]] auto isConfirmed(Instant now, Duration maximumAge) const -> bool;

private:
    Duration requestInterval;
    std::uint64_t lastSequence = 0;
    std::optional<Instant> lastRequestAt;
    std::map<std::uint64_t, Instant> openRequests;
    std::optional<Instant> confirmedRequestSentAt;
    Instant validUntil{};
};

} // namespace gooseberrywall
