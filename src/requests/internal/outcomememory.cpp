#include "requests/outcomememory.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// Memory of one entry without its strings.
constexpr std::size_t entryOverheadBytes = 320;
/// Limit on entries that are checked for eviction to make room for one.
constexpr int evictionScanLimit = 64;
/// Entries younger than this are never evicted before their retention has passed.
constexpr UnixMillis minimalEvictionAgeMs = 10'000;

auto keyOf(const OutcomeEntry &entry) -> OutcomeKey
{
    return {entry.caller, entry.id};
}

auto sizeOf(const OutcomeEntry &entry) -> std::size_t
{
    return entryOverheadBytes + 2 * (entry.id.value.size() + entry.caller.value.size())
           + entry.shard.service.value.size() + entry.end.body.size();
}

} // namespace

OutcomeMemory::OutcomeMemory(OutcomeLimits limits)
    : limits(limits)
{
}

auto OutcomeMemory::configure(OutcomeLimits limits) -> void
{
    this->limits = limits;
}

auto OutcomeMemory::cover(const OutcomeCoverage &coverage) -> void
{
    this->covered.insert_or_assign(coverage.shard, coverage);
}

auto OutcomeMemory::replaceCoverage(const std::vector<OutcomeCoverage> &coverage) -> void
{
    this->covered.clear();
    for (const auto &shard : coverage) {
        this->cover(shard);
    }
}

auto OutcomeMemory::covers(const ShardId &shard) const -> bool
{
    return this->covered.contains(shard);
}

auto OutcomeMemory::coverage() const -> std::vector<OutcomeCoverage>
{
    std::vector<OutcomeCoverage> result;
    result.reserve(this->covered.size());
    for (const auto &[shard, coverage] : this->covered) {
        result.push_back(coverage);
    }
    return result;
}

auto OutcomeMemory::isIssueTimeTrusted(const OutcomeTime &time, UnixMillis issuedAt) const -> bool
{
    return issuedAt != 0 && time.wall != 0
           && issuedAt <= time.wall + this->limits.clockSkew.count();
}

auto OutcomeMemory::hasNeverRun(const OutcomeTime &time, UnixMillis issuedAt,
                                const OutcomeCoverage &coverage) const -> bool
{
    if (this->isIssueTimeTrusted(time, issuedAt)) {
        const auto since = std::max(coverage.datedIdsCoveredFrom, this->evictedUntilTime);
        return since == 0 || issuedAt > since + this->limits.clockSkew.count();
    }
    return coverage.undatedIdsCoveredFrom == 0
           || (time.wall != 0 && time.wall >= coverage.undatedIdsCoveredFrom);
}

auto OutcomeMemory::lookUp(const OutcomeTime &time, const OutcomeEntry &entry) const
    -> OutcomeLookup
{
    const auto known = this->storedEntries.find(keyOf(entry));
    if (known != this->storedEntries.end()) {
        const auto &found = known->second.entry;
        if (found.fingerprint != entry.fingerprint) {
            return {LookupResult::IdReused, &found};
        }
        const bool ended = found.stage == OutcomeStage::Ended;
        return {ended ? LookupResult::Ended : LookupResult::Started, &found};
    }
    const auto coverage = this->covered.find(entry.shard);
    if (coverage == this->covered.end()) {
        return {LookupResult::NotCovered, nullptr};
    }
    const bool neverRun = this->hasNeverRun(time, entry.issuedAt, coverage->second);
    return {neverRun ? LookupResult::NeverRun : LookupResult::Forgotten, nullptr};
}

auto OutcomeMemory::find(const OutcomeKey &key) const -> const OutcomeEntry *
{
    const auto known = this->storedEntries.find(key);
    return known == this->storedEntries.end() ? nullptr : &known->second.entry;
}

auto OutcomeMemory::start(const OutcomeTime &time, OutcomeEntry entry) -> bool
{
    entry.stage = OutcomeStage::Started;
    entry.end = RequestEnd{};
    if (!this->isIssueTimeTrusted(time, entry.issuedAt)) {
        entry.issuedAt = 0;
    }
    if (!this->makeRoom(time, sizeOf(entry))) {
        return false;
    }
    this->insert(time, std::move(entry));
    return true;
}

auto OutcomeMemory::insert(const OutcomeTime &time, OutcomeEntry entry) -> void
{
    const auto key = keyOf(entry);
    this->erase(key);
    const auto bytes = sizeOf(entry);
    const auto order = ++this->lastOrder;
    this->usedBytes += bytes;
    this->byAge.emplace(order, key);
    this->storedEntries.emplace(key, StoredEntry{std::move(entry), order, time, bytes});
}

auto OutcomeMemory::adopt(const OutcomeTime &time, OutcomeEntry entry) -> void
{
    this->dropOversizedBody(entry);
    this->insert(time, std::move(entry));
}

auto OutcomeMemory::dropOversizedBody(OutcomeEntry &entry) const -> void
{
    if (entry.end.body.size() > this->limits.keptAnswerLimitBytes) {
        entry.end = RequestEnd::unknown(Reason::OutcomeForgotten);
    }
}

auto OutcomeMemory::updateSize(StoredEntry &entry) -> void
{
    const auto bytes = sizeOf(entry.entry);
    this->usedBytes += bytes;
    this->usedBytes -= entry.bytes;
    entry.bytes = bytes;
}

auto OutcomeMemory::finish(const OutcomeKey &key, const RequestEnd &end) -> const OutcomeEntry *
{
    const auto known = this->storedEntries.find(key);
    if (known == this->storedEntries.end()) {
        return nullptr;
    }
    auto &kept = known->second;
    kept.entry.stage = OutcomeStage::Ended;
    kept.entry.end = end;
    this->dropOversizedBody(kept.entry);
    this->updateSize(kept);
    if (this->usedBytes > this->limits.maximalBytes) {
        this->bodiesDroppedUpTo = std::min(this->bodiesDroppedUpTo, kept.order - 1);
        this->dropOldBodies(0);
    }
    return &kept.entry;
}

auto OutcomeMemory::erase(const OutcomeKey &key) -> void
{
    const auto known = this->storedEntries.find(key);
    if (known == this->storedEntries.end()) {
        return;
    }
    this->usedBytes -= known->second.bytes;
    this->byAge.erase(known->second.order);
    this->storedEntries.erase(known);
}

auto OutcomeMemory::dropOldBodies(std::size_t bytes) -> void
{
    auto age = this->byAge.upper_bound(this->bodiesDroppedUpTo);
    while (age != this->byAge.end() && this->usedBytes + bytes > this->limits.maximalBytes) {
        auto &kept = this->storedEntries.at(age->second);
        if (!kept.entry.end.body.empty()) {
            kept.entry.end = RequestEnd::unknown(Reason::OutcomeForgotten);
            this->updateSize(kept);
        }
        this->bodiesDroppedUpTo = age->first;
        ++age;
    }
}

auto OutcomeMemory::makeRoom(const OutcomeTime &time, std::size_t bytes) -> bool
{
    this->expire(time);
    this->dropOldBodies(bytes);
    auto age = this->byAge.begin();
    for (int scanned = 0; scanned < evictionScanLimit && age != this->byAge.end(); ++scanned) {
        if (this->usedBytes + bytes <= this->limits.maximalBytes) {
            return true;
        }
        const auto order = age->first;
        const auto &kept = this->storedEntries.at(age->second);
        ++age;
        const auto evictableBefore =
            time.wall - minimalEvictionAgeMs - this->limits.clockSkew.count();
        const auto latestTime = std::max(kept.addedAt.wall, kept.entry.issuedAt);
        if (kept.entry.issuedAt != 0 && latestTime != 0 && latestTime < evictableBefore) {
            this->evict(order);
        }
    }
    return this->usedBytes + bytes <= this->limits.maximalBytes;
}

auto OutcomeMemory::evict(std::uint64_t order) -> void
{
    const auto key = this->byAge.at(order);
    const auto &kept = this->storedEntries.at(key);
    if (kept.entry.issuedAt != 0) {
        this->setEvictedUntil(std::max(kept.addedAt.wall, kept.entry.issuedAt));
    }
    this->erase(key);
}

auto OutcomeMemory::expire(const OutcomeTime &time) -> void
{
    while (!this->byAge.empty()) {
        const auto &[order, key] = *this->byAge.begin();
        if (this->storedEntries.at(key).addedAt.now + this->limits.retention > time.now) {
            return;
        }
        this->evict(order);
    }
}

auto OutcomeMemory::setEvictedUntil(UnixMillis time) -> void
{
    this->evictedUntilTime = std::max(this->evictedUntilTime, time);
}

auto OutcomeMemory::extract(const ShardId &shard) -> std::optional<ShardOutcomes>
{
    const auto coverage = this->covered.find(shard);
    if (coverage == this->covered.end()) {
        return std::nullopt;
    }
    ShardOutcomes result{{}, coverage->second, {}};
    result.coverage.datedIdsCoveredFrom =
        std::max(result.coverage.datedIdsCoveredFrom, this->evictedUntilTime);
    this->covered.erase(coverage);
    for (const auto &[order, key] : this->byAge) {
        const auto &entry = this->storedEntries.at(key).entry;
        if (entry.shard == shard) {
            result.entries.push_back(entry);
        }
    }
    for (const auto &entry : result.entries) {
        this->erase(keyOf(entry));
    }
    return result;
}

auto OutcomeMemory::reassign(const ShardId &from, const ShardId &to, std::uint64_t keyHash) -> void
{
    for (auto &[key, kept] : this->storedEntries) {
        if (kept.entry.shard == from && (keyHash == 0 || kept.entry.keyHash == keyHash)) {
            kept.entry.shard = to;
        }
    }
}

auto OutcomeMemory::uncover(const ShardId &shard) -> void
{
    this->covered.erase(shard);
}

auto OutcomeMemory::coverageOf(const ShardId &shard) const -> std::optional<OutcomeCoverage>
{
    const auto found = this->covered.find(shard);
    return found == this->covered.end() ? std::nullopt : std::optional(found->second);
}

auto OutcomeMemory::entries() const -> std::vector<OutcomeEntry>
{
    std::vector<OutcomeEntry> result;
    result.reserve(this->byAge.size());
    for (const auto &[order, key] : this->byAge) {
        result.push_back(this->storedEntries.at(key).entry);
    }
    return result;
}

} // namespace gooseberrywall
