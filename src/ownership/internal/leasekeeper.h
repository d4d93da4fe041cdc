#pragma once

#include "ownership/types/coordinatorsettings.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"

#include <cstdint>
#include <optional>
#include <random>

namespace gooseberrywall {

/// How eagerly a daemon tries for the coordinator's lease.
enum class LeaseUrgency : std::uint8_t {
    /// Leaves the lease to other daemons; a held one is still renewed.
    None,
    /// The holder seems present: tries at leaseIdleInterval.
    Low,
    /// The holder seems gone: tries at leaseTryInterval.
    High,
};

/// Takes and renews the cell's lease. The lease counts as held until its time to live has passed
/// since the last granted call was sent.
class LeaseKeeper
{
public:
    LeaseKeeper(const DaemonIdentity &self, const CoordinatorSettings &settings,
                std::uint64_t seed);

    auto tick(Instant now, LeaseUrgency urgency, Outbox &out) -> void;

    /// @returns whether the call was made by this object
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer) -> bool;

    [[nodiscard]] auto isHeld(Instant now) const -> bool;

    /// @returns since when the lease has been held without a gap; nothing if it isn't held
    [[nodiscard]] auto heldSince(Instant now) const -> std::optional<Instant>;

    /// @returns when the last granted call was sent; the store granted the lease after that moment
    [[nodiscard]] auto confirmedAt() const -> std::optional<Instant>
    {
        return this->lastGrantedCallSentAt;
    }

    /// Renews earlier than usual once, since grantors wait for the lease to be confirmed.
    auto renewSoon() -> void;

    /// Counts the lease as not held until the store grants it again. To be called when another
    /// coordinator wrote the record.
    auto invalidate() -> void;

    /// Releases the lease in the store without waiting for the answer.
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
