#pragma once

namespace gooseberrywall {

/// A file descriptor that becomes readable when another thread wakes its owner (eventfd).
class Wakeup
{
public:
    Wakeup();
    ~Wakeup();
    Wakeup(const Wakeup &) = delete;
    auto operator=(const Wakeup &) -> Wakeup & = delete;

    /// Callable from any thread.
    auto wake() const -> void;
    /// Called by the owner when the descriptor is readable, before it looks for work.
    auto reset() const -> void;
    [[nodiscard]] auto descriptor() const -> int { return this->fd; }

private:
    int fd = -1;
};

} // namespace gooseberrywall
