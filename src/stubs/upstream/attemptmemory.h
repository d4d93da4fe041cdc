#pragma once

#include "common/types/ids.h"

#include <cstddef>
#include <deque>
#include <unordered_set>

namespace gooseberrywall {

/// Bounded set of attempts; when it is full, the oldest insertion is dropped.
class AttemptMemory
{
public:
    auto insert(AttemptId attempt) -> void
    {
        if (!this->known.insert(attempt).second) {
            return;
        }
        this->order.push_back(attempt);
        if (this->order.size() > capacity) {
            this->known.erase(this->order.front());
            this->order.pop_front();
        }
    }

    [[nodiscard]] auto contains(AttemptId attempt) const -> bool
    {
        return this->known.contains(attempt);
    }

    static constexpr std::size_t capacity = 131'072;

private:
    std::unordered_set<AttemptId> known;
    std::deque<AttemptId> order;
};

} // namespace gooseberrywall
