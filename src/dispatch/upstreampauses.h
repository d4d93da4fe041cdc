#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstddef>
#include <unordered_map>

namespace gooseberrywall {

/// The entry daemons that one upstream wants no requests from for a time. After a pause an entry
/// daemon gets one permit, and twice as many with each answer, as the upstream may still reject all
/// that have waited.
class UpstreamPauses
{
public:
    /// Takes in a pause. Of several, the one that ends last counts: answers may overtake each
    /// other, and the upstream expects each pause to be kept.
    /// @param isForwarded another daemon, for which the pause is stated, too, forwarded the request
    auto onStated(const Address &entry, Duration pause, bool isForwarded, Instant now) -> void;
    /// Counts a permit for the upstream.
    auto onGranted(const Address &entry) -> void;
    /// Counts a permit that has been returned or has expired.
    /// @param grantedAt when the permit was granted
    auto onReturned(const Address &entry, Instant grantedAt) -> void;
    /// Takes in that the upstream has served a request.
    /// @param grantedAt when its permit was granted
    auto onServed(const Address &entry, Instant grantedAt) -> void;
    /// Drops pauses that have ended for long enough.
    auto advance(Instant now) -> void;

    /// @returns whether the entry daemon may get a permit now
    [[nodiscard]] auto allows(const Address &entry, Instant now) const -> bool;
    /// @returns the time until the entry daemon's pause ends; zero where it has none
    [[nodiscard]] auto remaining(const Address &entry, Instant now) const -> Duration;
    /// @returns the number of daemons with a pause that have sent requests to the upstream
    /// themselves
    [[nodiscard]] auto count(Instant now) const -> std::size_t;

private:
    struct Pause
    {
        Instant endsAt;
        bool isForwarded = false;
        /// Permits granted since the pause ended, and how many may be out at once.
        int inFlight = 0;
        int allowance = 1;
    };

    /// @returns the pause if it had ended when the permit was granted; nullptr otherwise
    [[nodiscard]] auto endedBefore(const Address &entry, Instant grantedAt) -> Pause *;

    std::unordered_map<Address, Pause> pauses;
};

} // namespace gooseberrywall
