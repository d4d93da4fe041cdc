#include "ownership/internal/daemonchooser.h"

#include "common/hash.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace gooseberrywall {

namespace {

constexpr std::size_t candidateLimit = 3;
/// Weight of a grantor role, in stand-by roles.
constexpr int grantorRoleWeight = 2;

} // namespace

DaemonChooser::DaemonChooser(const MembershipView &view, const CellRecord &record)
    : view(view)
{
    for (const auto &upstream : record.upstreams) {
        this->roleWeights[upstream.grantor] += grantorRoleWeight;
        this->roleWeights[upstream.standby] += 1;
    }
}

auto DaemonChooser::findAlive(const DaemonId &id) const -> const MemberClaim *
{
    const auto *member = this->view.find(id);
    return member != nullptr && member->state == MemberState::Alive ? member : nullptr;
}

auto DaemonChooser::grantorFor(const UpstreamEntry &upstream) -> std::optional<MemberClaim>
{
    std::optional<MemberClaim> best;
    const auto rank = [&](const MemberClaim &member) {
        return std::tuple(member.domain == upstream.domain, this->roleWeights[member.id],
                          stableHash(member.id.value, stableHash(upstream.id.value)));
    };
    for (const auto &member : this->view.members) {
        if (member.state == MemberState::Alive && (!best || rank(member) < rank(*best))) {
            best = member;
        }
    }
    if (best) {
        this->roleWeights[best->id] += grantorRoleWeight;
    }
    return best;
}

auto DaemonChooser::standbyFor(const UpstreamEntry &upstream) -> std::optional<MemberClaim>
{
    const auto *grantor = this->view.find(upstream.grantor);
    const auto grantorDomain = grantor == nullptr ? FailureDomain{} : grantor->domain;
    std::optional<MemberClaim> best;
    const auto rank = [&](const MemberClaim &member) {
        return std::tuple(member.domain == grantorDomain, member.domain == upstream.domain,
                          this->roleWeights[member.id],
                          stableHash(member.id.value, stableHash(upstream.id.value)));
    };
    for (const auto &member : this->view.members) {
        const auto isUsable = member.state == MemberState::Alive && member.id != upstream.grantor;
        if (isUsable && (!best || rank(member) < rank(*best))) {
            best = member;
        }
    }
    if (best) {
        this->roleWeights[best->id] += 1;
    }
    return best;
}

auto DaemonChooser::standbyAsGrantor(const UpstreamEntry &upstream) const
    -> std::optional<MemberClaim>
{
    const auto *member = this->findAlive(upstream.standby);
    if (member == nullptr || member->incarnation != upstream.standbyIncarnation
        || member->domain == upstream.domain) {
        return std::nullopt;
    }
    return *member;
}

auto coordinatorCandidates(const MembershipView &view) -> std::vector<DaemonId>
{
    std::vector<MemberClaim> ranked;
    for (const auto &member : view.members) {
        if (member.state == MemberState::Alive || member.state == MemberState::Suspect) {
            ranked.push_back(member);
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const auto &left, const auto &right) {
        return stableHash(left.id.value) < stableHash(right.id.value);
    });
    std::vector<DaemonId> candidates;
    std::set<FailureDomain> domains;
    for (const auto firstOfDomain : {true, false}) {
        for (const auto &member : ranked) {
            if (candidates.size() == candidateLimit) {
                return candidates;
            }
            const auto isTaken =
                std::find(candidates.begin(), candidates.end(), member.id) != candidates.end();
            if (!isTaken && (!firstOfDomain || domains.insert(member.domain).second)) {
                candidates.push_back(member.id);
            }
        }
    }
    return candidates;
}

} // namespace gooseberrywall
