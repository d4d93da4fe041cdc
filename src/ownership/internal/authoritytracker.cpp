#include "ownership/internal/authoritytracker.h"

namespace gooseberrywall {

namespace {

constexpr std::size_t openLimit = 16;

} // namespace

AuthorityTracker::AuthorityTracker(Duration interval)
    : interval(interval)
{
}

auto AuthorityTracker::nextRequest(Instant now) -> std::optional<std::uint64_t>
{
    if (this->lastRequest && now - *this->lastRequest < this->interval) {
        return std::nullopt;
    }
    this->lastRequest = now;
    ++this->lastSequence;
    this->open[this->lastSequence] = now;
    if (this->open.size() > openLimit) {
        this->open.erase(this->open.begin());
    }
    return this->lastSequence;
}

auto AuthorityTracker::onAnswer(const AuthorityAnswer &answer) -> std::optional<Instant>
{
    const auto request = this->open.find(answer.sequence);
    if (request == this->open.end()) {
        return std::nullopt;
    }
    const auto sentAt = request->second;
    this->open.erase(this->open.begin(), std::next(request));
    this->confirmedFrom = sentAt;
    this->confirmedUntil = sentAt + answer.validFor;
    return sentAt;
}

auto AuthorityTracker::forget() -> void
{
    this->open.clear();
    this->confirmedFrom.reset();
    this->lastRequest.reset();
}

auto AuthorityTracker::covers(Instant now, Duration bound) const -> bool
{
    return this->confirmedFrom && now < this->confirmedUntil && now < *this->confirmedFrom + bound;
}

} // namespace gooseberrywall
