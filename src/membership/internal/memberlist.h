#pragma once

#include "common/types/instant.h"
#include "membership/types/membershipview.h"
#include "protocol/types/daemonidentity.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// @returns whether `claim` replaces `known`; both are about the same daemon
[[nodiscard]] auto supersedes(const MemberClaim &claim, const MemberClaim &known) -> bool;

/// The latest claim about one daemon and the state of its gossip.
struct Member
{
    MemberClaim claim;
    /// Number of messages that still have to carry the claim.
    int copiesLeft = 0;
    /// Number of rounds in which the claim still has to be sent without waiting for the next
    /// period.
    int urgentRounds = 0;
    /// This daemon has sent its own claim to the member.
    bool ownClaimSent = false;
    /// When this daemon stored the claim or restarted the suspicion, moved on by the length of
    /// stalls of this process.
    Instant stateSince{};
    /// When the member last answered a heartbeat of this daemon itself.
    std::optional<Instant> answeredAt;

    /// @returns whether the daemon's incarnation is known and it isn't removed
    [[nodiscard]] auto isPresent() const -> bool
    {
        return this->claim.incarnation.value != 0 && this->claim.state != MemberState::Removed;
    }
};

/// Holds the latest claim about each daemon of the cell and selects the claims to gossip.
class MemberList
{
public:
    /// @param self this daemon; its claim changes through `updateOwnClaim` only
    explicit MemberList(const DaemonIdentity &self);

    [[nodiscard]] auto find(const DaemonId &id) -> Member *;
    [[nodiscard]] auto find(const DaemonId &id) const -> const Member *;
    [[nodiscard]] auto all() -> std::map<DaemonId, Member> & { return this->members; }
    [[nodiscard]] auto ownClaim() const -> const MemberClaim &;

    /// Adds a daemon of which only the address is known, with incarnation zero. Known daemons stay
    /// as they are.
    auto addContact(const MemberClaim &contact) -> void;

    /// Stores a claim if it supersedes the known one. Claims about this daemon, without
    /// incarnation, or about the removal of an unknown daemon are ignored.
    /// @returns whether the claim was stored
    auto apply(Instant now, const MemberClaim &claim) -> bool;

    /// Sets this daemon's own state with a refutation number above `refutation` and above its own
    /// former one.
    auto updateOwnClaim(Instant now, MemberState state, std::uint64_t refutation) -> void;

    auto erase(const DaemonId &id) -> void;

    /// Appends claims that have copies left, those with the most copies first, until `claims` has
    /// `limit` entries. Uses up one copy of each.
    auto addGossip(std::vector<MemberClaim> &claims, std::size_t limit) -> void;
    /// Uses up one copy of each claim, because a peer with an equal view has all of them.
    auto countCopyOfEachClaim() -> void;
    /// Appends claims in the order of ids until `claims` has `limit` entries.
    /// @param start index of the first claim, modulo the number of claims in the view
    auto addClaimsInOrder(std::vector<MemberClaim> &claims, std::size_t limit,
                          std::uint64_t start) const -> void;
    /// Uses up one urgent round of each claim.
    /// @returns whether any claim had one left
    auto takeUrgentRound() -> bool;

    /// Rebuilds the view if a claim has changed.
    auto refresh() -> void;
    [[nodiscard]] auto view() const -> const MembershipView & { return this->currentView; }
    [[nodiscard]] auto viewVersion() const -> std::uint64_t { return this->version; }
    /// @returns whether the view has suspected members
    [[nodiscard]] auto hasSuspects() const -> bool { return this->suspectCount > 0; }
    /// @returns a hash of the claims about present members; equal for daemons with equal views
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
    /// False only if no claim has copies left.
    bool mayHaveCopies = true;
    /// False only if no claim has urgent rounds left.
    bool mayHaveUrgentRounds = true;
};

} // namespace gooseberrywall
