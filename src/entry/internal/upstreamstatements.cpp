#include "entry/upstreamstatements.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr Incarnation unknownIncarnation{};

/// @returns the incarnation of two statements that may come from the same process
auto mergedIncarnation(Incarnation known, Incarnation stated) -> Incarnation
{
    const auto isUnknown = known == unknownIncarnation || stated == unknownIncarnation;
    return isUnknown ? unknownIncarnation : std::max(known, stated);
}

/// @returns whether both are known, and the first is an earlier process than the second
auto isEarlier(Incarnation first, Incarnation second) -> bool
{
    return first != unknownIncarnation && first < second;
}

} // namespace

UpstreamStatements::UpstreamStatements(UpstreamStatementSettings settings)
    : settings(settings)
{
}

auto UpstreamStatements::binds(Incarnation stated, Incarnation addressed) -> bool
{
    return !isEarlier(stated, addressed);
}

auto UpstreamStatements::onSent(const UpstreamId &upstream, Incarnation incarnation, Instant now)
    -> void
{
    const auto found = this->records.find(upstream);
    if (found == this->records.end() || !found->second.pause) {
        return;
    }
    auto &pause = *found->second.pause;
    if (binds(pause.incarnation, incarnation) && now >= pause.until) {
        pause.trialSentAt = now;
    }
}

auto UpstreamStatements::onAttemptEnd(const AttemptStatement &attempt, Instant now) -> void
{
    if (attempt.leaveHint != LeaveHint::Unknown) {
        UpstreamStatement hint;
        hint.upstream = attempt.upstream;
        hint.incarnation = attempt.incarnation;
        hint.leaveHint = attempt.leaveHint;
        hint.askedAt = attempt.sentAt;
        this->hints.push_back(std::move(hint));
    }
    const auto isPause = attempt.pause && *attempt.pause > Duration{0};
    if (!attempt.isLeaving && !isPause) {
        if (const auto found = this->records.find(attempt.upstream); found != this->records.end()) {
            this->endTrial(found->second, attempt);
        }
        return;
    }
    auto &record = this->records[attempt.upstream];
    if (attempt.isLeaving) {
        this->stateLeaving(record, attempt, now);
    }
    if (isPause) {
        this->statePause(record, attempt, *attempt.pause, now);
    } else {
        this->endTrial(record, attempt);
    }
}

auto UpstreamStatements::stateLeaving(Record &record, const AttemptStatement &attempt, Instant now)
    -> void
{
    const auto stated = attempt.incarnation;
    if (record.leaving && !isEarlier(record.leaving->incarnation, stated)) {
        if (!isEarlier(stated, record.leaving->incarnation)) {
            record.leaving->incarnation = mergedIncarnation(record.leaving->incarnation, stated);
            record.leaving->namedAt = now;
        }
        return;
    }
    record.leaving = Leaving{stated, attempt.request, now, now};
    this->changes.push_back(StatementChange{StatementChange::Kind::LeavingStated, attempt.upstream,
                                            stated, attempt.request});
}

auto UpstreamStatements::statePause(Record &record, const AttemptStatement &attempt, Duration pause,
                                    Instant now) -> void
{
    const auto stated = attempt.incarnation;
    const auto isSameProcess = record.pause && !isEarlier(record.pause->incarnation, stated);
    if (isSameProcess && isEarlier(stated, record.pause->incarnation)) {
        return;
    }
    if (isSameProcess && now < record.pause->until) {
        record.pause->incarnation = mergedIncarnation(record.pause->incarnation, stated);
        record.pause->until = std::max(record.pause->until, now + pause);
        record.pause->trialSentAt.reset();
        return;
    }
    const auto incarnation =
        isSameProcess ? mergedIncarnation(record.pause->incarnation, stated) : stated;
    record.pause = Pause{incarnation, attempt.request, now + pause, std::nullopt};
    this->changes.push_back(StatementChange{StatementChange::Kind::PauseStated, attempt.upstream,
                                            stated, attempt.request, pause});
}

auto UpstreamStatements::endTrial(Record &record, const AttemptStatement &attempt) -> void
{
    if (!record.pause || !binds(record.pause->incarnation, attempt.incarnation)
        || attempt.sentAt < record.pause->until) {
        return;
    }
    if (attempt.isAnswered) {
        this->endPause(attempt.upstream, *record.pause);
        record.pause.reset();
    } else if (record.pause->trialSentAt == attempt.sentAt) {
        record.pause->trialSentAt.reset();
    }
}

auto UpstreamStatements::holdOf(const UpstreamId &upstream, Incarnation incarnation, Instant now)
    -> std::optional<SendHold>
{
    const auto found = this->records.find(upstream);
    if (found == this->records.end()) {
        return std::nullopt;
    }
    auto &record = found->second;
    SendHold hold;
    hold.pause = this->pauseOf(record, incarnation, now);
    if (record.pause && !binds(record.pause->incarnation, incarnation)) {
        this->endPause(upstream, *record.pause);
    }
    if (record.leaving && !binds(record.leaving->incarnation, incarnation)) {
        this->endLeaving(upstream, *record.leaving);
    } else if (record.leaving) {
        // An unknown incarnation may be a later one, so it doesn't prolong the statement.
        if (incarnation != unknownIncarnation
            && record.leaving->incarnation != unknownIncarnation) {
            record.leaving->namedAt = now;
        }
        const auto last =
            record.leaving->since + this->settings.drainTime - this->settings.drainMargin;
        hold.isLeaving = true;
        hold.allowsLastResort = !hold.pause && now < last;
    }
    return hold.isLeaving || hold.pause ? std::optional(hold) : std::nullopt;
}

auto UpstreamStatements::pauseOf(Record &record, Incarnation incarnation, Instant now)
    -> std::optional<Duration>
{
    if (!record.pause || !binds(record.pause->incarnation, incarnation)) {
        return std::nullopt;
    }
    const auto &pause = *record.pause;
    if (now < pause.until) {
        return pause.until - now;
    }
    if (pause.trialSentAt && now < *pause.trialSentAt + this->settings.trialInterval) {
        return *pause.trialSentAt + this->settings.trialInterval - now;
    }
    return std::nullopt;
}

auto UpstreamStatements::endLeaving(const UpstreamId &upstream, Leaving &leaving) -> void
{
    if (!std::exchange(leaving.isEnded, true)) {
        this->changes.push_back(StatementChange{StatementChange::Kind::LeavingEnded, upstream,
                                                leaving.incarnation, leaving.request});
    }
}

auto UpstreamStatements::endPause(const UpstreamId &upstream, Pause &pause) -> void
{
    if (!std::exchange(pause.isEnded, true)) {
        this->changes.push_back(StatementChange{StatementChange::Kind::PauseEnded, upstream,
                                                pause.incarnation, pause.request});
    }
}

auto UpstreamStatements::advance(Instant now) -> void
{
    if (now < this->sweepDue) {
        return;
    }
    this->sweepDue = now + sweepInterval;
    for (auto row = this->records.begin(); row != this->records.end();) {
        this->endOld(row->first, row->second, now);
        const auto isEmpty = !row->second.pause && !row->second.leaving;
        row = isEmpty ? this->records.erase(row) : std::next(row);
    }
}

auto UpstreamStatements::endOld(const UpstreamId &upstream, Record &record, Instant now) -> void
{
    if (record.pause && now >= record.pause->until) {
        this->endPause(upstream, *record.pause);
        if (now - record.pause->until > this->settings.retention) {
            record.pause.reset();
        }
    }
    if (record.leaving && now - record.leaving->namedAt > this->settings.retention) {
        this->endLeaving(upstream, *record.leaving);
        record.leaving.reset();
    }
}

auto UpstreamStatements::takeChanges() -> std::vector<StatementChange>
{
    return std::exchange(this->changes, {});
}

auto UpstreamStatements::takeHints() -> std::vector<UpstreamStatement>
{
    return std::exchange(this->hints, {});
}

auto UpstreamStatements::leavingCount() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->records.begin(), this->records.end(), [](const auto &row) {
            return row.second.leaving && !row.second.leaving->isEnded;
        }));
}

auto UpstreamStatements::pausedCount() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->records.begin(), this->records.end(), [](const auto &row) {
            return row.second.pause && !row.second.pause->isEnded;
        }));
}

} // namespace gooseberrywall
