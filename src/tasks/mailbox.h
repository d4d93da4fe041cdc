#pragma once

#include "tasks/wakeup.h"

#include <cstddef>
#include <mutex>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// The inbox of a task: any thread posts messages, the owning thread takes all of them at once.
/// A post beyond the limit is refused; the sender decides what to do then.
template<typename Message>
class Mailbox
{
public:
    /// @param limit maximum number of waiting messages
    explicit Mailbox(std::size_t limit)
        : limit(limit)
    {
    }

    /// @returns false if the mailbox is full
    auto post(Message message) -> bool
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->waiting.size() >= this->limit) {
                return false;
            }
            this->waiting.push_back(std::move(message));
            if (this->waiting.size() > 1) {
                return true;
            }
        }
        this->wakeup.wake();
        return true;
    }

    /// Called by the owner only.
    /// @returns all waiting messages, oldest first
    [[nodiscard]] auto takeAll() -> std::vector<Message>
    {
        this->wakeup.reset();
        std::vector<Message> taken;
        const std::lock_guard lock(this->mutex);
        taken.swap(this->waiting);
        return taken;
    }

    /// @returns the descriptor that is readable while messages wait
    [[nodiscard]] auto descriptor() const -> int { return this->wakeup.descriptor(); }

private:
    std::size_t limit;
    Wakeup wakeup;
    std::mutex mutex;
    std::vector<Message> waiting;
};

} // namespace gooseberrywall
