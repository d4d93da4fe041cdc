#pragma once

#include "edge/grantordirectory.h"
#include "edge/grantorroles.h"
#include "entry/permitclient.h"
#include "storelink/prefixview.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

struct GrantorWatchSettings
{
    /// Store keys of the grantors' notes.
    std::string grantorPrefix;
    DaemonId daemon;
    double processorCores = 1;
    /// VMs with this share of a core always watch, as they become grantors; it is several times the
    /// least VM that the users have.
    double standByMinimumCores = 0.25;
    /// Of the other daemons one in so many does, which is some in a fleet of 27 and few in one of
    /// hundreds.
    std::uint64_t standByOneIn = 6;
    /// New grantors announce themselves, so that the store's word on them isn't urgent.
    Duration gatherPause = std::chrono::milliseconds{600};
    auto operator==(const GrantorWatchSettings &) const -> bool = default;
};

/// Finds each service's grantor and tells it to the permits and to this daemon's own roles.
/// Grantors and stand-bys watch the notes in the store; other daemons do so only while a grantor is
/// silent.
class GrantorWatch
{
public:
    GrantorWatch(GrantorWatchSettings settings, SendStoreCall store, std::function<Instant()> now,
                 PermitClient &permits, GrantorRoles &roles, Logger &logger);

    auto setServices(const std::vector<ServiceSpec> &specs) -> void;
    auto onAnnouncement(const Address &from, const GrantorAnnouncement &announcement) -> void;
    auto advance() -> void;
    [[nodiscard]] auto nextDue() const -> std::optional<Instant> { return this->view.nextDue(); }

private:
    struct LoggedGrantor
    {
        std::uint64_t term = 0;
        bool isSilent = true;
    };

    auto publish() -> void;
    /// Says once that a grantor is new, silent, or heard again.
    auto logGrantors(Instant moment) -> void;
    [[nodiscard]] auto isNeeded() const -> bool;
    [[nodiscard]] auto storedGrantor(const ServiceName &service) const
        -> std::optional<GrantorNote>;

    GrantorWatchSettings settings;
    std::function<Instant()> now;
    PermitClient &permits;
    GrantorRoles &roles;
    Logger &logger;
    GrantorDirectory directory;
    /// What the log has last said of each service's grantor.
    std::map<ServiceName, LoggedGrantor> loggedGrantors;
    std::vector<ServiceName> services;
    bool isStandBy;
    PrefixView view;
};

} // namespace gooseberrywall
