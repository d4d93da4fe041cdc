#pragma once

#include "edge/copylog.h"
#include "edge/grantordirectory.h"
#include "edge/grantorroles.h"
#include "entry/permitclient.h"
#include "storelink/prefixview.h"
#include "storelink/storeoutage.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

struct GrantorWatchSettings
{
    /// Store key prefix of the grantors.
    std::string grantorPrefix;
    DaemonId daemon;
    double processorCores = 1;
    /// VMs with at least this share of a core are stand-bys, because they become grantors; it is
    /// several times that of the users' smallest VM.
    double standByMinimumCores = 0.25;
    /// One in this many of the other daemons is a stand-by too, in a fleet of up to
    /// `standBysWanted` times as many daemons.
    std::uint64_t standByOneIn = 9;
    /// Stand-bys among the other daemons of a larger fleet.
    std::uint64_t standBysWanted = 6;
    /// After its start a daemon has this long to hear of grantors before it watches the store;
    /// until then it polls, as hundreds of daemons may start together.
    Duration startTime = std::chrono::seconds{3};
    /// Changes in the store are batched for this long: new grantors announce themselves, so reading
    /// them from the store isn't urgent.
    Duration gatherPause = std::chrono::milliseconds{600};
    /// How often the store has to confirm the grantors to stand-bys, which claim vacant places,
    /// while a grantor isn't heard. Those that are heard confirm themselves.
    Duration confirmInterval = std::chrono::milliseconds{1000};
    /// How often a known grantor that isn't heard is asked to announce itself.
    Duration helloInterval = std::chrono::milliseconds{500};
    auto operator==(const GrantorWatchSettings &) const -> bool = default;
};

/// Finds each service's grantor and passes it to the permit client and to this daemon's own roles.
/// Grantors and stand-bys watch the grantors' keys in the store; other daemons do so only while a
/// grantor is silent.
class GrantorWatch
{
public:
    GrantorWatch(GrantorWatchSettings settings, SendStoreCall store, std::function<Instant()> now,
                 PermitClient &permits, GrantorRoles &roles, Logger &logger);

    /// Replaces the services whose grantors are searched.
    auto setServices(const std::vector<ServiceSpec> &specs) -> void;
    auto onAnnouncement(const Address &from, const GrantorAnnouncement &announcement) -> void;
    /// Takes in the answer to any call to the store. Where the store answers again after a failure,
    /// the grantors are read anew: the watch may be waiting on a dead connection, and a lease that
    /// ran out meanwhile leaves a vacant place that nobody would claim.
    /// @param sentAt when the call was sent
    auto onStoreAnswer(const StoreAnswer &answer, Instant sentAt) -> void;
    /// Takes in that the store is in this era.
    auto onStoreEra(std::uint64_t era) -> void { this->view.onStoreEra(era); }
    auto advance() -> void;
    [[nodiscard]] auto nextDue() const -> std::optional<Instant> { return this->view.nextDue(); }
    [[nodiscard]] auto lostWatchCount() const -> std::uint64_t
    {
        return this->view.lostWatchCount();
    }
    /// @returns the datagrams to send since the last call
    [[nodiscard]] auto takeDatagrams() -> std::vector<PermitDatagram>;

private:
    struct LoggedGrantor
    {
        std::uint64_t term = 0;
        bool isSilent = true;
    };

    /// @returns whether this daemon watches the store even while all grantors are heard
    [[nodiscard]] auto isStandBy() const -> bool;
    auto publish() -> void;
    /// Asks known grantors that aren't heard to announce themselves.
    auto greetGrantors(Instant moment) -> void;
    /// Logs once that a grantor is new, silent, or heard again.
    auto logGrantors(Instant moment) -> void;
    /// @returns whether a service's grantor isn't heard, so that only the store tells who it is
    [[nodiscard]] auto isGrantorMissing() const -> bool;
    /// @returns whether this daemon has to watch the store
    [[nodiscard]] auto isNeeded() const -> bool;
    /// Tells the service's role in which era a grantor was last elected.
    auto publishEra(const ServiceName &service) -> void;
    [[nodiscard]] auto storedGrantor(const ServiceName &service) const
        -> std::optional<ElectedGrantor>;

    GrantorWatchSettings settings;
    std::function<Instant()> now;
    PermitClient &permits;
    GrantorRoles &roles;
    Logger &logger;
    GrantorDirectory directory;
    /// The state last logged for each service's grantor.
    std::map<ServiceName, LoggedGrantor> loggedGrantors;
    std::vector<ServiceName> services;
    /// Size of the fleet as grantors announce it; zero until one is heard.
    std::uint64_t daemonCount = 0;
    Instant startedAt;
    Instant helloDue{};
    std::vector<PermitDatagram> datagrams;
    StoreOutage outage;
    CopyLog copyLog;
    PrefixView view;
};

} // namespace gooseberrywall
