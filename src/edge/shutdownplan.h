#pragma once

#include "common/types/instant.h"

namespace gooseberrywall {

/// When a daemon that stops as planned takes its steps.
class ShutdownPlan
{
public:
    /// @param begin when the daemon was told to stop
    /// @param timeout when it is killed, counted from `begin`
    ShutdownPlan(Instant begin, Duration timeout)
        : begin(begin)
        , end(begin + timeout)
    {
    }

    auto operator==(const ShutdownPlan &) const -> bool = default;

    /// @returns until when the load balancer may still send connections
    [[nodiscard]] auto balancerDrainedAt() const -> Instant
    {
        return this->begin + balancerDrainTime;
    }
    /// @returns from when on a request is sent to an upstream only if its deadline is before the
    /// last answers: nearly all callers use other daemons by then
    [[nodiscard]] auto certainFrom() const -> Instant { return this->begin + certainAnswerTime; }
    /// @returns when all requests that are still open are answered
    [[nodiscard]] auto lastAnswersAt() const -> Instant { return this->end - lastAnswerTime; }
    /// @returns when the loop stops where all answers are sent
    [[nodiscard]] auto exitAt() const -> Instant { return this->end - exitMargin; }
    /// @returns when the loop stops, also where a slow caller hasn't taken its answer
    [[nodiscard]] auto lastExitAt() const -> Instant { return this->end - lastExitMargin; }

private:
    static constexpr Duration balancerDrainTime = std::chrono::milliseconds{3200};
    static constexpr Duration certainAnswerTime = std::chrono::milliseconds{2800};
    static constexpr Duration lastAnswerTime = std::chrono::milliseconds{550};
    static constexpr Duration exitMargin = std::chrono::milliseconds{350};
    static constexpr Duration lastExitMargin = std::chrono::milliseconds{150};

    Instant begin;
    Instant end;
};

} // namespace gooseberrywall
