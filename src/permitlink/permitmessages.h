#pragma once

#include "dispatch/types/evacuateddomains.h"
#include "dispatch/types/permits.h"
#include "dispatch/types/suspectrequest.h"

#include <variant>
#include <vector>

namespace gooseberrywall {

/// An entry daemon's cancellation of a permit request that it no longer needs.
struct PermitCancel
{
    PermitId id;
    ServiceName service;
    auto operator==(const PermitCancel &) const -> bool = default;
};

/// A daemon's announcement that it is the grantor of a service.
struct GrantorAnnouncement
{
    ServiceName service;
    /// Term of the sender; each later grantor has a higher one.
    std::uint64_t term = 0;
    /// Store revision of the operators' configuration that the sender has; zero: it has none.
    std::uint64_t configurationRevision = 0;
    /// Time since the sender last knew that this is the newest configuration.
    Duration configurationAge{0};
    /// How many daemons the sender announces itself to.
    std::uint32_t daemonCount = 0;
    /// As the sender knows them; earlier builds name none at revision zero.
    EvacuatedDomains evacuated = {};
    auto operator==(const GrantorAnnouncement &) const -> bool = default;
};

/// A daemon's request that a grantor announces itself to it.
struct DaemonHello
{
    auto operator==(const DaemonHello &) const -> bool = default;
};

/// A grantor's message to all daemons about requests that were unanswered when upstreams of its
/// service were lost, and that aren't suspect any more. Other daemons send a new grantor what they
/// know; without suspects, the message asks the grantor for those that it knows.
struct SuspectNotice
{
    /// More don't fit into one packet; further ones aren't sent.
    static constexpr std::size_t maxSuspects = 24;

    ServiceName service;
    std::vector<SuspectRequest> suspects;
    auto operator==(const SuspectNotice &) const -> bool = default;
};

/// The grantor's verdict on the permit request with this id.
struct PermitAnswer
{
    PermitId id;
    PermitVerdict verdict;
    auto operator==(const PermitAnswer &) const -> bool = default;
};

using PermitMessage = std::variant<PermitRequest, PermitAnswer, PermitReport, PermitCancel,
                                   GrantorAnnouncement, DaemonHello, SuspectNotice>;

/// A message with the address of its receiver or sender.
struct PermitDatagram
{
    Address peer;
    PermitMessage message;
    auto operator==(const PermitDatagram &) const -> bool = default;
};

} // namespace gooseberrywall
