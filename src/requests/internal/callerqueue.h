#pragma once

#include "requests/types/queueditem.h"

#include <set>
#include <utility>

namespace gooseberrywall {

/// The requests of one caller in one of the two classes of work.
struct WorkClassQueue
{
    /// Ready items by the latest moment at which they can start.
    std::set<std::pair<Instant, JobId>> ready;
    /// Expected time in slots of the ready items.
    Duration backlogTime{0};

    auto operator==(const WorkClassQueue &) const -> bool = default;
};

/// The requests of one caller that wait for one upstream.
struct CallerQueue
{
    WorkClassQueue shortWork;
    WorkClassQueue longWork;
    double share = 1.0;
    /// Time in slots that the caller has had, divided by its share.
    double virtualTime = 0.0;
    std::size_t items = 0;

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
