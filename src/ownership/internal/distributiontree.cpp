#include "ownership/internal/distributiontree.h"

#include "common/hash.h"

#include <algorithm>
#include <tuple>

namespace gooseberrywall {

auto distributionOrder(const MembershipView &view, const DaemonId &root, RecordVersion version)
    -> std::vector<DaemonId>
{
    std::vector<DaemonId> order;
    for (const auto &member : view.members) {
        if (member.state != MemberState::Removed) {
            order.push_back(member.id);
        }
    }
    const auto rank = [&](const DaemonId &id) {
        return std::tuple(id != root, stableHash(id.value, version.value));
    };
    std::sort(order.begin(), order.end(),
              [&](const auto &left, const auto &right) { return rank(left) < rank(right); });
    return order;
}

auto childrenOf(const std::vector<DaemonId> &order, const DaemonId &self, std::size_t fanOut)
    -> std::vector<DaemonId>
{
    const auto position = std::find(order.begin(), order.end(), self);
    if (position == order.end()) {
        return {};
    }
    const auto index = static_cast<std::size_t>(position - order.begin());
    const auto first = std::min(order.size(), index * fanOut + 1);
    const auto end = std::min(order.size(), first + fanOut);
    std::vector<DaemonId> children;
    for (auto child = first; child < end; ++child) {
        children.push_back(order[child]);
    }
    return children;
}

} // namespace gooseberrywall
