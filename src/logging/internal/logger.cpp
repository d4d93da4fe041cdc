#include "logging/logger.h"

#include <atomic>
#include <climits>
#include <fcntl.h>
#include <poll.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <sys/stat.h>
#include <unistd.h>
#include <utility>

namespace gooseberrywall {

namespace {

/// flushIfDue() writes buffered lines at this interval; a killed process loses at most those.
constexpr auto flushInterval = std::chrono::milliseconds{100};
/// One in this many lines of the rate isn't available to lines about single requests.
constexpr std::int64_t reservedOneIn = 4;

auto toSpdlog(LogLevel level) -> spdlog::level::level_enum
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

} // namespace

/// Writes to a pipe, terminal or file, and drops lines that a slow reader doesn't take. Anything
/// but a regular file is polled for room before each write; it isn't made non-blocking, since other
/// processes may share the descriptor's flags.
class Logger::PipeSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit PipeSink(int descriptor)
        : descriptor(descriptor)
    {
        struct stat status
        {
        };
        this->mayBlock = fstat(descriptor, &status) != 0 || !S_ISREG(status.st_mode);
    }

    [[nodiscard]] auto takeDropped() -> std::int64_t { return this->dropped.exchange(0); }

protected:
    auto sink_it_(const spdlog::details::log_msg &message) -> void override
    {
        spdlog::memory_buf_t text;
        this->formatter_->format(message, text);
        if (this->bufferedText.size() + text.size() > PIPE_BUF) {
            this->flush_();
        }
        this->bufferedText.append(text.data(), text.size());
        ++this->bufferedLines;
    }

    auto flush_() -> void override
    {
        if (this->bufferedText.empty()) {
            return;
        }
        // A pipe that is ready takes at least PIPE_BUF bytes; a single line is shorter.
        pollfd state{this->descriptor, POLLOUT, 0};
        const auto isReady =
            !this->mayBlock || (poll(&state, 1, 0) == 1 && (state.revents & POLLOUT) != 0);
        const auto written = isReady ? ::write(this->descriptor, this->bufferedText.data(),
                                               this->bufferedText.size())
                                     : ssize_t{-1};
        if (written != static_cast<ssize_t>(this->bufferedText.size())) {
            this->dropped += this->bufferedLines;
        }
        this->bufferedText.clear();
        this->bufferedLines = 0;
    }

private:
    int descriptor;
    bool mayBlock = true;
    std::string bufferedText;
    std::int64_t bufferedLines = 0;
    std::atomic<std::int64_t> dropped{0};
};

Logger::Logger(const std::string &level, std::int64_t linesPerSecond, int descriptor)
    : linesPerSecond(linesPerSecond)
    , windowStart(std::chrono::steady_clock::now())
    , sink(std::make_shared<PipeSink>(descriptor))
    , target(std::make_shared<spdlog::logger>("gooseberrywall", this->sink))
{
    this->target->set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l %v",
                              spdlog::pattern_time_type::utc);
    this->target->set_level(spdlog::level::from_str(level));
    this->target->flush_on(spdlog::level::trace);
}

Logger::~Logger()
{
    this->flush();
}

auto Logger::setBuffering(bool isBuffering) -> void
{
    const std::lock_guard lock(this->mutex);
    this->target->flush_on(isBuffering ? spdlog::level::warn : spdlog::level::trace);
}

auto Logger::flush() -> void
{
    const std::lock_guard lock(this->mutex);
    this->target->flush();
    this->countDroppedBySink();
}

auto Logger::flushIfDue() -> void
{
    const auto now = std::chrono::steady_clock::now();
    if (now - this->flushedAt >= flushInterval) {
        this->flushedAt = now;
        this->flush();
    }
}

auto Logger::countDroppedBySink() -> void
{
    const auto droppedBySink = this->sink->takeDropped();
    this->droppedInWindow += droppedBySink;
    this->droppedTotal += droppedBySink;
}

auto Logger::write(LogLevel level, const std::string &line) -> void
{
    this->write(level, line, false);
}

auto Logger::writeOfRequest(const std::string &line) -> void
{
    this->write(LogLevel::Info, line, true);
}

auto Logger::write(LogLevel level, const std::string &line, bool isOfRequest) -> void
{
    const std::lock_guard lock(this->mutex);
    if (!this->target->should_log(toSpdlog(level)) || !this->admit(isOfRequest)) {
        return;
    }
    this->target->log(toSpdlog(level), "{}", line);
    this->countDroppedBySink();
}

auto Logger::setLimits(const std::string &level, std::int64_t linesPerSecond) -> void
{
    const std::lock_guard lock(this->mutex);
    this->target->set_level(spdlog::level::from_str(level));
    this->linesPerSecond = linesPerSecond;
}

auto Logger::droppedLines() const -> std::int64_t
{
    const std::lock_guard lock(this->mutex);
    return this->droppedTotal;
}

auto Logger::renewWindow() -> void
{
    const auto now = std::chrono::steady_clock::now();
    if (now - this->windowStart < std::chrono::seconds{1}) {
        return;
    }
    if (this->droppedInWindow > 0) {
        const auto line = LogLine("log_lines_dropped")
                              .with("count", this->droppedInWindow)
                              .with("of_requests", this->droppedOfRequestsInWindow)
                              .text();
        this->target->log(spdlog::level::warn, "{}", line);
    }
    this->windowStart = now;
    this->linesInWindow = 0;
    this->requestLinesInWindow = 0;
    this->droppedInWindow = 0;
    this->droppedOfRequestsInWindow = 0;
}

auto Logger::admit(bool isOfRequest) -> bool
{
    this->renewWindow();
    const auto requestLimit = this->linesPerSecond - this->linesPerSecond / reservedOneIn;
    const auto isOverLimit = this->linesInWindow >= this->linesPerSecond
                             || (isOfRequest && this->requestLinesInWindow >= requestLimit);
    if (isOverLimit) {
        ++this->droppedInWindow;
        ++this->droppedTotal;
        this->droppedOfRequestsInWindow += isOfRequest ? 1 : 0;
        return false;
    }
    ++this->linesInWindow;
    this->requestLinesInWindow += isOfRequest ? 1 : 0;
    return true;
}

} // namespace gooseberrywall
