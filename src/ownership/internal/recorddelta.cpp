#include "ownership/recorddelta.h"

#include <algorithm>
#include <set>

namespace gooseberrywall {

namespace {

auto hasId(const auto &id)
{
    return [&id](const auto &entry) { return entry.id < id; };
}

/// @returns the entry with this id in a list that is sorted by id; nullptr where there is none
template<typename Entry>
auto findEntry(const std::vector<Entry> &sorted, const decltype(Entry::id) &id) -> const Entry *
{
    const auto found = std::partition_point(sorted.begin(), sorted.end(), hasId(id));
    return found != sorted.end() && found->id == id ? &*found : nullptr;
}

/// @returns the entries of `next` that `base` doesn't have or has otherwise
template<typename Entry>
auto changedEntries(const std::vector<Entry> &base, const std::vector<Entry> &next)
    -> std::vector<Entry>
{
    std::vector<Entry> changed;
    for (const auto &entry : next) {
        const auto *before = findEntry(base, entry.id);
        if (before == nullptr || *before != entry) {
            changed.push_back(entry);
        }
    }
    return changed;
}

template<typename Entry>
auto isEntryRemoved(const std::vector<Entry> &base, const std::vector<Entry> &next) -> bool
{
    return std::any_of(base.begin(), base.end(),
                       [&](const Entry &entry) { return findEntry(next, entry.id) == nullptr; });
}

/// Replaces and adds entries in a list that is sorted by id.
template<typename Entry>
auto merge(std::vector<Entry> &sorted, const std::vector<Entry> &changed) -> void
{
    std::vector<Entry> added;
    for (const auto &entry : changed) {
        const auto found = std::partition_point(sorted.begin(), sorted.end(), hasId(entry.id));
        if (found != sorted.end() && found->id == entry.id) {
            *found = entry;
        } else {
            added.push_back(entry);
        }
    }
    const auto middle = static_cast<std::ptrdiff_t>(sorted.size());
    sorted.insert(sorted.end(), added.begin(), added.end());
    std::inplace_merge(sorted.begin(), sorted.begin() + middle, sorted.end(),
                       [](const Entry &left, const Entry &right) { return left.id < right.id; });
}

/// Adds the upstreams that the delta's entries name, as the encoding refers to them by position.
auto addReferences(CellRecord &delta) -> void
{
    std::set<UpstreamId> named;
    for (const auto &shard : delta.shards) {
        named.insert(shard.owner);
        named.insert(shard.next);
    }
    for (const auto &upstream : delta.upstreams) {
        named.insert(upstream.successor);
    }
    named.erase(UpstreamId{});
    std::vector<UpstreamEntry> references;
    for (const auto &id : named) {
        if (findEntry(delta.upstreams, id) == nullptr) {
            references.emplace_back().id = id;
        }
    }
    merge(delta.upstreams, references);
}

} // namespace

auto recordDelta(const CellRecord &base, const CellRecord &next) -> std::optional<CellRecord>
{
    const auto needsWhole = base.services != next.services || base.pinnedKeys != next.pinnedKeys
                            || isEntryRemoved(base.upstreams, next.upstreams)
                            || isEntryRemoved(base.shards, next.shards);
    if (needsWhole) {
        return std::nullopt;
    }
    CellRecord delta;
    delta.version = next.version;
    delta.operation = next.operation;
    delta.coordinator = next.coordinator;
    delta.coordinatorIncarnation = next.coordinatorIncarnation;
    delta.highestTerm = next.highestTerm;
    delta.quarantine = next.quarantine;
    delta.suspectedCrashes = next.suspectedCrashes;
    delta.upstreams = changedEntries(base.upstreams, next.upstreams);
    delta.shards = changedEntries(base.shards, next.shards);
    addReferences(delta);
    return delta;
}

auto applyDelta(const CellRecord &base, const CellRecord &delta) -> CellRecord
{
    auto next = delta;
    next.services = base.services;
    next.pinnedKeys = base.pinnedKeys;
    std::erase_if(next.upstreams, [](const UpstreamEntry &entry) { return entry.service.empty(); });
    auto upstreams = base.upstreams;
    merge(upstreams, next.upstreams);
    next.upstreams = std::move(upstreams);
    next.shards = base.shards;
    merge(next.shards, delta.shards);
    return next;
}

} // namespace gooseberrywall
