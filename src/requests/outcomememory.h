#pragma once

#include "requests/types/outcomekey.h"

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

namespace gooseberrywall {

/// What a memory says of a request before it runs.
enum class LookupResult : std::uint8_t {
    /// Certainly never run: it may run.
    NeverRun,
    /// It was sent to the upstream, and its end isn't known.
    Started,
    /// The entry holds its end.
    Ended,
    /// Another request has the same id.
    IdReused,
    /// It may have run before the memory began, or its entry has been evicted.
    Forgotten,
    /// The memory of its shard hasn't arrived yet.
    NotCovered,
};

/// A verdict, with the entry where there is one. The entry lives until the next change.
struct OutcomeLookup
{
    LookupResult result = LookupResult::NotCovered;
    const OutcomeEntry *entry = nullptr;
};

/// Remembers the non-idempotent requests of one upstream, so that none runs twice. Bounded in bytes
/// and time: ids that say when they were issued may be evicted early, since the memory remembers up
/// to when it has evicted; other ids stay for the whole window.
class OutcomeMemory
{
public:
    explicit OutcomeMemory(OutcomeLimits limits);

    auto configure(OutcomeLimits limits) -> void;

    /// The outcomes of a shard are remembered from now on.
    auto cover(const OutcomeCoverage &coverage) -> void;
    /// The outcomes of these shards are remembered, and of no others.
    auto replaceCoverage(const std::vector<OutcomeCoverage> &coverage) -> void;
    [[nodiscard]] auto covers(const ShardId &shard) const -> bool;
    [[nodiscard]] auto coverage() const -> std::vector<OutcomeCoverage>;

    /// @param entry names the request; its stage and end are not used
    [[nodiscard]] auto lookUp(const OutcomeTime &time, const OutcomeEntry &entry) const
        -> OutcomeLookup;

    /// @returns the entry; nullptr where there is none
    [[nodiscard]] auto find(const OutcomeKey &key) const -> const OutcomeEntry *;

    /// Remembers a request that is about to run.
    /// @returns false where the memory is full of entries that must stay
    [[nodiscard]] auto start(const OutcomeTime &time, OutcomeEntry entry) -> bool;

    /// Remembers how a request ended.
    /// @returns the entry as it is kept; nullptr where there is none
    auto finish(const OutcomeKey &key, const RequestEnd &end) -> const OutcomeEntry *;

    /// The request certainly did not run.
    auto erase(const OutcomeKey &key) -> void;

    /// Evicts what is older than the window.
    auto expire(const OutcomeTime &time) -> void;

    /// Takes over an entry from another memory.
    auto adopt(const OutcomeTime &time, OutcomeEntry entry) -> void;

    /// Removes a shard with its entries, for a handover.
    [[nodiscard]] auto extract(const ShardId &shard) -> std::optional<ShardOutcomes>;

    /// Assigns the entries of a shard to another one.
    /// @param keyHash only those of one key; zero: all of them
    auto reassign(const ShardId &from, const ShardId &to, std::uint64_t keyHash) -> void;

    /// Nothing is covered any more; entries are kept.
    auto uncover(const ShardId &shard) -> void;

    /// @returns the coverage of a shard; nothing where it isn't covered
    [[nodiscard]] auto coverageOf(const ShardId &shard) const -> std::optional<OutcomeCoverage>;

    [[nodiscard]] auto entries() const -> std::vector<OutcomeEntry>;
    [[nodiscard]] auto bytes() const -> std::size_t { return this->usedBytes; }
    [[nodiscard]] auto size() const -> std::size_t { return this->storedEntries.size(); }

    /// Ids issued before this time may have been evicted; zero: none has.
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
    /// Entries up to this one have no body any more.
    std::uint64_t bodiesDroppedUpTo = 0;
    std::size_t usedBytes = 0;
    UnixMillis evictedUntilTime = 0;
};

} // namespace gooseberrywall
