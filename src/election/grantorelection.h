#pragma once

#include "common/types/ids.h"
#include "storelink/types/storecalls.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gooseberrywall {

struct ElectionSettings
{
    /// A lost grantor is replaced after about this time.
    Duration timeToLive = std::chrono::milliseconds{1600};
    Duration renewalInterval = std::chrono::milliseconds{400};
    /// Pause after a call that failed.
    Duration retryPause = std::chrono::milliseconds{150};
    Duration callTimeout = std::chrono::milliseconds{500};
    /// Authority ends this long before the lease can.
    Duration authorityMargin = std::chrono::milliseconds{200};
    auto operator==(const ElectionSettings &) const -> bool = default;
};

/// Who the store names as grantor.
struct ElectedGrantor
{
    /// The winner's own text, unique to its life.
    std::string identity;
    /// Revision of the key's creation: higher for each later grantor.
    StoreRevision term;
    auto operator==(const ElectedGrantor &) const -> bool = default;
};

/// Makes one daemon the grantor of a service by a leased key in the store. Reckons on the clock
/// that goes on while the VM is suspended. Without input or output of its own.
class GrantorElection
{
public:
    enum class State : std::uint8_t {
        /// Another daemon is grantor, or this one doesn't stand.
        Following,
        /// The key is free; claims it when its delay has passed.
        Waiting,
        OpeningLease,
        Claiming,
        /// The claim wasn't answered: reads who has won.
        Verifying,
        Leading,
    };

    /// @param key where the grantor's note lies
    /// @param identity this daemon's note
    GrantorElection(std::string key, std::string identity, ElectionSettings settings,
                    SendStoreCall send, std::function<Instant()> now);
    ~GrantorElection();
    GrantorElection(const GrantorElection &) = delete;
    auto operator=(const GrantorElection &) -> GrantorElection & = delete;

    /// @param grantor the key as the watch shows it; nothing where it doesn't exist
    /// @param claimDelay how long to wait before claiming a free key
    auto onElectedGrantor(const std::optional<ElectedGrantor> &grantor, Duration claimDelay)
        -> void;
    auto advance() -> void;
    /// Ends the lease and doesn't stand any more.
    auto resign() -> void;

    [[nodiscard]] auto state() const -> State { return this->currentState; }
    /// @returns the term while leading; nothing otherwise
    [[nodiscard]] auto term() const -> std::optional<StoreRevision>;
    /// @returns until when orders may be issued; may have passed while leading
    [[nodiscard]] auto authorityEnd() const -> Instant { return this->authorityEndsAt; }
    /// @returns whether a renewal has failed since the last success
    [[nodiscard]] auto isRenewalFailing() const -> bool { return this->renewalFailures > 0; }
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;

private:
    auto openLease() -> void;
    auto claim() -> void;
    auto verify() -> void;
    auto renew() -> void;
    auto startLeading(StoreRevision term) -> void;
    auto enterState(State next, Instant at) -> void;
    auto call(StoreCall call, std::function<void(const StoreAnswer &)> onAnswer) -> void;
    auto onClaimed(const StoreAnswer &answer) -> void;
    auto onVerified(const StoreAnswer &answer) -> void;
    auto onRenewed(const StoreAnswer &answer, Instant sentAt) -> void;

    std::string key;
    std::string identity;
    ElectionSettings settings;
    SendStoreCall send;
    std::function<Instant()> now;
    std::shared_ptr<bool> alive;
    State currentState = State::Following;
    bool isCalling = false;
    bool hasResigned = false;
    Instant due{};
    Instant authorityEndsAt{};
    Instant leaseRequestedAt{};
    StoreLease lease;
    StoreRevision ownTerm;
    int renewalFailures = 0;
};

} // namespace gooseberrywall
