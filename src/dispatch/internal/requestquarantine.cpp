#include "dispatch/requestquarantine.h"

#include "common/hash.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gooseberrywall {

namespace {

auto crashIdOf(const UpstreamId &upstream, Incarnation incarnation) -> CrashId
{
    return static_cast<CrashId>(stableHash(upstream.value, incarnation.value));
}

} // namespace

RequestQuarantine::RequestQuarantine(RequestQuarantineSettings settings)
    : settings(settings)
{
}

auto RequestQuarantine::onUnanswered(RequestFingerprint fingerprint, const UpstreamId &upstream,
                                     Incarnation incarnation, Instant now, const Address &entry)
    -> void
{
    if (fingerprint.value == 0) {
        return;
    }
    std::erase_if(this->unanswered, [&](const UnansweredAttempt &attempt) {
        return now - attempt.endedAt > this->settings.crashWindow;
    });
    this->unanswered.push_back(UnansweredAttempt{fingerprint, upstream, incarnation, entry, now});
}

auto RequestQuarantine::hasUnanswered(Instant now) const -> bool
{
    return std::any_of(this->unanswered.begin(), this->unanswered.end(), [&](const auto &attempt) {
        return now - attempt.endedAt <= this->settings.crashWindow;
    });
}

auto RequestQuarantine::onUpstreamLost(const UpstreamId &upstream, Incarnation incarnation,
                                       Instant now) -> void
{
    for (const auto &attempt : this->unanswered) {
        const auto isCrash = attempt.upstream == upstream && attempt.incarnation == incarnation
                             && now - attempt.endedAt <= this->settings.crashWindow;
        if (!isCrash) {
            continue;
        }
        auto &suspect = this->suspects[attempt.fingerprint];
        if (this->isForgotten(suspect, now)) {
            suspect.crashes.clear();
        }
        suspect.lastCrashAt = now;
        if (!this->addCrash(suspect, crashIdOf(upstream, incarnation))) {
            continue;
        }
        const auto count = suspect.crashes.size();
        this->crashes.push_back(SuspectedCrash{attempt.fingerprint, upstream, incarnation,
                                               attempt.entry, count,
                                               count >= this->settings.crashLimit});
        this->scheduleNotice(attempt.fingerprint,
                             now + (count > 1 ? Duration{0} : this->settings.firstCrashDelay));
    }
    std::erase_if(this->unanswered, [&](const UnansweredAttempt &attempt) {
        return attempt.upstream == upstream && attempt.incarnation == incarnation;
    });
    this->forgetBeyondLimit();
}

auto RequestQuarantine::onAnswered(RequestFingerprint fingerprint) -> void
{
    if (this->suspects.erase(fingerprint) == 0) {
        return;
    }
    // Nobody was told of a first crash that isn't due yet.
    const auto notice = this->notices.find(fingerprint);
    const auto isUntold =
        notice != this->notices.end() && notice->second.repeats == this->settings.noticeRepeats;
    if (isUntold) {
        this->notices.erase(notice);
    } else {
        this->scheduleNotice(fingerprint, Instant{});
    }
}

auto RequestQuarantine::adopt(const std::vector<SuspectRequest> &suspects, Instant now,
                              bool isToldOn) -> void
{
    for (const auto &told : suspects) {
        if (told.fingerprint.value == 0) {
            continue;
        }
        if (told.crashes.empty()) {
            this->suspects.erase(told.fingerprint);
            continue;
        }
        const auto lastCrashAt = now - std::max(Duration{0}, told.sinceLastCrash);
        auto &suspect = this->suspects[told.fingerprint];
        suspect.lastCrashAt = std::max(suspect.lastCrashAt, lastCrashAt);
        auto isNew = false;
        for (const auto crash : told.crashes) {
            isNew = this->addCrash(suspect, crash) || isNew;
        }
        if (isNew && isToldOn) {
            this->scheduleNotice(told.fingerprint, now);
        }
    }
    this->forgetBeyondLimit();
}

auto RequestQuarantine::forgetUnconfirmed() -> void
{
    std::erase_if(this->suspects, [&](const auto &row) {
        return row.second.crashes.size() < this->settings.crashLimit;
    });
    this->notices.clear();
}

auto RequestQuarantine::isQuarantined(RequestFingerprint fingerprint, Instant now) const -> bool
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end()
           && found->second.crashes.size() >= this->settings.crashLimit
           && !this->isForgotten(found->second, now);
}

auto RequestQuarantine::quarantinedCount(Instant now) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->suspects.begin(), this->suspects.end(),
                      [&](const auto &row) { return this->isQuarantined(row.first, now); }));
}

auto RequestQuarantine::hasNotices(Instant now) const -> bool
{
    return std::any_of(this->notices.begin(), this->notices.end(),
                       [&](const auto &row) { return row.second.dueAt <= now; });
}

auto RequestQuarantine::takeNotices(std::size_t limit, Instant now) -> std::vector<SuspectRequest>
{
    std::vector<RequestFingerprint> due;
    for (const auto &[fingerprint, notice] : this->notices) {
        if (notice.dueAt <= now) {
            due.push_back(fingerprint);
        }
    }
    const auto crashCount = [&](RequestFingerprint fingerprint) {
        const auto found = this->suspects.find(fingerprint);
        return found == this->suspects.end() ? 0 : found->second.crashes.size();
    };
    std::stable_sort(due.begin(), due.end(), [&](const auto &left, const auto &right) {
        return crashCount(left) > crashCount(right);
    });
    due.resize(std::min(due.size(), limit));
    std::set<RequestFingerprint> chosen(due.begin(), due.end());
    std::vector<SuspectRequest> result;
    for (const auto fingerprint : due) {
        result.push_back(this->noticeOf(fingerprint, now));
        if (--this->notices.at(fingerprint).repeats == 0) {
            this->notices.erase(fingerprint);
        }
    }
    for (auto left = this->suspects.size(); left > 0 && result.size() < limit; --left) {
        auto next = this->suspects.upper_bound(this->lastInTurn);
        next = next == this->suspects.end() ? this->suspects.begin() : next;
        this->lastInTurn = next->first;
        const auto isAlive = !this->isForgotten(next->second, now);
        if (isAlive && !this->notices.contains(next->first) && chosen.insert(next->first).second) {
            result.push_back(this->noticeOf(next->first, now));
        }
    }
    return result;
}

auto RequestQuarantine::worstSuspects(std::size_t limit, Instant now) const
    -> std::vector<SuspectRequest>
{
    std::vector<SuspectRequest> result;
    for (const auto &[fingerprint, suspect] : this->suspects) {
        if (!this->isForgotten(suspect, now)) {
            result.push_back(this->noticeOf(fingerprint, now));
        }
    }
    std::stable_sort(result.begin(), result.end(), [](const auto &left, const auto &right) {
        return std::pair(right.crashes.size(), left.sinceLastCrash)
               < std::pair(left.crashes.size(), right.sinceLastCrash);
    });
    result.resize(std::min(result.size(), limit));
    return result;
}

auto RequestQuarantine::takeCrashes() -> std::vector<SuspectedCrash>
{
    return std::exchange(this->crashes, {});
}

auto RequestQuarantine::addCrash(Suspect &suspect, CrashId crash) const -> bool
{
    const auto isKnown =
        std::find(suspect.crashes.begin(), suspect.crashes.end(), crash) != suspect.crashes.end();
    if (isKnown || suspect.crashes.size() >= this->settings.crashLimit) {
        return false;
    }
    suspect.crashes.push_back(crash);
    return true;
}

auto RequestQuarantine::scheduleNotice(RequestFingerprint fingerprint, Instant dueAt) -> void
{
    const auto isSuspect = this->suspects.contains(fingerprint);
    if (isSuspect || this->notices.size() < this->settings.suspectLimit) {
        this->notices[fingerprint] = Notice{dueAt, this->settings.noticeRepeats};
    }
}

auto RequestQuarantine::noticeOf(RequestFingerprint fingerprint, Instant now) const
    -> SuspectRequest
{
    const auto found = this->suspects.find(fingerprint);
    return found == this->suspects.end()
               ? SuspectRequest{fingerprint, {}, Duration{0}}
               : SuspectRequest{fingerprint, found->second.crashes,
                                Duration{now - found->second.lastCrashAt}};
}

auto RequestQuarantine::forgetBeyondLimit() -> void
{
    while (this->suspects.size() > this->settings.suspectLimit) {
        const auto oldest = std::min_element(
            this->suspects.begin(), this->suspects.end(), [](const auto &left, const auto &right) {
                return left.second.lastCrashAt < right.second.lastCrashAt;
            });
        this->notices.erase(oldest->first);
        this->suspects.erase(oldest);
    }
}

} // namespace gooseberrywall
