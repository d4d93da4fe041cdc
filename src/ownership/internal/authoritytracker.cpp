#include "ownership/internal/authoritytracker.h"

namespace gooseberrywall {

namespace {

constexpr std::size_t openRequestLimit = 16;

} // namespace

AuthorityTracker::AuthorityTracker(Duration requestInterval)
    : requestInterval(requestInterval)
{
}

auto AuthorityTracker::nextRequest(Instant now) -> std::optional<std::uint64_t>
{
    if (this->lastRequestAt && now - *this->lastRequestAt < this->requestInterval) {
        return std::nullopt;
    }
    this->lastRequestAt = now;
    ++this->lastSequence;
    this->openRequests[this->lastSequence] = now;
    if (this->openRequests.size() > openRequestLimit) {
        this->openRequests.erase(this->openRequests.begin());
    }
    return this->lastSequence;
}

auto AuthorityTracker::onAnswer(const AuthorityAnswer &answer) -> std::optional<Instant>
{
    const auto request = this->openRequests.find(answer.sequence);
    if (request == this->openRequests.end()) {
        return std::nullopt;
    }
    const auto sentAt = request->second;
    this->openRequests.erase(this->openRequests.begin(), std::next(request));
    this->confirmedRequestSentAt = sentAt;
    this->validUntil = sentAt + answer.validFor;
    return sentAt;
}

auto AuthorityTracker::reset() -> void
{
    this->openRequests.clear();
    this->confirmedRequestSentAt.reset();
    this->lastRequestAt.reset();
}

auto AuthorityTracker::isConfirmed(Instant now, Duration maximumAge) const -> bool
{
    return this->confirmedRequestSentAt && now < this->validUntil
           && now < *this->confirmedRequestSentAt + maximumAge;
}

} // namespace gooseberrywall
