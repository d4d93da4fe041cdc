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
    /// Time to live of the grantor's lease; a lost grantor is replaced after about this time.
    Duration timeToLive = std::chrono::milliseconds{1600};
    Duration renewalInterval = std::chrono::milliseconds{400};
    /// Pause after a failed store call.
    Duration retryPause = std::chrono::milliseconds{150};
    Duration callTimeout = std::chrono::milliseconds{500};
    /// The authority ends this long before the lease can end.
    Duration authorityMargin = std::chrono::milliseconds{200};
    /// After a restoration of the store, the grantor before it may claim its place this much
    /// earlier than others, as it knows the owners of the keys.
    Duration reclaimHeadStart = std::chrono::milliseconds{400};
    /// A grantor whose last renewal before a restoration is longer ago has to ask who owns the
    /// keys: another one may have led since.
    Duration reclaimTimeLimit = std::chrono::seconds{8};
    auto operator==(const ElectionSettings &) const -> bool = default;
};

/// The grantor that the store names.
struct ElectedGrantor
{
    /// The value that the grantor wrote into the key; unique to its incarnation.
    std::string identity;
    /// Revision of the key's creation, so each later grantor has a higher one.
    StoreRevision term;
    auto operator==(const ElectedGrantor &) const -> bool = default;
};

/// A daemon's side of the election of a service's grantor: the daemon that creates a key with a
/// lease in the store leads until the lease ends. Does no input or output itself: calls go through
/// `send`, and advance() starts them when they are due.
class GrantorElection
{
public:
    enum class State : std::uint8_t {
        /// Another daemon is the grantor, or this one has resigned.
        Following,
        /// The key is free; this daemon claims it once its delay has passed.
        Waiting,
        OpeningLease,
        Claiming,
        /// The claim wasn't answered; reads the key to find out who has won.
        Verifying,
        Leading,
    };

    /// @param key the store's key for which the daemons compete
    /// @param identity the value that this daemon writes into the key; unique to its incarnation
    /// @param send sends calls to the store
    /// @param now reads a clock that goes on while the VM is suspended, as leases in the store do
    GrantorElection(std::string key, std::string identity, ElectionSettings settings,
                    SendStoreCall send, std::function<Instant()> now);
    ~GrantorElection();
    GrantorElection(const GrantorElection &) = delete;
    auto operator=(const GrantorElection &) -> GrantorElection & = delete;

    /// Takes in what the watch of the store shows; may be called again without a change.
    /// @param known the key's value and revision; nothing where the key doesn't exist
    /// @param claimDelay how long to wait before claiming a free key; a longer one counts at once
    auto onElectedGrantor(const std::optional<ElectedGrantor> &known, Duration claimDelay) -> void;
    /// Takes in that the store is in this era. A restored store may have lost all claims and
    /// leases, so the place has to be claimed in the new era: only after leases of the earlier one
    /// have ended, as their holders may not know of the restoration.
    auto onStoreEra(std::uint64_t era) -> void;
    /// Takes in that a daemon was elected in this era before, so that leases of earlier ones have
    /// ended.
    auto onEraSettled(std::uint64_t era) -> void;
    /// Starts the next store call if it is due.
    auto advance() -> void;
    /// Ends the lease if this daemon leads, and never claims the key again.
    auto resign() -> void;
    /// Ends the lease if this daemon leads. Once the watch shows that the key is free, it may claim
    /// the key again, after its claim delay.
    auto stepDown() -> void;

    [[nodiscard]] auto state() const -> State { return this->currentState; }
    /// @returns this daemon's term while it leads; nothing otherwise
    [[nodiscard]] auto term() const -> std::optional<StoreRevision>;
    /// @returns whether this daemon led when the store was restored, and claims its place again
    [[nodiscard]] auto isReclaiming() const -> bool { return this->reclaiming; }
    /// @returns whether this daemon led in the era before this one until the store was restored, so
    /// that no other daemon can have led in between for long
    [[nodiscard]] auto hasReclaimed() const -> bool { return this->reclaimed; }
    /// @returns whether this daemon's lease surely lasted until the store was restored, so that no
    /// other daemon led before; tells nothing unless hasReclaimed()
    [[nodiscard]] auto hasLedThroughout() const -> bool { return this->ledThroughout; }
    /// @returns the store's era as far as it is known
    [[nodiscard]] auto storeEra() const -> std::uint64_t { return this->era; }
    /// @returns when this daemon has heard of that era
    [[nodiscard]] auto storeEraKnownSince() const -> Instant { return this->eraKnownSince; }
    /// @returns until when this daemon may issue orders; may have passed even while it leads
    [[nodiscard]] auto authorityEnd() const -> Instant { return this->authorityEndsAt; }
    /// @returns whether the lease's renewal has failed since it last succeeded
    [[nodiscard]] auto isRenewalFailing() const -> bool { return this->renewalFailures > 0; }
    /// @returns when to call advance() next; nothing while following or while a call is open
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;

private:
    auto openLease() -> void;
    auto claim() -> void;
    auto verify() -> void;
    auto renew() -> void;
    auto startLeading(StoreRevision term) -> void;
    /// Ends the lease and the authority if this daemon leads.
    auto endLease() -> void;
    auto enterState(State next, Instant at) -> void;
    /// @returns when a claim is allowed in this era
    [[nodiscard]] auto claimAllowedAt() const -> Instant;
    /// @returns the key in the present era
    [[nodiscard]] auto currentKey() const -> std::string;
    auto call(StoreCall call, std::function<void(const StoreAnswer &)> onAnswer) -> void;
    auto onClaimed(const StoreAnswer &answer) -> void;
    auto onVerified(const StoreAnswer &answer) -> void;
    auto onRenewed(const StoreAnswer &answer, Instant sentAt) -> void;

    std::string key;
    std::string identity;
    ElectionSettings settings;
    SendStoreCall send;
    std::function<Instant()> now;
    /// Expires with the election, so that answers that arrive later are dropped.
    std::shared_ptr<bool> alive;
    State currentState = State::Following;
    bool isCalling = false;
    bool hasResigned = false;
    /// When the next call is to be started.
    Instant due{};
    /// The delay with which this daemon waits to claim the key.
    Duration waitingDelay{0};
    Instant authorityEndsAt{};
    Instant leaseRequestedAt{};
    StoreLease lease;
    StoreRevision ownTerm;
    std::uint64_t era = 0;
    Instant eraKnownSince{};
    /// A daemon was elected in this era before.
    bool isEraSettled = true;
    bool reclaiming = false;
    bool reclaimed = false;
    bool ledThroughout = false;
    /// When the last successful renewal, or the request of the lease, was sent.
    Instant renewedAt{};
    /// Failed renewals in a row.
    int renewalFailures = 0;
};

} // namespace gooseberrywall
