#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "edge/types/configurationconfirmation.h"
#include "permitlink/permitmessages.h"
#include "storelink/types/storecalls.h"
#include "storelink/types/storecontact.h"

#include <map>
#include <optional>

namespace gooseberrywall {

struct ConfigurationRelaySettings
{
    /// A daemon follows the store itself where no grantor has confirmed its configuration for this
    /// long. Together with reading the store, it is less than the time in which a change has to be
    /// in force.
    Duration confirmationTimeout = std::chrono::milliseconds{1500};
    /// Announcements of a daemon that is silent for this long are forgotten.
    Duration silenceTimeout = std::chrono::milliseconds{2500};
    /// A daemon follows the store itself where it couldn't fetch a newer configuration for this
    /// long, and none has been arriving in that time, or a fetch has failed of which a part had
    /// arrived.
    Duration fetchTimeLimit = std::chrono::milliseconds{700};
    /// A grantor is cut off from the store if another one has reached it this much later. Grantors
    /// call the store more than twice in this time.
    Duration cutOffLag = std::chrono::milliseconds{850};
    /// A grantor checks its configuration against the store less often while one with a lower
    /// address has confirmed it within this time.
    Duration checkTimeout = std::chrono::milliseconds{1200};
    /// Pause after a failed fetch.
    Duration retryPause = std::chrono::milliseconds{80};
    auto operator==(const ConfigurationRelaySettings &) const -> bool = default;
};

/// Decides from where a daemon gets the operators' configuration: from grantors, which follow the
/// store and announce which revision they have, or from the store itself where no grantor is known
/// to be up to date. So the store's calls don't grow with the number of daemons. Does no I/O; the
/// time is passed in.
class ConfigurationRelay
{
public:
    /// @param delay of this daemon's fetches; differs between daemons, so that one grantor doesn't
    /// get all of them at once
    ConfigurationRelay(ConfigurationRelaySettings settings, Duration delay);

    auto onAnnouncement(const Address &from, const GrantorAnnouncement &announcement, Instant now)
        -> void;
    /// Takes in that this daemon has the configuration of a revision.
    /// @param isStale it was read from a copy of the store that may be seconds old, also where its
    ///        revision says otherwise; any other revision that a grantor announces is newer
    auto onAdopted(StoreRevision revision, bool isStale) -> void;
    auto onFetchStarted(Instant now) -> void;
    auto onFetchFailed(const Address &from, Instant now) -> void;
    /// Takes in when a part of the text that is being fetched last arrived. After a fetch that
    /// brought a part and failed, this has no effect until a configuration is adopted: further
    /// fetches may fail in the same way.
    auto onFetchProgress(Instant at) -> void;

    /// @returns a daemon to fetch a newer configuration from now; empty where there is none, a
    /// fetch is under way, or it isn't due yet
    [[nodiscard]] auto fetchSource(Instant now) const -> std::optional<Address>;
    /// @returns whether this daemon has to follow the store itself
    [[nodiscard]] auto isStoreNeeded(Instant now) const -> bool;
    /// @returns whether a grantor that tells which failure domains are evacuated is up to date
    [[nodiscard]] auto areEvacuationsConfirmed(Instant now) const -> bool
    {
        return this->evacuationsConfirmedAt
               && now - *this->evacuationsConfirmedAt < this->settings.confirmationTimeout;
    }
    /// @param own this daemon's contact to the store
    /// @returns whether this daemon, a grantor, can't reach the store while another grantor can:
    /// what it knows of upstreams is out of date then. One that hasn't called, as it didn't run, is
    /// slow and not cut off.
    [[nodiscard]] auto isCutOff(const StoreContact &own, Instant now) const -> bool;
    /// @param own address of this daemon, a grantor
    /// @returns when a grantor with a lower address last knew that the configuration which this
    /// daemon has is the newest; Instant{} where none has. Such news pass from lower to higher
    /// addresses only, so a grantor never hears its own.
    [[nodiscard]] auto checkedAt(const Address &own) const -> Instant;
    /// @returns until when this daemon may leave it to such a grantor to check the configuration
    /// often
    [[nodiscard]] auto checkedUntil(const Address &own) const -> Instant
    {
        return this->checkedAt(own) + this->settings.checkTimeout;
    }
    /// @returns the newest statement of a grantor that its configuration was the newest
    [[nodiscard]] auto confirmation() const -> const std::optional<ConfigurationConfirmation> &
    {
        return this->confirmed;
    }
    /// @returns since when a newer configuration is known than this daemon has; empty while no
    ///          grantor announces one
    [[nodiscard]] auto newerSince(Instant now) const -> std::optional<Instant>;
    /// @returns when the result of fetchSource() or isStoreNeeded() may change by itself
    [[nodiscard]] auto nextDue(Instant now) const -> std::optional<Instant>;

private:
    struct Source
    {
        StoreRevision revision;
        Instant heardAt{};
        /// When the source last knew that its configuration was the newest.
        Instant confirmedAt{};
        int failures = 0;
    };

    [[nodiscard]] auto isNewer(StoreRevision revision) const -> bool;
    /// @returns when the daemon has to follow the store itself, unless more of the text arrives
    [[nodiscard]] auto fetchLimitDue() const -> Instant;

    ConfigurationRelaySettings settings;
    Duration delay;
    std::map<Address, Source> sources;
    StoreRevision ownRevision;
    bool isOwnStale = false;
    /// The latest time at which a grantor knew that its configuration was the newest.
    std::optional<ConfigurationConfirmation> confirmed;
    /// The same, of grantors that also announce the evacuated failure domains.
    std::optional<Instant> evacuationsConfirmedAt;
    /// Since when a newer configuration is known than this daemon has.
    std::optional<Instant> newerKnownSince;
    Instant fetchDue{};
    Instant fetchStartedAt{};
    /// When a part of a fetched text last arrived.
    Instant fetchProgressAt{};
    /// A fetch has failed of which a part had arrived.
    bool hasPartialFetchFailed = false;
    bool isFetching = false;
};

} // namespace gooseberrywall
