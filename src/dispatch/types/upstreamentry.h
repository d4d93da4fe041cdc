#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstdint>
#include <string>

namespace gooseberrywall {

/// An evacuated upstream serves the keys that it owns for at most this long while they move. With
/// the time until a daemon learns of an evacuation, this stays below the 5 s after which no request
/// may reach the upstream.
inline constexpr Duration evacuatedOwnerTime = std::chrono::milliseconds{2500};

/// An upstream's registration in the store.
struct UpstreamEntry
{
    UpstreamId id;
    ServiceName service;
    Address address;
    FailureDomain domain;
    /// Requests that it can run at once.
    int slots = 1;
    bool isDraining = false;
    /// The store doesn't show it any more, perhaps because of an outage. It may also have left, so
    /// it gets requests only where no other can take them.
    bool isMissing = false;
    /// Time until it has warmed up after its start, counted from the arrival of this entry; it is
    /// slower until then.
    Duration remainingWarmUp{0};
    /// Store revision of the entry that states remainingWarmUp, so that an entry which states the
    /// same time anew differs from the one before; 0 where there is no warm-up.
    std::uint64_t warmUpRevision = 0;
    /// Differs between successive processes with the same id.
    Incarnation incarnation;
    /// The operators evacuate its failure domain: it gets no requests but those for keys that it
    /// owns, see isOwnerServing(), and no further keys. Unlike draining, this can be withdrawn.
    bool isEvacuated = false;
    /// When this daemon learned of that evacuation; earlier where it may have begun before the
    /// daemon's start.
    Instant evacuatedAt{};
    /// When this daemon learned that the last evacuation of the failure domain had ended; the epoch
    /// where it has seen none end, or while the next one lasts.
    Instant evacuationEndedAt{};

    /// @returns whether requests for keys that it owns may be sent to it
    [[nodiscard]] auto isOwnerServing(Instant now) const -> bool
    {
        return !this->isDraining
               && (!this->isEvacuated || now < this->evacuatedAt + evacuatedOwnerTime);
    }
    /// @returns whether requests without a key, and further keys, may be sent to it
    [[nodiscard]] auto takesNewWork() const -> bool
    {
        return !this->isDraining && !this->isEvacuated;
    }
    auto operator==(const UpstreamEntry &) const -> bool = default;
};

} // namespace gooseberrywall
