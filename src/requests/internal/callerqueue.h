#pragma once

#include "requests/types/queueditem.h"

#include <set>
#include <utility>

namespace gooseberrywall {

/// The ready requests of one caller in one class of work, short or long.
struct WorkClassQueue
{
    /// Ready items by the latest time at which they can start and meet their deadline.
    std::set<std::pair<Instant, JobId>> ready;
    /// Expected slot time of the ready items, in total.
    Duration backlogTime{0};

    auto operator==(const WorkClassQueue &) const -> bool = default;
};

/// The queued requests of one caller for one upstream.
struct CallerQueue
{
    WorkClassQueue shortWork;
    WorkClassQueue longWork;
    double share = 1.0;
    /// Expected slot time of the caller's requests that were taken, divided by its share.
    double virtualTime = 0.0;
    /// Queued items, whether ready or not.
    std::size_t itemCount = 0;

    auto operator==(const CallerQueue &) const -> bool = default;

    [[nodiscard]] auto classQueue(bool isLong) -> WorkClassQueue &
    {
        return isLong ? this->longWork : this->shortWork;
    }
    [[nodiscard]] auto classQueue(bool isLong) const -> const WorkClassQueue &
    {
        return isLong ? this->longWork : this->shortWork;
    }
    [[nodiscard]] auto backlogTime() const -> Duration
    {
        return this->shortWork.backlogTime + this->longWork.backlogTime;
    }
};

} // namespace gooseberrywall
