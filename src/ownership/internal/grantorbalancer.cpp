#include "ownership/internal/grantorbalancer.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace gooseberrywall {

namespace {

/// Changes of grantors and stand-bys that begin in one planning interval; each makes the table of
/// all daemons change.
constexpr int changeBudget = 4;
/// Time in which a stand-by gets the outcome memory before it may become grantor.
constexpr Duration standbyPreparationTime = std::chrono::seconds{3};

} // namespace

/// The grantor roles of each daemon that is alive, with those it is prepared for as a stand-by.
struct GrantorBalancer::RoleCounts
{
    RoleCounts(const PlanningContext &context, const CellRecord &record)
    {
        for (const auto &member : context.cellView.membership().members) {
            if (member.state == MemberState::Alive) {
                this->grantors[member.id] = 0;
                this->domains.insert(member.domain);
            }
        }
        for (const auto &entry : record.upstreams) {
            if (const auto found = this->grantors.find(entry.grantor);
                found != this->grantors.end()) {
                ++found->second;
            }
        }
        const auto upstreamCount = static_cast<int>(record.upstreams.size());
        const auto daemonCount = std::max(1, static_cast<int>(this->grantors.size()));
        this->fairShare = (upstreamCount + daemonCount - 1) / daemonCount;
    }

    [[nodiscard]] auto of(const DaemonId &id) const -> int
    {
        const auto found = this->grantors.find(id);
        return found == this->grantors.end() ? 0 : found->second;
    }

    std::map<DaemonId, int> grantors;
    std::set<FailureDomain> domains;
    int fairShare = 0;
};

auto GrantorBalancer::run(const PlanningContext &context, UpstreamPlanner &planner,
                          CellRecord &record) -> void
{
    this->updateStandbys(context, record);
    if (!isCalm(context, record)) {
        return;
    }
    RoleCounts counts(context, record);
    auto budget = changeBudget;
    for (auto &entry : record.upstreams) {
        if (budget == 0) {
            return;
        }
        if (entry.state != UpstreamState::Live || !mustMove(context, entry, counts)) {
            continue;
        }
        if (const auto *next = this->readyStandby(context, entry, counts)) {
            --counts.grantors[entry.grantor];
            ++counts.grantors[next->id];
            planner.swapRoles(entry);
            --budget;
        } else if (prepareStandby(context, entry, counts)) {
            --budget;
        }
    }
}

auto GrantorBalancer::isCalm(const PlanningContext &context, const CellRecord &record) -> bool
{
    const auto &members = context.cellView.membership().members;
    const auto areDaemonsCalm =
        std::all_of(members.begin(), members.end(), [](const MemberClaim &member) {
            return member.state == MemberState::Alive || member.state == MemberState::Removed;
        });
    return areDaemonsCalm && !context.cellView.seemsCutOff(context.now)
           && std::all_of(record.upstreams.begin(), record.upstreams.end(),
                          [](const UpstreamEntry &entry) { return entry.formerGrantors.empty(); });
}

auto GrantorBalancer::updateStandbys(const PlanningContext &context, const CellRecord &record)
    -> void
{
    std::map<UpstreamId, std::pair<Standby, Instant>> next;
    for (const auto &entry : record.upstreams) {
        const Standby standby{entry.standby, entry.standbyIncarnation};
        const auto known = this->standbySince.find(entry.id);
        const auto isSame = known != this->standbySince.end() && known->second.first == standby;
        next[entry.id] = {standby, isSame ? known->second.second : context.now};
    }
    this->standbySince = std::move(next);
}

auto GrantorBalancer::mustMove(const PlanningContext &context, const UpstreamEntry &entry,
                               const RoleCounts &counts) -> bool
{
    const auto *grantor = context.cellView.membership().find(entry.grantor);
    const auto isPresent = grantor != nullptr && grantor->incarnation == entry.grantorIncarnation
                           && grantor->state == MemberState::Alive;
    if (!isPresent) {
        return false;
    }
    const auto isInUpstreamsDomain = grantor->domain == entry.domain && counts.domains.size() > 1;
    return isInUpstreamsDomain || counts.of(entry.grantor) > counts.fairShare;
}

auto GrantorBalancer::readyStandby(const PlanningContext &context, const UpstreamEntry &entry,
                                   const RoleCounts &counts) const -> const MemberClaim *
{
    const auto *standby = context.cellView.membership().find(entry.standby);
    const auto isUsable = standby != nullptr && standby->state == MemberState::Alive
                          && standby->incarnation == entry.standbyIncarnation
                          && standby->domain != entry.domain
                          && counts.of(standby->id) < counts.fairShare;
    const auto known = this->standbySince.find(entry.id);
    const auto isPrepared = known != this->standbySince.end()
                            && context.now - known->second.second >= standbyPreparationTime;
    return isUsable && isPrepared ? standby : nullptr;
}

auto GrantorBalancer::prepareStandby(const PlanningContext &context, UpstreamEntry &entry,
                                     RoleCounts &counts) -> bool
{
    const auto &membership = context.cellView.membership();
    const auto *grantor = membership.find(entry.grantor);
    const auto *present = membership.find(entry.standby);
    const auto isSuitable = [&](const MemberClaim &member) {
        return member.state == MemberState::Alive && member.id != entry.grantor
               && member.domain != entry.domain && counts.of(member.id) < counts.fairShare;
    };
    if (present != nullptr && isSuitable(*present)
        && present->incarnation == entry.standbyIncarnation) {
        return false;
    }
    const MemberClaim *best = nullptr;
    const auto rank = [&](const MemberClaim &member) {
        return std::tuple(member.domain == grantor->domain, counts.of(member.id));
    };
    for (const auto &member : membership.members) {
        if (isSuitable(member) && (best == nullptr || rank(member) < rank(*best))) {
            best = &member;
        }
    }
    if (best == nullptr) {
        return false;
    }
    entry.standby = best->id;
    entry.standbyIncarnation = best->incarnation;
    // Other upstreams prepared in this interval choose other daemons.
    ++counts.grantors[best->id];
    return true;
}

} // namespace gooseberrywall
