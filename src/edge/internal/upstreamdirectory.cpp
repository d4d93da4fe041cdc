#include "edge/upstreamdirectory.h"

#include <algorithm>
#include <set>
#include <utility>

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
        const auto before = this->known.find(entry.id);
        if (before != this->known.end() && before->second.entry.incarnation == entry.incarnation) {
            added = before->second;
            added.isDoubtful = false;
        }
        added.entry = entry;
        added.listedAt = reading.listedAt;
        added.dropAt.reset();
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
        auto kept = old;
        kept.dropAt = old.dropAt.value_or(mayHaveExpired ? registeredAt : now);
        kept.isDoubtful = old.dropAt ? old.isDoubtful : !isOutage;
        kept.staysAt = this->lastStay(old);
        kept.entry.isMissing = true;
        const auto hasLeft = kept.isDoubtful && kept.hintedAt;
        const auto isKept = !next.contains(id) && !old.entry.isDraining && !hasLeft
                            && !addresses.contains(old.entry.address) && this->dropDue(kept) > now;
        if (isKept) {
            next[id] = std::move(kept);
        }
    }
    this->known = std::move(next);
    this->confirm(reading.confirmedAt);
}

auto UpstreamDirectory::confirm(Instant at) -> bool
{
    if (at <= this->confirmedAt) {
        return false;
    }
    this->confirmedAt = at;
    auto isChanged = false;
    for (auto &[id, each] : this->known) {
        if (!each.entry.isMissing && each.hintedAt && *each.hintedAt < at) {
            each.hintedAt.reset();
            isChanged = std::exchange(each.isHeld, false) || isChanged;
        }
    }
    return isChanged;
}

auto UpstreamDirectory::onLeaveHint(const UpstreamProcess &process, LeaveHint hint, Instant askedAt,
                                    Instant now) -> bool
{
    const auto found = this->known.find(process.id);
    if (found == this->known.end() || found->second.entry.incarnation != process.incarnation) {
        return false;
    }
    auto &each = found->second;
    if (hint == LeaveHint::Stays) {
        // An answer to an earlier request may have been given before the hint.
        if (!each.hintedAt || askedAt > *each.hintedAt) {
            each.staysAt = std::max(each.staysAt, now);
            each.hintedAt.reset();
            return std::exchange(each.isHeld, false);
        }
        return false;
    }
    if (hint == LeaveHint::Unknown) {
        return false;
    }
    if (each.isDoubtful) {
        this->known.erase(found);
        return true;
    }
    each.hintedAt = each.hintedAt.value_or(now);
    const auto wasHeld = std::exchange(each.isHeld, this->holdDue(each) <= now);
    return each.isHeld != wasHeld;
}

auto UpstreamDirectory::lastStay(const Known &each) const -> Instant
{
    return each.entry.isMissing ? each.staysAt : std::max(each.staysAt, this->confirmedAt);
}

auto UpstreamDirectory::dropDue(const Known &each) const -> std::optional<Instant>
{
    return each.isDoubtful && each.dropAt
               ? std::min(*each.dropAt, each.staysAt + this->settings.useAfterLastStay)
               : each.dropAt;
}

auto UpstreamDirectory::holdDue(const Known &each) const -> std::optional<Instant>
{
    return each.hintedAt ? std::optional(
               std::max(*each.hintedAt, this->lastStay(each) + this->settings.useAfterLastStay))
                         : std::nullopt;
}

auto UpstreamDirectory::markDrained(UpstreamEntry &entry, Instant now) -> void
{
    const UpstreamProcess process{entry.id, entry.incarnation};
    entry.isDraining = entry.isDraining || this->drained.contains(process);
    if (entry.isDraining) {
        this->drained[process] = now;
    }
}

auto UpstreamDirectory::setLeaving(const UpstreamId &upstream, Incarnation incarnation, Instant now)
    -> bool
{
    this->drained[UpstreamProcess{upstream, incarnation}] = now;
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
    std::erase_if(this->known, [&](const auto &row) {
        const auto due = this->dropDue(row.second);
        return due && *due <= now;
    });
    for (auto &[id, each] : this->known) {
        const auto due = this->holdDue(each);
        each.isHeld = due && *due <= now;
    }
}

auto UpstreamDirectory::entries() const -> std::vector<UpstreamEntry>
{
    std::vector<UpstreamEntry> result;
    result.reserve(this->known.size());
    for (const auto &[id, each] : this->known) {
        result.push_back(each.entry);
        result.back().isDraining = each.entry.isDraining || each.isHeld;
    }
    return result;
}

auto UpstreamDirectory::nextDue() const -> std::optional<Instant>
{
    std::optional<Instant> due;
    const auto consider = [&due](const std::optional<Instant> &next) {
        if (next) {
            due = std::min(due.value_or(*next), *next);
        }
    };
    for (const auto &[id, each] : this->known) {
        consider(this->dropDue(each));
        consider(each.isHeld ? std::nullopt : this->holdDue(each));
    }
    return due;
}

} // namespace gooseberrywall
