#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace gooseberrywall {

/// Revision of the store, raised by each change of a key; zero: none. A store that comes back from
/// an older copy begins a new era, in which it gives out the same numbers again; all revisions of a
/// later era are above those of earlier ones.
using StoreRevision = Number<struct StoreRevisionTag>;

/// Bits of a revision that hold the store's own number; those above hold the era.
inline constexpr unsigned revisionNumberBits = 35;

/// @returns whether a revision of the store fits beside its era
[[nodiscard]] constexpr auto fitsRevision(std::uint64_t era, std::uint64_t number) -> bool
{
    return era >> (64 - revisionNumberBits) == 0 && number >> revisionNumberBits == 0;
}

/// @param number the revision as the store numbers it
[[nodiscard]] constexpr auto storeRevision(std::uint64_t era, std::uint64_t number) -> StoreRevision
{
    return StoreRevision{(era << revisionNumberBits) + number};
}

[[nodiscard]] constexpr auto eraOf(StoreRevision revision) -> std::uint64_t
{
    return revision.value >> revisionNumberBits;
}

/// @returns the revision as the store numbers it
[[nodiscard]] constexpr auto numberOf(StoreRevision revision) -> std::uint64_t
{
    return revision.value & ((std::uint64_t{1} << revisionNumberBits) - 1);
}

/// Id of a lease in the store; zero: none.
using StoreLease = Number<struct StoreLeaseTag>;

/// A key of the store with its value, or the removal of a key.
struct StoreItem
{
    std::string key;
    std::string value;
    /// Of the last change of the key.
    StoreRevision revision;
    /// Of the creation of the key.
    StoreRevision created;
    /// The lease with which the key ends; zero: it doesn't end by itself.
    StoreLease lease;
    /// The key was removed; only `key` and `revision` are set.
    bool isRemoved = false;
    auto operator==(const StoreItem &) const -> bool = default;
};

/// Reads one key.
struct StoreGet
{
    std::string key;
    /// Accepts a value that is seconds old; such a read costs the store far less.
    bool mayBeStale = false;
    auto operator==(const StoreGet &) const -> bool = default;
};

/// Reads a page of the keys that begin with a prefix.
struct StoreRange
{
    std::string prefix;
    /// The last key of the previous page; empty for the first page.
    std::string after;
    /// As in StoreGet.
    bool mayBeStale = false;
    auto operator==(const StoreRange &) const -> bool = default;
};

/// Waits for changes of the keys that begin with a prefix.
struct StoreWatch
{
    std::string prefix;
    /// Only later changes are reported.
    StoreRevision after;
    /// Without a change, the store answers after this time.
    Duration wait{0};
    auto operator==(const StoreWatch &) const -> bool = default;
};

/// Requires that a key has this revision; zero: that it doesn't exist.
struct StoreCondition
{
    std::string key;
    StoreRevision revision;
    auto operator==(const StoreCondition &) const -> bool = default;
};

/// Sets the value of a key.
struct StoreWrite
{
    std::string key;
    std::string value;
    /// The key is removed when this lease ends; zero: it has no lease.
    StoreLease lease;
    auto operator==(const StoreWrite &) const -> bool = default;
};

/// Applies all writes and removals if all conditions hold, and nothing otherwise.
struct StoreTransaction
{
    std::vector<StoreCondition> conditions;
    std::vector<StoreWrite> writes;
    /// Keys to remove.
    std::vector<std::string> removals;
    auto operator==(const StoreTransaction &) const -> bool = default;
};

/// Opens a lease that ends unless it is renewed within its time to live.
struct StoreLeaseOpen
{
    Duration timeToLive{0};
    auto operator==(const StoreLeaseOpen &) const -> bool = default;
};

/// Starts the time to live of a lease anew.
struct StoreLeaseRenew
{
    StoreLease lease;
    auto operator==(const StoreLeaseRenew &) const -> bool = default;
};

/// Ends a lease, which removes its keys.
struct StoreLeaseEnd
{
    StoreLease lease;
    auto operator==(const StoreLeaseEnd &) const -> bool = default;
};

using StoreCall = std::variant<StoreGet, StoreRange, StoreWatch, StoreTransaction, StoreLeaseOpen,
                               StoreLeaseRenew, StoreLeaseEnd>;

/// The answer to a StoreCall; which fields are set depends on the call.
struct StoreAnswer
{
    enum class Kind : std::uint8_t {
        Ok,
        /// A condition of the transaction doesn't hold; `items` has the current keys.
        ConditionFailed,
        /// The key or lease doesn't exist.
        NotFound,
        /// The store no longer keeps the changes since the revision that the watch starts from.
        HistoryGone,
        /// Refused or not sent: the call has no effect.
        Refused,
        /// No answer, or an unreadable one: the call may have had its effect, or may still have it.
        Unknown,
    };

    Kind kind = Kind::Unknown;
    /// Rises each time the store comes back from a copy, and has lost what it acknowledged since;
    /// empty without an answer, or where the store doesn't tell.
    std::optional<std::uint64_t> era;
    std::vector<StoreItem> items;
    /// Of the store at the time of the answer; for a transaction, the one that it created.
    StoreRevision revision;
    /// StoreLeaseOpen only: the lease, and its time to live as the store grants it.
    StoreLease lease;
    Duration timeToLive{0};
    /// StoreRange only: further pages follow.
    bool hasMore = false;
    auto operator==(const StoreAnswer &) const -> bool = default;
};

/// @returns whether the store hasn't executed the call, or hasn't told whether it has
[[nodiscard]] constexpr auto isFailure(StoreAnswer::Kind kind) -> bool
{
    return kind == StoreAnswer::Kind::Refused || kind == StoreAnswer::Kind::Unknown;
}

/// Sends a call to the store. `done` receives the answer exactly once, and only after the function
/// has returned. A call whose answer hasn't begun to arrive within `timeout` ends as Unknown, or as
/// Refused if it was never sent; an answer that arrives may take longer.
using SendStoreCall =
    std::function<void(StoreCall call, Duration timeout, std::function<void(StoreAnswer)> done)>;

} // namespace gooseberrywall
