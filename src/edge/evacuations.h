#pragma once

#include "common/types/instant.h"
#include "dispatch/types/evacuateddomains.h"
#include "dispatch/types/upstreamentry.h"
#include "logging/logger.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace gooseberrywall {

/// Which failure domains the operators evacuate, as this daemon knows from the store or from
/// grantors. Marks the upstreams there, and logs what changes. Does no I/O but logging; the time is
/// passed in.
class Evacuations
{
public:
    explicit Evacuations(Logger &logger);

    /// Takes in a set of evacuated failure domains unless the present one is of the same revision
    /// or a later one. Owners of keys get no time to serve them where the evacuation is in the
    /// first set that this daemon knows, or in the one that replaces a stale set.
    /// @param isStale the set was read from a copy of the store that may be seconds old, also where
    ///        its revision says otherwise; any other set replaces it, and it replaces no other
    /// @param entries the upstreams that this daemon knows at present, for the log; empty where it
    ///        knows none
    /// @returns whether the evacuated failure domains have changed
    auto update(const EvacuatedDomains &newSet, bool isStale,
                const std::vector<UpstreamEntry> &entries, Instant now) -> bool;
    /// Logs that a key of the operators can't be read, once for each of its revisions.
    auto onUnreadableKey(const std::string &key, std::uint64_t revision) -> void;
    /// Sets in the entries whether their upstreams are evacuated, and logs which evacuated failure
    /// domains have none.
    /// @param entries all upstreams
    auto mark(std::vector<UpstreamEntry> &entries) -> void;

    [[nodiscard]] auto known() const -> const EvacuatedDomains & { return this->current; }
    /// @returns the set to announce to other daemons; without a revision where it may be out of
    /// date from the start
    [[nodiscard]] auto announced() const -> EvacuatedDomains
    {
        return this->isCurrentStale ? EvacuatedDomains{} : this->current;
    }
    [[nodiscard]] auto domainCount() const -> std::size_t { return this->current.domains.size(); }

private:
    auto logChange(const char *event, const FailureDomain &domain,
                   const std::vector<UpstreamEntry> &entries) -> void;

    Logger &logger;
    EvacuatedDomains current;
    /// As in update().
    bool isCurrentStale = false;
    /// When this daemon learned of each present evacuation, or a time at which it may have begun,
    /// and when it learned of the end of each earlier one.
    std::map<FailureDomain, Instant> startedAt;
    std::map<FailureDomain, Instant> endedAt;
    /// Evacuated failure domains that were logged as having no upstream.
    std::set<FailureDomain> loggedUnknown;
    std::map<std::string, std::uint64_t> loggedUnreadable;
};

} // namespace gooseberrywall
