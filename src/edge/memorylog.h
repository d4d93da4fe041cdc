#pragma once

#include "logging/logger.h"
#include "memory/memoryaccount.h"
#include "streams/frontlistener.h"

#include <optional>

namespace gooseberrywall {

/// Logs when a daemon begins and ceases to refuse requests or close connections because memory is
/// short.
class MemoryLog
{
public:
    explicit MemoryLog(Logger &logger)
        : logger(logger)
    {
    }

    /// @param callers counts of the callers' listener
    /// @param peers counts of the peers' listener
    auto update(const FrontCounters &callers, const FrontCounters &peers,
                const MemoryAccount &account, Instant now) -> void
    {
        const auto count = shedCount(callers) + shedCount(peers);
        if (count != this->lastCount) {
            if (!this->lastShedAt) {
                this->startCount = this->lastCount;
                this->write(LogLevel::Warning, "memory_shedding_started", account, count);
            }
            this->lastCount = count;
            this->lastShedAt = now;
        } else if (this->lastShedAt && now - *this->lastShedAt >= calmTime) {
            this->lastShedAt.reset();
            this->write(LogLevel::Info, "memory_shedding_ended", account, count);
        }
    }

private:
    /// Shedding has ended after this time without any.
    static constexpr Duration calmTime = std::chrono::seconds{5};

    [[nodiscard]] static auto shedCount(const FrontCounters &counters) -> std::uint64_t
    {
        return counters.memoryRefusals + counters.shedConnections;
    }

    auto write(LogLevel level, const char *event, const MemoryAccount &account, std::uint64_t count)
        -> void
    {
        LogLine line(event);
        line.with("held", static_cast<std::int64_t>(account.heldBytes()))
            .with("budget", static_cast<std::int64_t>(account.budget().totalBytes))
            .with("count", static_cast<std::int64_t>(count - this->startCount));
        this->logger.write(level, line.text());
    }

    Logger &logger;
    std::uint64_t lastCount = 0;
    /// The count when shedding last began.
    std::uint64_t startCount = 0;
    std::optional<Instant> lastShedAt;
};

} // namespace gooseberrywall
