#include "configuration/configurationtree.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

auto contains(const std::vector<DaemonId> &list, const DaemonId &id) -> bool
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

auto hasDaemonInDomain(const MembershipView &view, const std::vector<DaemonId> &chosen,
                       const FailureDomain &domain) -> bool
{
    return std::any_of(chosen.begin(), chosen.end(), [&](const DaemonId &id) {
        const auto *member = view.find(id);
        return member != nullptr && member->domain == domain;
    });
}

auto chooseReaders(const MembershipView &view, std::size_t count, bool anyDomain,
                   std::vector<DaemonId> &chosen) -> void
{
    for (const auto &member : view.members) {
        const auto fits = member.state == MemberState::Alive && !contains(chosen, member.id)
                          && (anyDomain || !hasDaemonInDomain(view, chosen, member.domain));
        if (fits && chosen.size() < count) {
            chosen.push_back(member.id);
        }
    }
}

} // namespace

auto configurationReaders(const MembershipView &view, std::size_t count) -> std::vector<DaemonId>
{
    auto readers = std::vector<DaemonId>{};
    chooseReaders(view, count, false, readers);
    chooseReaders(view, count, true, readers);
    return readers;
}

auto configurationTreeOrder(const MembershipView &view, std::size_t readerCount)
    -> std::vector<DaemonId>
{
    auto order = configurationReaders(view, readerCount);
    for (const auto &member : view.members) {
        if (member.state == MemberState::Alive && !contains(order, member.id)) {
            order.push_back(member.id);
        }
    }
    for (const auto &member : view.members) {
        const auto isListedLast =
            member.state == MemberState::Suspect || member.state == MemberState::Leaving;
        if (isListedLast) {
            order.push_back(member.id);
        }
    }
    return order;
}

auto configurationTreeChildren(const std::vector<DaemonId> &order, const DaemonId &self,
                               std::size_t fanOut) -> std::vector<DaemonId>
{
    const auto place = std::find(order.begin(), order.end(), self);
    if (place == order.end()) {
        return {};
    }
    const auto rank = static_cast<std::size_t>(place - order.begin());
    const auto first = std::min(rank * fanOut + 1, order.size());
    const auto last = std::min(first + fanOut, order.size());
    return {order.begin() + static_cast<std::ptrdiff_t>(first),
            order.begin() + static_cast<std::ptrdiff_t>(last)};
}

} // namespace gooseberrywall
