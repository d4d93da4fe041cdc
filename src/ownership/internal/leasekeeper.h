#pragma once

#include "ownership/types/coordinatorsettings.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"

#include <cstdint>
#include <optional>
#include <random>

namespace gooseberrywall {

/// How much a daemon wants the coordinator's lease.
enum class LeaseUrgency : std::uint8_t {
    /// Others go first.
    None,
    /// The holder seems to be there; look now and then.
    Low,
    /// The holder seems to be gone.
    High,
};

/// Takes and renews the cell's lease. The lease counts as held until its time to live after the
/// sending of the last call that the store granted.
class LeaseKeeper
{
public:
    LeaseKeeper(const DaemonIdentity &self, const CoordinatorSettings &settings,
                std::uint64_t seed);

    auto tick(Instant now, LeaseUrgency urgency, Outbox &out) -> void;

    /// @returns whether the call was one of this class
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer) -> bool;

    [[nodiscard]] auto isHeld(Instant now) const -> bool;

    /// @returns since when it has been held without a gap; nothing where it isn't
    [[nodiscard]] auto heldSince(Instant now) const -> std::optional<Instant>;

    /// @returns when the last granted call was sent; at that moment nobody else held the lease
    [[nodiscard]] auto confirmedAt() const -> std::optional<Instant>
    {
        return this->lastGrantedCallSentAt;
    }

    /// Renews earlier than usual, for the sake of who waits for a confirmation.
    auto renewSoon() -> void;

    /// Another coordinator wrote the record: the lease isn't trusted before the store's next word.
    auto invalidate() -> void;

    auto release(Outbox &out) -> void;

private:
    auto intervalFor(Instant now, LeaseUrgency urgency) const -> Duration;
    auto increaseBackoff() -> void;

    CoordinatorSettings settings;
    std::string leaseName;
    std::string holderName;
    std::mt19937_64 random;
    std::optional<CallId> openCall;
    Instant openCallSentAt{};
    std::optional<Instant> lastAttemptAt;
    std::optional<Instant> lastGrantedCallSentAt;
    std::optional<Instant> heldFrom;
    Duration backoff{0};
    bool renewsEarly = false;
};

} // namespace gooseberrywall
