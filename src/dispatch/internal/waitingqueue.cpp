#include "dispatch/waitingqueue.h"

#include <algorithm>

namespace gooseberrywall {

auto WaitingQueue::insert(WaitingRequest &waiting) -> void
{
    this->entries.insert(this->position(waiting.rank), Entry{waiting.rank, &waiting});
}

auto WaitingQueue::erase(const WaitingRequest &waiting) -> void
{
    const auto found = this->position(waiting.rank);
    if (found != this->entries.end() && found->waiting == &waiting) {
        this->entries.erase(found);
    }
}

auto WaitingQueue::updateLateness(Duration latency, Instant now) -> void
{
    auto isChanged = false;
    for (auto &entry : this->entries) {
        const auto isLate = now + latency > entry.waiting->target;
        if (isLate != entry.rank.isLate) {
            entry.rank.isLate = isLate;
            entry.waiting->rank.isLate = isLate;
            isChanged = true;
        }
    }
    if (isChanged) {
        std::sort(this->entries.begin(), this->entries.end(),
                  [](const Entry &left, const Entry &right) { return left.rank < right.rank; });
    }
}

auto WaitingQueue::countBefore(const WaitingRank &rank) const -> std::size_t
{
    return static_cast<std::size_t>(this->position(rank) - this->entries.begin());
}

auto WaitingQueue::position(const WaitingRank &rank) const -> std::vector<Entry>::const_iterator
{
    return std::lower_bound(
        this->entries.begin(), this->entries.end(), rank,
        [](const Entry &entry, const WaitingRank &searched) { return entry.rank < searched; });
}

} // namespace gooseberrywall
