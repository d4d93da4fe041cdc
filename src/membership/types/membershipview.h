#pragma once

#include "protocol/types/peermessages.h"

#include <algorithm>
#include <vector>

namespace gooseberrywall {

/// The latest claims that one daemon knows about the daemons of its cell, including itself; sorted
/// by id.
struct MembershipView
{
    std::vector<MemberClaim> members;

    auto operator==(const MembershipView &) const -> bool = default;

    /// @returns the claim about a daemon; nullptr if it is unknown
    [[nodiscard]] auto find(const DaemonId &id) const -> const MemberClaim *
    {
        const auto entry = std::lower_bound(
            this->members.begin(), this->members.end(), id,
            [](const MemberClaim &member, const DaemonId &wanted) { return member.id < wanted; });
        return entry != this->members.end() && entry->id == id ? &*entry : nullptr;
    }

    /// @returns whether the daemon is known in this incarnation and isn't removed
    [[nodiscard]] auto isPresent(const DaemonId &id, Incarnation incarnation) const -> bool
    {
        const auto *member = this->find(id);
        return member != nullptr && member->incarnation == incarnation
               && member->state != MemberState::Removed;
    }
};

} // namespace gooseberrywall
