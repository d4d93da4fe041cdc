#pragma once

#include "membership/types/membershipview.h"

#include <vector>

namespace gooseberrywall {

/// Orders the daemons for the distribution tree of one version: the root first, the others shuffled
/// by the version, so that different daemons are inner nodes for different versions.
/// @param root the coordinator that wrote the version
/// @returns the daemons that aren't removed; in the same order on all daemons with the same view
[[nodiscard]] auto distributionOrder(const MembershipView &view, const DaemonId &root,
                                     RecordVersion version) -> std::vector<DaemonId>;

/// @returns the children of `self` in the heap-shaped tree over `order`; none if it isn't in there
[[nodiscard]] auto childrenOf(const std::vector<DaemonId> &order, const DaemonId &self,
                              std::size_t fanOut) -> std::vector<DaemonId>;

} // namespace gooseberrywall
