#include "edge/grantorrole.h"

#include "common/durations.h"

#include <algorithm>
#include <utility>

// What a GrantorRole does for the release round of its ranges, and what it logs about releases.
namespace gooseberrywall {

auto GrantorRole::upstreamsCompleteAt() const -> Instant
{
    return this->election.storeEraKnownSince() + this->settings.upstreamRegistrationTime;
}

auto GrantorRole::listingDue() const -> std::optional<Instant>
{
    const auto due = this->upstreamsCompleteAt();
    const auto isNeeded = this->ranges && this->isRecordAdopted && this->upstreamsListedAt < due
                          && this->ranges->releaseRoundStatus().isActive;
    return isNeeded ? std::optional(due) : std::nullopt;
}

auto GrantorRole::logReleaseRound() -> void
{
    const auto moment = this->now();
    auto status = this->ranges->releaseRoundStatus();
    const auto before = std::exchange(this->loggedRound, status);
    if (status.isActive && !before.isActive) {
        this->roundStartedAt = moment;
        LogLine line("release_round_started");
        line.with("service", this->spec.name.value)
            .with("keys", static_cast<std::int64_t>(status.outdatedKeys))
            .with("upstreams", static_cast<std::int64_t>(status.upstreams));
        this->log(LogLevel::Warning, line);
    }
    for (const auto &id : status.silent) {
        if (std::find(before.silent.begin(), before.silent.end(), id) != before.silent.end()) {
            continue;
        }
        LogLine line("release_unanswered");
        line.with("service", this->spec.name.value)
            .with("upstream", id.value)
            .with("after_ms", toMilliseconds(moment - this->roundStartedAt));
        this->log(LogLevel::Warning, line);
    }
    if (!status.isActive && before.isActive) {
        LogLine line("release_round_ended");
        line.with("service", this->spec.name.value)
            .with("ms", toMilliseconds(moment - this->roundStartedAt))
            .with("orders", static_cast<std::int64_t>(status.orders))
            .with("silent", static_cast<std::int64_t>(before.silent.size()));
        this->log(LogLevel::Info, line);
    }
}

auto GrantorRole::logRelease(const RangeOrder &order, const RangeOrderEnd &end, Instant sentAt)
    -> void
{
    // One that wasn't sent is tried again several times a second.
    if (order.kind != RangeOrder::Kind::Release || this->loggedRound.isActive
        || end.kind == RangeOrderEnd::Kind::NotSent) {
        return;
    }
    const auto isAnswered = end.kind != RangeOrderEnd::Kind::NoAnswer;
    LogLine line(isAnswered ? "range_released" : "range_release_unanswered");
    line.with("service", this->spec.name.value)
        .with("upstream", order.upstream.value)
        .with("first", order.range.first)
        .with("last", order.range.last)
        .with("fence", static_cast<std::int64_t>(order.fence))
        .with("ms", toMilliseconds(this->now() - sentAt));
    this->log(isAnswered ? LogLevel::Info : LogLevel::Warning, line);
}

auto GrantorRole::logHoldWait(Instant moment) -> void
{
    const auto keys = this->ranges->keysWaitingForHoldEnd();
    if (keys > 0 && !this->holdWaitSince) {
        this->holdWaitSince = moment;
        LogLine line("hold_wait_started");
        line.with("service", this->spec.name.value).with("keys", static_cast<std::int64_t>(keys));
        this->log(LogLevel::Info, line);
    } else if (keys == 0 && this->holdWaitSince) {
        LogLine line("hold_wait_ended");
        line.with("service", this->spec.name.value)
            .with("ms", toMilliseconds(moment - *this->holdWaitSince));
        this->log(LogLevel::Info, line);
        this->holdWaitSince.reset();
    }
}

} // namespace gooseberrywall
