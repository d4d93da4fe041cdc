#include "requests/internal/seenattempts.h"

namespace gooseberrywall {

namespace {

/// Longer than a message can be in transit on a live connection.
constexpr Duration retention = std::chrono::seconds{5};
constexpr std::size_t maximalAttempts = 32768;

} // namespace

auto SeenAttempts::insert(Instant now, AttemptId attempt) -> bool
{
    if (!this->attempts.insert(attempt).second) {
        return false;
    }
    this->byAge.push_back({now, attempt});
    if (this->byAge.size() > maximalAttempts) {
        this->attempts.erase(this->byAge.front().attempt);
        this->byAge.pop_front();
    }
    return true;
}

auto SeenAttempts::expire(Instant now) -> void
{
    while (!this->byAge.empty() && this->byAge.front().at + retention <= now) {
        this->attempts.erase(this->byAge.front().attempt);
        this->byAge.pop_front();
    }
}

} // namespace gooseberrywall
