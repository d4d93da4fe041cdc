#include "edge/upstreamdirectory.h"

#include <algorithm>
#include <set>

namespace gooseberrywall {

UpstreamDirectory::UpstreamDirectory(UpstreamDirectorySettings settings)
    : settings(settings)
{
}

auto UpstreamDirectory::update(const std::vector<UpstreamEntry> &present,
                               const UpstreamReading &reading, Instant now) -> void
{
    for (auto &[id, each] : this->known) {
        this->markDrained(each.entry, now);
    }
    std::erase_if(this->drained, [&](const auto &row) {
        return now - row.second > this->settings.drainedRetention;
    });
    std::map<UpstreamId, Known> next;
    std::set<Address> addresses;
    for (const auto &entry : present) {
        auto &added = next[entry.id];
        added = Known{entry, reading.listedAt, std::nullopt};
        this->markDrained(added.entry, now);
        addresses.insert(entry.address);
    }
    const auto missing =
        std::count_if(this->known.begin(), this->known.end(), [&](const auto &row) {
            return !row.second.dropAt && !next.contains(row.first);
        });
    const auto isOutage =
        missing > 1
        && static_cast<double>(missing)
               > this->settings.outageMissingShare * static_cast<double>(this->known.size());
    const auto registeredAt =
        (isOutage ? now : reading.storeBackAt) + this->settings.reregistrationTime;
    for (const auto &[id, old] : this->known) {
        const auto mayHaveExpired = isOutage || old.listedAt < reading.storeFailedAt;
        const auto dropAt = old.dropAt.value_or(mayHaveExpired ? registeredAt : now);
        const auto isKept = !next.contains(id) && !old.entry.isDraining
                            && !addresses.contains(old.entry.address) && dropAt > now;
        if (isKept) {
            auto &kept = next[id];
            kept = Known{old.entry, old.listedAt, dropAt};
            kept.entry.isMissing = true;
        }
    }
    this->known = std::move(next);
}

auto UpstreamDirectory::markDrained(UpstreamEntry &entry, Instant now) -> void
{
    const Process process{entry.id, entry.incarnation};
    entry.isDraining = entry.isDraining || this->drained.contains(process);
    if (entry.isDraining) {
        this->drained[process] = now;
    }
}

auto UpstreamDirectory::setLeaving(const UpstreamId &upstream, Incarnation incarnation, Instant now)
    -> bool
{
    this->drained[Process{upstream, incarnation}] = now;
    const auto found = this->known.find(upstream);
    if (found == this->known.end() || found->second.entry.incarnation != incarnation
        || found->second.entry.isDraining) {
        return false;
    }
    found->second.entry.isDraining = true;
    return true;
}

auto UpstreamDirectory::incarnationOf(const UpstreamId &upstream, const Address &address) const
    -> std::optional<Incarnation>
{
    const auto found = this->known.find(upstream);
    return found != this->known.end() && found->second.entry.address == address
               ? std::optional(found->second.entry.incarnation)
               : std::nullopt;
}

auto UpstreamDirectory::advance(Instant now) -> void
{
    std::erase_if(this->known,
                  [&](const auto &row) { return row.second.dropAt && *row.second.dropAt <= now; });
}

auto UpstreamDirectory::entries() const -> std::vector<UpstreamEntry>
{
    std::vector<UpstreamEntry> result;
    result.reserve(this->known.size());
    for (const auto &[id, each] : this->known) {
        result.push_back(each.entry);
    }
    return result;
}

auto UpstreamDirectory::nextDue() const -> std::optional<Instant>
{
    std::optional<Instant> due;
    for (const auto &[id, each] : this->known) {
        if (each.dropAt) {
            due = due ? std::min(*due, *each.dropAt) : each.dropAt;
        }
    }
    return due;
}

} // namespace gooseberrywall
