#pragma once

#include "requests/types/outcomekey.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace gooseberrywall {

/// What an outcome memory knows of a request.
enum class LookupResult : std::uint8_t {
    /// It has certainly never run, so it may run.
    NeverRun,
    /// It may have been sent to the upstream; its end isn't known.
    Started,
    /// It has ended; the entry holds its end.
    Ended,
    /// Another request has the same id.
    IdReused,
    /// It may have run before the memory began, or its entry has been evicted.
    Forgotten,
    /// The memory doesn't cover its shard, for instance before the handover has arrived.
    NotCovered,
};

/// Result of a lookup, and the entry if there is one; valid until the next change of the memory.
struct OutcomeLookup
{
    LookupResult result = LookupResult::NotCovered;
    const OutcomeEntry *entry = nullptr;
};

/// Remembers the non-idempotent requests of one upstream, so that none runs twice. Bounded in bytes
/// and time: entries whose id carries its time of issue may be evicted early, since the memory
/// knows up to which time of issue it has evicted. Other entries stay for the whole retention.
class OutcomeMemory
{
public:
    explicit OutcomeMemory(OutcomeLimits limits);

    auto configure(OutcomeLimits limits) -> void;

    /// Starts or replaces the coverage of one shard.
    auto cover(const OutcomeCoverage &coverage) -> void;
    /// Covers these shards and no others.
    auto replaceCoverage(const std::vector<OutcomeCoverage> &coverage) -> void;
    [[nodiscard]] auto covers(const ShardId &shard) const -> bool;
    [[nodiscard]] auto coverage() const -> std::vector<OutcomeCoverage>;

    /// Looks a request up before it runs.
    /// @param entry identifies the request; its stage and end are not used
    [[nodiscard]] auto lookUp(const OutcomeTime &time, const OutcomeEntry &entry) const
        -> OutcomeLookup;

    /// @returns the entry; nullptr where there is none
    [[nodiscard]] auto find(const OutcomeKey &key) const -> const OutcomeEntry *;

    /// Adds a request that is about to run.
    /// @returns false where the memory is full of entries that can't be evicted yet
    [[nodiscard]] auto start(const OutcomeTime &time, OutcomeEntry entry) -> bool;

    /// Sets how a request ended. A body over the limit isn't kept.
    /// @returns the entry as it is kept; nullptr where there is none
    auto finish(const OutcomeKey &key, const RequestEnd &end) -> const OutcomeEntry *;

    /// Removes a request that certainly did not run.
    auto erase(const OutcomeKey &key) -> void;

    /// Evicts the entries whose retention has passed.
    auto expire(const OutcomeTime &time) -> void;

    /// Adds an entry of another memory.
    auto adopt(const OutcomeTime &time, OutcomeEntry entry) -> void;

    /// Removes a shard with its entries, for a handover.
    /// @returns coverage and entries, without the epoch; nothing where the shard isn't covered
    [[nodiscard]] auto extract(const ShardId &shard) -> std::optional<ShardOutcomes>;

    /// Assigns the entries of a shard to another one.
    /// @param keyHash selects the entries of one key; zero: all entries
    auto reassign(const ShardId &from, const ShardId &to, std::uint64_t keyHash) -> void;

    /// Ends the coverage of a shard; its entries are kept.
    auto uncover(const ShardId &shard) -> void;

    /// @returns the coverage of a shard; nothing where it isn't covered
    [[nodiscard]] auto coverageOf(const ShardId &shard) const -> std::optional<OutcomeCoverage>;

    [[nodiscard]] auto entries() const -> std::vector<OutcomeEntry>;
    [[nodiscard]] auto bytes() const -> std::size_t { return this->usedBytes; }
    [[nodiscard]] auto size() const -> std::size_t { return this->storedEntries.size(); }

    /// @returns the time of issue up to which ids may have been evicted; zero: none has
    [[nodiscard]] auto evictedUntil() const -> UnixMillis { return this->evictedUntilTime; }
    auto setEvictedUntil(UnixMillis time) -> void;

private:
    struct StoredEntry
    {
        OutcomeEntry entry;
        std::uint64_t order = 0;
        OutcomeTime addedAt;
        std::size_t bytes = 0;
    };

    [[nodiscard]] auto hasNeverRun(const OutcomeTime &time, UnixMillis issuedAt,
                                   const OutcomeCoverage &coverage) const -> bool;
    [[nodiscard]] auto isIssueTimeTrusted(const OutcomeTime &time, UnixMillis issuedAt) const
        -> bool;
    [[nodiscard]] auto makeRoom(const OutcomeTime &time, std::size_t bytes) -> bool;
    auto dropOldBodies(std::size_t bytes) -> void;
    auto insert(const OutcomeTime &time, OutcomeEntry entry) -> void;
    auto evict(std::uint64_t order) -> void;
    auto dropOversizedBody(OutcomeEntry &entry) const -> void;
    auto updateSize(StoredEntry &entry) -> void;

    OutcomeLimits limits;
    std::map<ShardId, OutcomeCoverage> covered;
    std::unordered_map<OutcomeKey, StoredEntry> storedEntries;
    std::map<std::uint64_t, OutcomeKey> byAge;
    std::uint64_t lastOrder = 0;
    /// The bodies of entries with an order up to this one have been dropped.
    std::uint64_t bodiesDroppedUpTo = 0;
    std::size_t usedBytes = 0;
    UnixMillis evictedUntilTime = 0;
};

} // namespace gooseberrywall
