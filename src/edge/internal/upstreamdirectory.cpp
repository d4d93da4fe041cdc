#include "edge/upstreamdirectory.h"

#include <algorithm>
#include <set>

namespace gooseberrywall {

UpstreamDirectory::UpstreamDirectory(UpstreamDirectorySettings settings)
    : settings(settings)
{
}

auto UpstreamDirectory::update(const std::vector<UpstreamEntry> &present, Instant storeFailedAt,
                               Instant now) -> void
{
    std::erase_if(this->drained, [&](const auto &row) {
        return now - row.second.seenAt > this->settings.drainedRetention;
    });
    std::map<UpstreamId, Known> next;
    std::set<Address> addresses;
    for (const auto &entry : present) {
        auto &added = next[entry.id];
        added = Known{entry, std::nullopt};
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
    const auto mayHaveExpired =
        isOutage || now - storeFailedAt < this->settings.outageSuspicionTime;
    for (const auto &[id, old] : this->known) {
        const auto isKept = !next.contains(id) && !old.entry.isDraining
                            && !addresses.contains(old.entry.address)
                            && (old.dropAt ? *old.dropAt > now : mayHaveExpired);
        if (isKept) {
            next[id] =
                Known{old.entry, old.dropAt.value_or(now + this->settings.reregistrationTime)};
        }
    }
    this->known = std::move(next);
}

auto UpstreamDirectory::markDrained(UpstreamEntry &entry, Instant now) -> void
{
    const auto found = this->drained.find(entry.id);
    const auto isKnown =
        found != this->drained.end() && found->second.incarnation == entry.incarnation;
    entry.isDraining = entry.isDraining || isKnown;
    if (entry.isDraining) {
        this->drained[entry.id] = Drained{entry.incarnation, now};
    }
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
