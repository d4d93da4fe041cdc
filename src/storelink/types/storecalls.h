#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberrywall {

/// Counts the changes of the store; each change has a higher one.
using StoreRevision = Number<struct StoreRevisionTag>;
/// A lease in the store; zero: none.
using StoreLease = Number<struct StoreLeaseTag>;

/// One key of the store.
struct StoreItem
{
    std::string key;
    std::string value;
    StoreRevision revision;
    StoreRevision created;
    StoreLease lease;
    /// The key was removed; only `key` and `revision` are set.
    bool isRemoved = false;
    auto operator==(const StoreItem &) const -> bool = default;
};

/// Reads one key.
struct StoreGet
{
    std::string key;
    /// The answer may be seconds old, which is far cheaper.
    bool mayBeStale = false;
    auto operator==(const StoreGet &) const -> bool = default;
};

/// Reads a page of the keys that begin with a prefix.
struct StoreRange
{
    std::string prefix;
    /// The last key of the page before; empty for the first page.
    std::string after;
    auto operator==(const StoreRange &) const -> bool = default;
};

/// Waits for changes of the keys that begin with a prefix.
struct StoreWatch
{
    std::string prefix;
    StoreRevision after;
    Duration wait{0};
    auto operator==(const StoreWatch &) const -> bool = default;
};

/// A key must have this revision; zero: must not exist.
struct StoreCondition
{
    std::string key;
    StoreRevision revision;
    auto operator==(const StoreCondition &) const -> bool = default;
};

struct StoreWrite
{
    std::string key;
    std::string value;
    StoreLease lease;
    auto operator==(const StoreWrite &) const -> bool = default;
};

/// Changes keys if all conditions hold, or none.
struct StoreTransaction
{
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
    std::vector<std::string> removals;
    auto operator==(const StoreTransaction &) const -> bool = default;
};

struct StoreLeaseOpen
{
    Duration timeToLive{0};
    auto operator==(const StoreLeaseOpen &) const -> bool = default;
};

struct StoreLeaseRenew
{
    StoreLease lease;
    auto operator==(const StoreLeaseRenew &) const -> bool = default;
};

/// Ends a lease; its keys are removed.
struct StoreLeaseEnd
{
    StoreLease lease;
    auto operator==(const StoreLeaseEnd &) const -> bool = default;
};

using StoreCall = std::variant<StoreGet, StoreRange, StoreWatch, StoreTransaction, StoreLeaseOpen,
                               StoreLeaseRenew, StoreLeaseEnd>;

struct StoreAnswer
{
    enum class Kind : std::uint8_t {
        Ok,
        /// A condition of the transaction doesn't hold; `items` has the keys as they are.
        ConditionFailed,
        /// No such key or lease.
        NotFound,
        /// The history that the watch starts from is no longer kept.
        HistoryGone,
        /// Surely nothing was done.
        Refused,
        /// No answer, or one that can't be read: may be done, or be done later.
        Unknown,
    };

    Kind kind = Kind::Unknown;
    std::vector<StoreItem> items;
    /// Of the store, or of a transaction.
    StoreRevision revision;
    StoreLease lease;
    Duration timeToLive{0};
    bool hasMore = false;
    auto operator==(const StoreAnswer &) const -> bool = default;
};

/// Sends a call; the callback gets the answer once, never from within the sending.
using SendStoreCall =
    std::function<void(StoreCall call, Duration timeout, std::function<void(StoreAnswer)> done)>;

} // namespace gooseberrywall
