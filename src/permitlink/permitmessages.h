#pragma once

#include "dispatch/types/permits.h"

#include <variant>

namespace gooseberrywall {

/// A request for a permit isn't needed any more.
struct PermitCancel
{
    PermitId id;
    ServiceName service;
    auto operator==(const PermitCancel &) const -> bool = default;
};

/// The sender is grantor of a service.
struct GrantorAnnouncement
{
    ServiceName service;
    /// Higher for each later grantor.
    std::uint64_t term = 0;
    auto operator==(const GrantorAnnouncement &) const -> bool = default;
};

/// The verdict on the request with this id.
struct PermitAnswer
{
    PermitId id;
    PermitVerdict verdict;
    auto operator==(const PermitAnswer &) const -> bool = default;
};

using PermitMessage =
    std::variant<PermitRequest, PermitAnswer, PermitReport, PermitCancel, GrantorAnnouncement>;

/// A message and the daemon that it goes to, or comes from.
struct PermitDatagram
{
    Address peer;
    PermitMessage message;
    auto operator==(const PermitDatagram &) const -> bool = default;
};

} // namespace gooseberrywall
