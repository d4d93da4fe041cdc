#include "dispatch/requestquarantine.h"

#include <algorithm>

namespace gooseberrywall {

RequestQuarantine::RequestQuarantine(RequestQuarantineSettings settings)
    : settings(settings)
{
}

auto RequestQuarantine::onUnanswered(RequestFingerprint fingerprint, const UpstreamId &upstream,
                                     Incarnation incarnation, Instant now) -> void
{
    if (fingerprint.value == 0) {
        return;
    }
    std::erase_if(this->unanswered, [&](const UnansweredAttempt &attempt) {
        return now - attempt.endedAt > this->settings.crashWindow;
    });
    this->unanswered.push_back(UnansweredAttempt{fingerprint, upstream, incarnation, now});
}

auto RequestQuarantine::onUpstreamLost(const UpstreamId &upstream, Incarnation incarnation,
                                       Instant now) -> void
{
    for (const auto &attempt : this->unanswered) {
        const auto isCrash = attempt.upstream == upstream && attempt.incarnation == incarnation
                             && now - attempt.endedAt <= this->settings.crashWindow;
        if (isCrash) {
            auto &suspect = this->suspects[attempt.fingerprint];
            suspect.crashes.emplace(upstream, incarnation);
            suspect.lastCrashAt = now;
        }
    }
    std::erase_if(this->unanswered, [&](const UnansweredAttempt &attempt) {
        return attempt.upstream == upstream && attempt.incarnation == incarnation;
    });
    while (this->suspects.size() > this->settings.suspectLimit) {
        this->forgetOldest();
    }
}

auto RequestQuarantine::onAnswered(RequestFingerprint fingerprint) -> void
{
    this->suspects.erase(fingerprint);
}

auto RequestQuarantine::isQuarantined(RequestFingerprint fingerprint, Instant now) const -> bool
{
    const auto found = this->suspects.find(fingerprint);
    return found != this->suspects.end()
           && found->second.crashes.size() >= this->settings.crashLimit
           && now - found->second.lastCrashAt <= this->settings.suspectLifetime;
}

auto RequestQuarantine::forgetOldest() -> void
{
    const auto oldest = std::min_element(
        this->suspects.begin(), this->suspects.end(), [](const auto &left, const auto &right) {
            return left.second.lastCrashAt < right.second.lastCrashAt;
        });
    this->suspects.erase(oldest);
}

} // namespace gooseberrywall
