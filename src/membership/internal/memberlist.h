#pragma once

#include "common/types/instant.h"
#include "membership/types/membershipview.h"
#include "protocol/types/daemonidentity.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// @returns whether `claim` replaces `known`, both on the same daemon
[[nodiscard]] auto supersedes(const MemberClaim &claim, const MemberClaim &known) -> bool;

/// What is known of one daemon, and how far the latest claim on it was passed on.
struct Member
{
    MemberClaim claim;
    /// Messages that are still to carry the claim.
    int copiesLeft = 0;
    /// Rounds in which the claim is still to be sent without waiting for the next period.
    int urgentRounds = 0;
    /// The member was sent this daemon's own claim.
    bool ownClaimSent = false;
    /// When the claim's state began, as far as this daemon knows.
    Instant stateSince{};
    /// When the member last answered a heartbeat of this daemon.
    std::optional<Instant> answeredAt;

    /// @returns whether the member counts: it has been heard of and wasn't removed
    [[nodiscard]] auto isPresent() const -> bool
    {
        return this->claim.incarnation.value != 0 && this->claim.state != MemberState::Removed;
    }
};

/// The claims on all daemons of the cell with their order of precedence and their gossip.
class MemberList
{
public:
    /// @param self stays in the list; its own claim changes through `raiseOwn` only
    explicit MemberList(const DaemonIdentity &self);

    [[nodiscard]] auto find(const DaemonId &id) -> Member *;
    [[nodiscard]] auto find(const DaemonId &id) const -> const Member *;
    [[nodiscard]] auto all() -> std::map<DaemonId, Member> & { return this->members; }
    [[nodiscard]] auto ownClaim() const -> const MemberClaim &;

    /// Adds a daemon of which only the address is known (incarnation zero); keeps known ones.
    auto addContact(const MemberClaim &contact) -> void;

    /// Takes a claim in if it supersedes what is known. Unknown removed daemons are ignored.
    /// @returns whether it changed anything
    auto apply(Instant now, const MemberClaim &claim) -> bool;

    /// Replaces this daemon's own state and outbids every claim up to `refutation`.
    auto updateOwnClaim(Instant now, MemberState state, std::uint64_t refutation) -> void;

    /// Drops a member.
    auto erase(const DaemonId &id) -> void;

    /// Adds claims that are still to be passed on, freshest first, up to `limit` in all.
    auto addGossip(std::vector<MemberClaim> &claims, std::size_t limit) -> void;
    /// Counts one copy of each claim as sent: a peer with an equal view has them all.
    auto countCopyOfEachClaim() -> void;
    /// Adds claims in the order of ids, up to `limit` in all.
    /// @param start place of the first one; taken modulo the count
    auto addClaimsInOrder(std::vector<MemberClaim> &claims, std::size_t limit,
                          std::uint64_t start) const -> void;
    /// Starts one round of urgent gossip.
    /// @returns whether a claim needs it
    auto takeUrgentRound() -> bool;

    /// Rebuilds the view if claims changed.
    auto refresh() -> void;
    [[nodiscard]] auto view() const -> const MembershipView & { return this->currentView; }
    [[nodiscard]] auto viewVersion() const -> std::uint64_t { return this->version; }
    /// @returns whether the view has suspected members
    [[nodiscard]] auto hasSuspects() const -> bool { return this->suspectCount > 0; }
    /// @returns equal for daemons with equal views of the present members
    [[nodiscard]] auto digest() const -> std::uint64_t { return this->currentDigest; }

private:
    auto startGossip(Instant now, Member &member) -> void;

    DaemonId self;
    std::map<DaemonId, Member> members;
    MembershipView currentView;
    std::uint64_t version = 0;
    std::uint64_t currentDigest = 0;
    int suspectCount = 0;
    bool viewOutdated = true;
    /// False only where no claim has copies, or urgent rounds, left.
    bool mayHaveCopies = true;
    bool mayHaveUrgentRounds = true;
};

} // namespace gooseberrywall
