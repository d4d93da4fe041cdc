#include "edge/answerrecord.h"

#include "common/durations.h"

#include <utility>

namespace gooseberrywall {

namespace {

/// @returns whether the status tells the caller that its request is wrong
auto isTurnedAway(int status) -> bool
{
    return status / 100 == 3 || status / 100 == 4;
}

} // namespace

AnswerRecord::AnswerRecord(RequestLog &log, Counters &counters, std::function<Instant()> now,
                           std::function<std::optional<Instant>()> newerKnownSince)
    : log(log)
    , counters(counters)
    , now(std::move(now))
    , newerKnownSince(std::move(newerKnownSince))
{
}

auto AnswerRecord::onConfiguration(std::uint64_t newVersion) -> void
{
    this->version = newVersion;
    this->versionSince = this->now();
}

auto AnswerRecord::onUnread(int status, const UnreadRequest &request) -> void
{
    this->counters.countStatus(AnswerOrigin::Listener, status);
    if (isTurnedAway(status)) {
        this->log.write(
            this->line(AnswerOrigin::Listener, status, request.host)
                .with("head_limit", static_cast<std::int64_t>(request.limits.headBytes))
                .with("body_limit", static_cast<std::int64_t>(request.limits.bodyBytes)));
    }
}

auto AnswerRecord::onRefused(AnswerOrigin origin, int status, std::string_view host) -> void
{
    this->counters.countStatus(origin, status);
    if (isTurnedAway(status)) {
        this->log.write(this->line(origin, status, host));
    }
}

auto AnswerRecord::onPassedOn(bool isSigned, int status, std::string_view host) -> void
{
    if (isSigned) {
        this->counters.countStatus(AnswerOrigin::Upstream, status);
        return;
    }
    this->onRefused(AnswerOrigin::Unsigned, status, host);
}

auto AnswerRecord::line(AnswerOrigin origin, int status, std::string_view host) const -> LogLine
{
    const auto moment = this->now();
    LogLine result("request_turned_away");
    result.with("origin", toString(origin))
        .with("status", status)
        .with("host", host)
        .with("version", static_cast<std::int64_t>(this->version))
        .with("version_age_ms", toMilliseconds(moment - this->versionSince));
    if (const auto since = this->newerKnownSince()) {
        result.with("newer_known_ms", toMilliseconds(moment - *since));
    }
    return result;
}

} // namespace gooseberrywall
