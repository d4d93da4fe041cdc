#pragma once

#include "edge/configurationrelay.h"
#include "edge/configurationtexts.h"
#include "edge/copylog.h"
#include "edge/peerserver.h"
#include "logging/logger.h"
#include "storelink/prefixview.h"
#include "storelink/storeoutage.h"
#include "streams/outboundpool.h"

#include <functional>
#include <optional>
#include <string>

struct event_base;

namespace gooseberrywall {

struct ConfigurationSourceSettings
{
    /// The store key that holds the configuration.
    std::string key;
    /// All keys with this prefix are read and watched, among them `key`; empty: only that one.
    std::string prefix;
    /// Where other daemons fetch the configuration from this one; isn't fetched from there itself.
    Address listen;
    /// Differs between daemons; spreads their calls.
    std::uint64_t seed = 0;
    /// After its start a daemon has this long to hear of grantors before it follows the store
    /// itself; until then it polls for the first configuration.
    Duration startTime = std::chrono::seconds{3};
    Duration pollInterval = std::chrono::milliseconds{400};
    /// Fetches from other daemons are spread over this time.
    Duration fetchSpread = std::chrono::milliseconds{120};
    /// Until a fetched text begins to arrive; also bounds polls.
    Duration fetchTimeout = std::chrono::milliseconds{500};
    ArrivalLimit fetchArrival{std::chrono::milliseconds{1000}, std::chrono::seconds{10}};
    /// Versions in quick succession are read together; well below the time until they must apply.
    Duration gatherPause = std::chrono::milliseconds{400};
    /// How often the store has to confirm the copy of a daemon that follows it. A lost answer is
    /// noticed well before other daemons begin to follow the store themselves.
    Duration confirmInterval = std::chrono::milliseconds{800};
    /// Confirmations that follow each other faster aren't announced at once.
    Duration announceInterval = std::chrono::milliseconds{400};
    /// The confirmation interval of a grantor, while another one confirms the same configuration.
    Duration relaxedConfirmInterval = std::chrono::seconds{5};
    auto operator==(const ConfigurationSourceSettings &) const -> bool = default;
};

/// Gets the operators' configuration, from the store or from another daemon as ConfigurationRelay
/// decides, and serves it to other daemons over HTTP. Passes on what the operators' other keys in
/// the store are while this daemon follows the store.
class ConfigurationSource
{
public:
    /// @returns whether the text is the newest configuration known; others aren't passed on
    using OnText = std::function<bool(const std::string &text, StoreRevision revision)>;
    /// @param items all keys of the operators
    /// @param revision the store revision up to which they are known
    /// @param isStale they may be seconds old, also where the revision says otherwise
    using OnKeys =
        std::function<void(const PrefixView::Items &items, StoreRevision revision, bool isStale)>;

    /// @param server serves the configuration to other daemons; must outlive the source
    /// @param now reads the clock
    /// @param onText receives each configuration of a newer revision
    /// @param onWork called after each event for which advance() may be due earlier
    /// @param onKeys receives the operators' keys after each change, also of the store's era
    /// @param isStoreArriving tells whether an answer of the store is arriving
    ConfigurationSource(event_base *base, PeerServer &server, ConfigurationSourceSettings settings,
                        SendStoreCall store, const std::function<Instant()> &now, Logger &logger,
                        OnText onText, std::function<void()> onWork, OnKeys onKeys = {},
                        PrefixView::IsArriving isStoreArriving = {});

    auto onAnnouncement(const Address &from, const GrantorAnnouncement &announcement) -> void;
    /// Starts the call or fetch that is due.
    /// @param isGrantor grantors follow the store
    /// @param isDirect this daemon sends requests without a grantor, so it follows the store where
    ///        no grantor tells which failure domains are evacuated, as earlier builds don't
    auto advance(bool isGrantor, bool isDirect = false) -> void;
    /// Takes in that the store is in this era.
    auto onStoreEra(std::uint64_t era) -> void { this->view.onStoreEra(era); }
    /// Takes in the answer to any call to the store. Where the store answers again after a failure,
    /// the configuration is read anew at once.
    /// @param sentAt when the call was sent
    auto onStoreAnswer(const StoreAnswer &answer, Instant sentAt) -> void;
    /// @returns when to call advance() next
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;

    /// @returns the store revision of the configuration; zero where there is none
    [[nodiscard]] auto revision() const -> StoreRevision { return this->textRevision; }
    /// @returns how long ago the store has shown to this daemon, or to a grantor with a lower
    ///          address, that this configuration is the newest
    [[nodiscard]] auto age() const -> Duration;
    /// @returns whether the store has confirmed the copy since the last call that returned true, so
    ///          that an announcement at once is as young as it can be; at most each
    ///          `announceInterval`
    [[nodiscard]] auto takeConfirmation() -> bool;
    /// @returns when the configuration was last known to be the newest, by this daemon's own copy
    ///          or a grantor's
    [[nodiscard]] auto lastConfirmedAt() const -> Instant;
    [[nodiscard]] auto lostWatchCount() const -> std::uint64_t
    {
        return this->view.lostWatchCount();
    }
    /// @param storeContact when a call to the store was sent that was answered
    /// @returns whether this daemon can't reach the store while a grantor can
    [[nodiscard]] auto isCutOff(const StoreContact &own) const -> bool
    {
        return this->relay.isCutOff(own, this->now());
    }
    /// @returns since when a newer configuration is known than this daemon has; empty while none is
    [[nodiscard]] auto newerKnownSince() const -> std::optional<Instant>
    {
        return this->relay.newerSince(this->now());
    }
    /// @returns how many configurations were fetched from other daemons
    [[nodiscard]] auto fetchCount() const -> std::uint64_t { return this->fetches; }

private:
    /// @param from where the text comes from, and `by` which call, as they are logged
    auto adopt(const std::string &newText, StoreRevision revision, bool isStale,
               std::string_view from, std::string_view by) -> void;
    /// @returns whether a configuration of this revision replaces the present one
    [[nodiscard]] auto isNewer(StoreRevision revision) const -> bool;
    auto poll() -> void;
    auto onPolled(const StoreAnswer &answer) -> void;
    auto fetch(const Address &from) -> void;
    auto onFetched(const Address &from, const OutboundResult &result) -> void;
    auto onAsked(ExchangeId exchange, const MessageHead &request) -> void;
    /// Logs once that this daemon follows the store itself, and once that it doesn't any more.
    auto logMode(bool isFollowing, bool isGrantor) -> void;

    PeerServer &server;
    ConfigurationSourceSettings settings;
    SendStoreCall store;
    std::function<Instant()> now;
    Logger &logger;
    CopyLog copyLog;
    OnText onText;
    std::function<void()> onWork;
    OnKeys onKeys;
    ConfigurationRelay relay;
    PrefixView view;
    StoreOutage outage;
    OutboundPool pool;
    ConfigurationTexts texts;
    StoreRevision textRevision;
    /// As in ConfigurationRelay::onAdopted().
    bool isTextStale = false;
    Instant startedAt;
    /// Size of the fleet as grantors announce it; zero until one is heard.
    std::uint64_t daemonCount = 0;
    /// The last confirmation that was taken.
    Instant takenConfirmation{};
    Instant pollDue{};
    bool isPolling = false;
    bool isFollowingStore = false;
    std::uint64_t fetches = 0;
    OutboundId openFetch;
    Instant fetchStartedAt{};
};

} // namespace gooseberrywall
