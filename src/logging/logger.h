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

/// Writes log lines to a descriptor with spdlog, at a limited rate and without ever waiting for the
/// reader. Lines beyond the rate, and lines that the reader doesn't take, are dropped; how many is
/// counted and logged. A quarter of the rate is reserved for lines that aren't about single
/// requests, so that a flood of requests doesn't hide what the daemon knows and decides.
/// Callable from any thread.
class Logger
{
public:
    /// @param level the lowest level that is written: "debug", "info", "warning" or "error"
    /// @param linesPerSecond limit beyond which lines are dropped; how many is logged a second
    /// later
    /// @param descriptor file descriptor to write to; standard output by default
    Logger(const std::string &level, std::int64_t linesPerSecond, int descriptor = 1);
    ~Logger();
    Logger(const Logger &) = delete;
    auto operator=(const Logger &) -> Logger & = delete;

    auto write(LogLevel level, const std::string &line) -> void;
    /// Writes a line about a single request, at the info level.
    auto writeOfRequest(const std::string &line) -> void;
    /// Changes the level and the rate limit.
    auto setLimits(const std::string &level, std::int64_t linesPerSecond) -> void;

    /// Switches buffering on or off; it is off at first. A buffering logger writes many lines below
    /// the warning level at once, and its owner has to call flushIfDue() after its work and at
    /// least twice a second.
    auto setBuffering(bool isBuffering) -> void;
    /// Writes the buffered lines.
    auto flush() -> void;
    /// Writes the buffered lines if the last flush by this function is long enough ago.
    auto flushIfDue() -> void;

    /// @returns how many lines have been dropped since the start
    [[nodiscard]] auto droppedLines() const -> std::int64_t;

private:
    class PipeSink;

    /// Writes the line unless that exceeds the rate.
    auto write(LogLevel level, const std::string &line, bool isOfRequest) -> void;
    /// Counts a line against the rate limit.
    /// @returns whether it may be written
    auto admit(bool isOfRequest) -> bool;
    /// Begins a new window of one second where the present one is over.
    auto renewWindow() -> void;
    /// Adds the lines that the sink has dropped to the counts.
    auto countDroppedBySink() -> void;

    std::int64_t linesPerSecond;
    mutable std::mutex mutex;
    std::chrono::steady_clock::time_point windowStart;
    std::int64_t linesInWindow = 0;
    std::int64_t requestLinesInWindow = 0;
    std::int64_t droppedInWindow = 0;
    /// Of the dropped lines, those about single requests.
    std::int64_t droppedOfRequestsInWindow = 0;
    std::int64_t droppedTotal = 0;
    std::chrono::steady_clock::time_point flushedAt;
    std::shared_ptr<PipeSink> sink;
    std::shared_ptr<spdlog::logger> target;
};

} // namespace gooseberrywall
