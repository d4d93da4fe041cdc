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

/// Holds the requests that wait for one upstream's slots. Slots go to callers in proportion to
/// their shares, and within a caller to the request that must start first to meet its deadline.
/// Long work takes at most QueueLimits::longWorkSlots of them. A request that can't meet its
/// deadline is refused on arrival, or shed once that is known.
class AdmissionQueue
{
public:
    explicit AdmissionQueue(QueueLimits limits);

    /// Sets the limits and the callers' shares; queued items stay queued.
    /// @param shares callers that aren't listed have a share of one
    auto configure(QueueLimits limits, const std::vector<CallerShare> &shares) -> void;

    /// Admits the item if it can meet its deadline and the queue's limits allow it.
    /// @param slots the upstream's slots, from which the item's wait is estimated
    /// @returns Reason::None where the item was admitted; otherwise the reason and when to retry
    auto offer(Instant now, const QueuedItem &item, const SlotUse &slots) -> Admission;

    /// Queues an item again that was taken but not run; the limits don't apply to it.
    auto putBack(const QueuedItem &item) -> void;

    /// Makes a queued item ready to run; ignores jobs that aren't queued.
    auto markReady(JobId job) -> void;

    /// Removes the item that runs next.
    /// @returns the item; nothing where none may run now
    auto take(const SlotUse &slots) -> std::optional<QueuedItem>;

    /// Removes the items that can't meet their deadline any more.
    /// @returns the removed items, by latest start
    auto expire(Instant now) -> std::vector<JobId>;

    auto remove(JobId job) -> void;

    /// Removes all items.
    /// @returns the removed items, by latest start
    auto clear() -> std::vector<JobId>;

    [[nodiscard]] auto size() const -> std::size_t { return this->items.size(); }
    [[nodiscard]] auto empty() const -> bool { return this->items.empty(); }

    /// @returns how long the item is expected to wait if it is offered now
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
