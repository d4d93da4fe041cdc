#include "edge/copylog.h"

#include "common/durations.h"

#include <utility>

namespace gooseberrywall {

CopyLog::CopyLog(Logger &logger, std::string copy)
    : logger(logger)
    , copy(std::move(copy))
{
}

auto CopyLog::update(const PrefixView &view, Instant now) -> void
{
    if (view.lostWatchCount() != this->loggedLosses) {
        this->loggedLosses = view.lostWatchCount();
        this->lostAt = now;
        this->write("store_watch_lost", view, now);
    } else if (this->lostAt != Instant{} && view.confirmedAt() >= this->lostAt) {
        this->lostAt = Instant{};
        this->write("store_copy_confirmed", view, now);
    }
}

auto CopyLog::onNewView() -> void
{
    this->loggedLosses = 0;
    this->lostAt = Instant{};
}

auto CopyLog::write(const char *event, const PrefixView &view, Instant now) -> void
{
    LogLine line(event);
    line.with("copy", this->copy)
        .with("revision", static_cast<std::int64_t>(numberOf(view.revision())))
        .with("era", static_cast<std::int64_t>(view.era()))
        .with("confirmed_ms", toMilliseconds(now - view.confirmedAt()))
        .with("lost", static_cast<std::int64_t>(view.lostWatchCount()));
    this->logger.write(LogLevel::Info, line.text());
}

} // namespace gooseberrywall
