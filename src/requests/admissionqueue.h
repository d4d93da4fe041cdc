#pragma once

#include "protocol/types/servicepolicy.h"
#include "requests/internal/callerqueue.h"
#include "requests/types/queueditem.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// The requests that wait for one upstream's slots. Slots go to callers in proportion to their
/// shares, and within a caller to the request that has to start first to meet its deadline. Long
/// work never holds more than its own slots. What can't be met is refused on arrival or shed.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(QueueLimits limits);

    /// Takes over limits and shares; what waits keeps its place.
    auto configure(QueueLimits limits, const std::vector<CallerShare> &shares) -> void;

    /// @param slots used to estimate how long the item would wait
    /// @returns whether the item was admitted, or the reason and when to retry
    auto offer(Instant now, const QueuedItem &item, const SlotUse &slots) -> Admission;

    /// Puts an item back that was taken but not run, without asking for admission.
    auto putBack(const QueuedItem &item) -> void;

    /// The item may run from now on.
    auto markReady(JobId job) -> void;

    /// @returns the item that goes next, removed from the queue; nothing where none may run
    auto take(const SlotUse &slots) -> std::optional<QueuedItem>;

    /// @returns the items, removed from the queue, that can't meet their deadline any more
    auto expire(Instant now) -> std::vector<JobId>;

    auto remove(JobId job) -> void;

    /// @returns all items in order of their start, removed from the queue
    auto clear() -> std::vector<JobId>;

    [[nodiscard]] auto size() const -> std::size_t { return this->items.size(); }
    [[nodiscard]] auto empty() const -> bool { return this->items.empty(); }

    /// @returns how long a further short request of the caller would wait
    [[nodiscard]] auto expectedWait(const QueuedItem &item, const SlotUse &slots) const -> Duration;

private:
    struct Entry
    {
        QueuedItem item;
        CallerQueue *callerQueue = nullptr;
    };

    auto insert(const QueuedItem &item) -> void;
    auto callerQueueOf(const CallerId &caller) -> CallerQueue &;
    auto shareOf(const CallerId &caller) const -> double;
    auto eraseCallerQueueIfEmpty(const CallerId &caller) -> void;
    [[nodiscard]] auto isOverShare(const QueuedItem &item) const -> bool;
    [[nodiscard]] auto refuse(Reason reason, Duration retryAfter) const -> Admission;
    auto makeRoom(const QueuedItem &item, Duration wait) -> Admission;

    QueueLimits limits;
    std::map<CallerId, double> shares;
    std::map<CallerId, CallerQueue> callerQueues;
    std::unordered_map<JobId, Entry> items;
    std::set<std::pair<Instant, JobId>> latestStarts;
    double virtualTime = 0.0;
};

} // namespace gooseberrywall
