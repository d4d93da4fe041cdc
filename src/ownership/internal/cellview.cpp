#include "ownership/internal/cellview.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// Removals within this time are counted together as the effect of one fault.
constexpr Duration removalWindow = std::chrono::seconds{10};

} // namespace

CellView::CellView(Duration settleTime, Duration absenceTime)
    : settleTime(settleTime)
    , absenceTime(absenceTime)
{
}

auto CellView::setMembership(Instant now, const MembershipView &newView) -> bool
{
    if (!this->firstViewAt) {
        this->firstViewAt = now;
    }
    if (newView == this->membershipView) {
        return false;
    }
    for (const auto &member : newView.members) {
        auto &latest =
            this->latestIncarnations.try_emplace(member.id, member.incarnation, now).first->second;
        if (member.incarnation > latest.first) {
            latest = {member.incarnation, now};
        }
        this->updateRemoval(now, member);
    }
    this->membershipView = newView;
    return true;
}

auto CellView::updateRemoval(Instant now, const MemberClaim &member) -> void
{
    if (member.state != MemberState::Removed) {
        this->removedAt.erase(member.id);
        return;
    }
    const auto *previous = this->membershipView.find(member.id);
    if (previous != nullptr && previous->state != MemberState::Removed) {
        this->removedAt.try_emplace(member.id, now);
    }
}

auto CellView::seemsCutOff(Instant now) const -> bool
{
    const auto removedCount =
        std::count_if(this->removedAt.begin(), this->removedAt.end(),
                      [now](const auto &removal) { return now - removal.second < removalWindow; });
    const auto remainingCount =
        std::count_if(this->membershipView.members.begin(), this->membershipView.members.end(),
                      [](const auto &member) { return member.state != MemberState::Removed; });
    return removedCount > remainingCount;
}

auto CellView::setVms(Instant now, const std::vector<VmEntry> &newVms) -> bool
{
    for (auto &listedVm : this->missingSince) {
        const auto isListed = std::any_of(newVms.begin(), newVms.end(), [&](const auto &entry) {
            return entry.id == listedVm.first;
        });
        if (isListed) {
            listedVm.second.reset();
        } else if (!listedVm.second) {
            listedVm.second = now;
        }
    }
    for (const auto &entry : newVms) {
        this->missingSince.try_emplace(entry.id);
    }
    const auto changed = newVms != this->vmList;
    this->vmList = newVms;
    return changed;
}

auto CellView::vm(const std::string &id) const -> const VmEntry *
{
    const auto entry = std::find_if(this->vmList.begin(), this->vmList.end(),
                                    [&](const auto &candidate) { return candidate.id == id; });
    return entry == this->vmList.end() ? nullptr : &*entry;
}

auto CellView::isVmGone(Instant now, const std::string &id) const -> bool
{
    const auto entry = this->missingSince.find(id);
    return entry != this->missingSince.end() && entry->second
           && now - *entry->second >= this->absenceTime;
}

auto CellView::isDaemonGone(Instant now, const DaemonId &id, Incarnation incarnation) const -> bool
{
    const auto *member = this->membershipView.find(id);
    if (member == nullptr) {
        return this->firstViewAt && now - *this->firstViewAt >= this->settleTime;
    }
    return member->incarnation > incarnation
           || (member->incarnation == incarnation && member->state == MemberState::Removed);
}

auto CellView::isDaemonAlive(const DaemonId &id, Incarnation incarnation) const -> bool
{
    const auto *member = this->membershipView.find(id);
    return member != nullptr && member->incarnation == incarnation
           && member->state == MemberState::Alive;
}

auto CellView::daemonEndedAt(Instant now, const DaemonId &id, Incarnation incarnation) const
    -> std::optional<Instant>
{
    const auto latest = this->latestIncarnations.find(id);
    if (latest != this->latestIncarnations.end() && latest->second.first > incarnation) {
        return latest->second.second;
    }
    const auto missing = this->missingSince.find(id.value);
    if (this->isDaemonGone(now, id, incarnation) && this->isVmGone(now, id.value)) {
        return *missing->second + this->absenceTime;
    }
    return std::nullopt;
}

} // namespace gooseberrywall
