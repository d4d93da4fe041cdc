#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <string>
#include <variant>
#include <vector>

namespace gooseberrywall {

/// Reads one key.
struct StoreGet
{
    std::string key;
    auto operator==(const StoreGet &) const -> bool = default;
};

/// Writes one key if its version is still `expected` (zero: the key must not exist).
struct StoreCompareAndSwap
{
    std::string key;
    std::string value;
    StoreVersion expected;
    auto operator==(const StoreCompareAndSwap &) const -> bool = default;
};

/// Reads all keys that start with a prefix.
struct StoreList
{
    std::string prefix;
    auto operator==(const StoreList &) const -> bool = default;
};

/// Takes or renews a lease; granted if it is free or held by `holder`.
struct StoreLease
{
    std::string name;
    std::string holder;
    Duration timeToLive{0};
    auto operator==(const StoreLease &) const -> bool = default;
};

/// Gives up a lease.
struct StoreLeaseRelease
{
    std::string name;
    std::string holder;
    auto operator==(const StoreLeaseRelease &) const -> bool = default;
};

/// Waits up to `timeout` for a change of a key under `prefix` after store revision `since`.
struct StoreWatch
{
    std::string prefix;
    std::uint64_t since = 0;
    Duration timeout{0};
    auto operator==(const StoreWatch &) const -> bool = default;
};

/// Reads the platform's list of VMs, which may be out of date.
struct StoreVmList
{
    auto operator==(const StoreVmList &) const -> bool = default;
};

using StoreRequest = std::variant<StoreGet, StoreCompareAndSwap, StoreList, StoreLease,
                                  StoreLeaseRelease, StoreWatch, StoreVmList>;

/// One key of the store with its value.
struct StoreItem
{
    std::string key;
    std::string value;
    StoreVersion version;
    auto operator==(const StoreItem &) const -> bool = default;
};

enum class VmRole : std::uint8_t { Daemon, Upstream };
enum class VmState : std::uint8_t { Live, Leaving };

/// One VM of the platform's list.
struct VmEntry
{
    std::string id;
    VmRole role = VmRole::Daemon;
    VmState state = VmState::Live;
    /// For upstreams: the service that it belongs to.
    ServiceName service;
    FailureDomain domain;
    /// For daemons the address for peers, for upstreams the service address.
    Address address;
    auto operator==(const VmEntry &) const -> bool = default;
};

enum class StoreStatus : std::uint8_t {
    Ok,
    /// Another writer was first, another holder has the lease, or the key doesn't exist (version
    /// zero).
    Conflict,
    /// Certainly without effect: the store could not be reached or refused the call.
    Unavailable,
    /// The call may have taken effect.
    Ambiguous,
};

/// The store's answer. `items` holds the items read; after a conflict the current item.
struct StoreAnswer
{
    StoreStatus status = StoreStatus::Unavailable;
    std::vector<StoreItem> items;
    std::vector<VmEntry> vms;
    /// The store's revision at the time of the answer, from which the next watch starts.
    std::uint64_t revision = 0;
    /// For leases: the current holder.
    std::string leaseHolder;
    auto operator==(const StoreAnswer &) const -> bool = default;
};

} // namespace gooseberrywall
