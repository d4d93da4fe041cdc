#pragma once

#include "membership/types/membershipview.h"

#include <vector>

namespace gooseberrywall {

/// @returns the daemons that watch the configuration in the store: the first `count` alive members
///          of the view, in different failure domains as far as possible
[[nodiscard]] auto configurationReaders(const MembershipView &view, std::size_t count)
    -> std::vector<DaemonId>;

/// @returns all daemons in the order of the tree along which updates are forwarded: readers, other
///          alive daemons, then suspected and leaving ones
[[nodiscard]] auto configurationTreeOrder(const MembershipView &view, std::size_t readerCount)
    -> std::vector<DaemonId>;

/// @returns the daemons to which `self` forwards updates: its children in the tree over `order`
///          with `fanOut` children per daemon; none if `self` isn't in `order`
[[nodiscard]] auto configurationTreeChildren(const std::vector<DaemonId> &order,
                                             const DaemonId &self, std::size_t fanOut)
    -> std::vector<DaemonId>;

} // namespace gooseberrywall
