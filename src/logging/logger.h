#pragma once

#include "common/logline.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>

namespace spdlog {
class logger;
}

namespace gooseberrywall {

enum class LogLevel : std::uint8_t { Debug, Info, Warning, Error };

/// Writes log lines to a descriptor by spdlog, at a bounded rate and without ever waiting for its
/// reader. Lines over the rate, and lines that the reader doesn't take, are counted and reported.
/// Callable from any thread.
class Logger
{
public:
    /// @param level the least level that is written: "debug", "info", "warning" or "error"
    /// @param linesPerSecond further lines are dropped; how many is logged a second later
    /// @param descriptor where lines go; standard output by default.
    Logger(const std::string &level, std::int64_t linesPerSecond, int descriptor = 1);
    ~Logger();
    Logger(const Logger &) = delete;
    auto operator=(const Logger &) -> Logger & = delete;

    auto write(LogLevel level, const std::string &line) -> void;
    /// Changes what is written from now on.
    auto setLimits(const std::string &level, std::int64_t linesPerSecond) -> void;

    /// Gathers lines below warnings, to write many at once. The caller then has to call
    /// flushIfDue() after its work and at least twice a second. Off at first.
    auto setBuffering(bool gathers) -> void;
    /// Writes what has been gathered.
    auto flush() -> void;
    /// The same, where the oldest gathered line has waited long enough.
    auto flushIfDue() -> void;

    /// @returns lines that were not written since the start
    [[nodiscard]] auto droppedLines() const -> std::int64_t;

private:
    class PipeSink;

    /// @returns whether a line may be written now
    auto admit() -> bool;
    /// Counts lines that the sink has lost.
    auto countLost() -> void;

    std::int64_t linesPerSecond;
    mutable std::mutex mutex;
    std::chrono::steady_clock::time_point windowStart;
    std::int64_t linesInWindow = 0;
    std::int64_t dropped = 0;
    std::int64_t droppedInAll = 0;
    std::chrono::steady_clock::time_point flushedAt;
    std::shared_ptr<PipeSink> sink;
    std::shared_ptr<spdlog::logger> target;
};

} // namespace gooseberrywall
