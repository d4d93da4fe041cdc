#include "membership/internal/memberlist.h"

#include "common/hash.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace gooseberrywall {

namespace {

/// Copies of a claim that are gossiped, for each doubling of the number of members.
constexpr int gossipCopiesPerDoubling = 3;
constexpr int urgentRoundsPerClaim = 2;

auto digestOf(const MemberClaim &claim) -> std::uint64_t
{
    const auto seed = claim.incarnation.value * 31U + claim.refutation * 4U
                      + static_cast<std::uint64_t>(claim.state);
    return stableHash(claim.id.value, seed);
}

auto contains(const std::vector<MemberClaim> &claims, const DaemonId &id) -> bool
{
    return std::any_of(claims.begin(), claims.end(),
                       [&id](const MemberClaim &claim) { return claim.id == id; });
}

} // namespace

auto supersedes(const MemberClaim &claim, const MemberClaim &known) -> bool
{
    return std::tie(claim.incarnation, claim.refutation, claim.state)
           > std::tie(known.incarnation, known.refutation, known.state);
}

MemberList::MemberList(const DaemonIdentity &self)
    : self(self.id)
{
    const MemberClaim claim{self.id,          self.incarnation,   self.domain,
                            self.peerAddress, MemberState::Alive, 0};
    auto &member = this->members[self.id];
    member.claim = claim;
    this->startGossip(Instant{}, member);
    this->refresh();
}

auto MemberList::find(const DaemonId &id) -> Member *
{
    const auto entry = this->members.find(id);
    return entry == this->members.end() ? nullptr : &entry->second;
}

auto MemberList::find(const DaemonId &id) const -> const Member *
{
    const auto entry = this->members.find(id);
    return entry == this->members.end() ? nullptr : &entry->second;
}

auto MemberList::ownClaim() const -> const MemberClaim &
{
    return this->members.at(this->self).claim;
}

auto MemberList::addContact(const MemberClaim &contact) -> void
{
    const auto [entry, isNew] = this->members.try_emplace(contact.id);
    if (!isNew) {
        return;
    }
    entry->second.claim = contact;
    entry->second.claim.incarnation = Incarnation{};
}

auto MemberList::apply(Instant now, const MemberClaim &claim) -> bool
{
    if (claim.id == this->self || claim.incarnation.value == 0) {
        return false;
    }
    auto *known = this->find(claim.id);
    if (known == nullptr && claim.state == MemberState::Removed) {
        return false;
    }
    if (known != nullptr && !supersedes(claim, known->claim)) {
        return false;
    }
    auto &member = this->members[claim.id];
    if (!member.isPresent() || member.claim.incarnation != claim.incarnation) {
        member.ownClaimSent = false;
        member.answeredAt.reset();
    }
    member.claim = claim;
    this->startGossip(now, member);
    return true;
}

auto MemberList::updateOwnClaim(Instant now, MemberState state, std::uint64_t refutation) -> void
{
    auto &member = this->members.at(this->self);
    member.claim.state = state;
    member.claim.refutation = std::max(member.claim.refutation, refutation) + 1;
    this->startGossip(now, member);
}

auto MemberList::erase(const DaemonId &id) -> void
{
    this->members.erase(id);
    this->viewOutdated = true;
}

auto MemberList::startGossip(Instant now, Member &member) -> void
{
    const auto doublings = static_cast<int>(std::bit_width(this->members.size()));
    member.copiesLeft = gossipCopiesPerDoubling * doublings;
    member.urgentRounds = urgentRoundsPerClaim;
    member.stateSince = now;
    this->viewOutdated = true;
    this->mayHaveCopies = true;
    this->mayHaveUrgentRounds = true;
}

auto MemberList::addGossip(std::vector<MemberClaim> &claims, std::size_t limit) -> void
{
    if (!this->mayHaveCopies) {
        return;
    }
    this->mayHaveCopies = false;
    std::vector<Member *> pending;
    for (auto &[id, member] : this->members) {
        if (member.copiesLeft > 0) {
            this->mayHaveCopies = true;
            pending.push_back(&member);
        }
    }
    std::stable_sort(pending.begin(), pending.end(), [](const Member *left, const Member *right) {
        return left->copiesLeft > right->copiesLeft;
    });
    for (auto *member : pending) {
        if (claims.size() >= limit) {
            return;
        }
        if (!contains(claims, member->claim.id)) {
            member->copiesLeft -= 1;
            claims.push_back(member->claim);
        }
    }
}

auto MemberList::countCopyOfEachClaim() -> void
{
    if (!this->mayHaveCopies) {
        return;
    }
    for (auto &[id, member] : this->members) {
        member.copiesLeft = std::max(0, member.copiesLeft - 1);
    }
}

auto MemberList::addClaimsInOrder(std::vector<MemberClaim> &claims, std::size_t limit,
                                  std::uint64_t start) const -> void
{
    const auto &all = this->currentView.members;
    for (std::size_t offset = 0; offset < all.size() && claims.size() < limit; ++offset) {
        const auto &claim = all[(start + offset) % all.size()];
        if (!contains(claims, claim.id)) {
            claims.push_back(claim);
        }
    }
}

auto MemberList::takeUrgentRound() -> bool
{
    if (!this->mayHaveUrgentRounds) {
        return false;
    }
    this->mayHaveUrgentRounds = false;
    for (auto &[id, member] : this->members) {
        if (member.urgentRounds > 0) {
            member.urgentRounds -= 1;
            this->mayHaveUrgentRounds = true;
        }
    }
    return this->mayHaveUrgentRounds;
}

auto MemberList::refresh() -> void
{
    if (!this->viewOutdated) {
        return;
    }
    this->viewOutdated = false;
    this->version += 1;
    this->currentDigest = 0;
    this->suspectCount = 0;
    this->currentView.members.clear();
    for (const auto &[id, member] : this->members) {
        if (member.claim.incarnation.value == 0) {
            continue;
        }
        this->currentView.members.push_back(member.claim);
        this->suspectCount += member.claim.state == MemberState::Suspect ? 1 : 0;
        if (member.isPresent()) {
            this->currentDigest ^= digestOf(member.claim);
        }
    }
}

} // namespace gooseberrywall
