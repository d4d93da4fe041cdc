#pragma once

#include "membership/types/membershipview.h"

#include <vector>

namespace gooseberrywall {

/// @returns the daemons that read the configuration at the store: the first ones by rank, each in
///          another failure domain as far as there are enough
[[nodiscard]] auto configurationReaders(const MembershipView &view, std::size_t count)
    -> std::vector<DaemonId>;

/// @returns all daemons in the order in which changes spread: readers, then those that are alive,
///          then those that are suspected or leaving
[[nodiscard]] auto configurationTreeOrder(const MembershipView &view, std::size_t readerCount)
    -> std::vector<DaemonId>;

/// @returns to whom a daemon passes changes on, in a tree of fixed fan-out over an order
[[nodiscard]] auto configurationTreeChildren(const std::vector<DaemonId> &order,
                                             const DaemonId &self, std::size_t fanOut)
    -> std::vector<DaemonId>;

} // namespace gooseberrywall
