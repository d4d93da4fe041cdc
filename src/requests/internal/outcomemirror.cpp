#include "requests/outcomemirror.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t estimatedEntryBytes = 160;

} // namespace

OutcomeMirror::OutcomeMirror(UpstreamId upstream, MirrorLimits limits)
    : upstream(std::move(upstream))
    , limits(limits)
{
}

auto OutcomeMirror::matches(const UpstreamEntry &entry) const -> bool
{
    return this->term == entry.term && this->standby == entry.standby
           && this->standbyIncarnation == entry.standbyIncarnation;
}

auto OutcomeMirror::restart(Instant now, const UpstreamEntry &entry, const OutcomeMemory &memory)
    -> void
{
    this->term = entry.term;
    this->standby = entry.standby;
    this->standbyIncarnation = entry.standbyIncarnation;
    this->waitingSince = now;
    this->restartedAt = now;
    this->beginSnapshot(memory);
}

auto OutcomeMirror::stop() -> void
{
    this->standby = DaemonId{};
    this->snapshot.clear();
    this->pending.clear();
    this->unacknowledged.reset();
    this->inSnapshot = false;
    this->coverageChanged = false;
}

auto OutcomeMirror::restartIfStuck(Instant now, const OutcomeMemory &memory) -> void
{
    const bool isTimedOut = this->hasStandby() && !this->isAvailable(now);
    if (isTimedOut && now - this->restartedAt >= this->limits.acknowledgementTimeout) {
        this->restartedAt = now;
        this->beginSnapshot(memory);
    }
}

auto OutcomeMirror::beginSnapshot(const OutcomeMemory &memory) -> void
{
    this->pending.clear();
    this->snapshot.clear();
    this->unacknowledged.reset();
    this->acknowledgedTicket = 0;
    this->snapshotTicket = this->lastTicket;
    this->snapshotBegins = this->hasStandby();
    this->inSnapshot = this->hasStandby();
    this->coverageChanged = this->hasStandby();
    this->coverage = memory.coverage();
    this->evictedUntil = memory.evictedUntil();
    if (!this->hasStandby()) {
        return;
    }
    for (auto &entry : memory.entries()) {
        this->snapshot.push_back({0, std::move(entry)});
    }
}

auto OutcomeMirror::add(Instant now, OutcomeEntry entry) -> std::uint64_t
{
    if (this->isDrained()) {
        this->waitingSince = now;
    }
    ++this->lastTicket;
    if (this->hasStandby()) {
        this->pending.push_back({this->lastTicket, std::move(entry)});
    }
    return this->lastTicket;
}

auto OutcomeMirror::setCoverage(Instant now, std::vector<OutcomeCoverage> coverage,
                                UnixMillis evictedUntil) -> void
{
    if (this->isDrained()) {
        this->waitingSince = now;
    }
    this->coverage = std::move(coverage);
    this->evictedUntil = evictedUntil;
    this->coverageChanged = this->hasStandby();
}

auto OutcomeMirror::isAcknowledged(std::uint64_t ticket) const -> bool
{
    return this->hasStandby() && ticket <= this->acknowledgedTicket;
}

auto OutcomeMirror::isAvailable(Instant now) const -> bool
{
    if (!this->hasStandby()) {
        return false;
    }
    return this->isDrained() || now - this->waitingSince < this->limits.acknowledgementTimeout;
}

auto OutcomeMirror::hasWork() const -> bool
{
    return this->inSnapshot || this->coverageChanged || !this->pending.empty();
}

auto OutcomeMirror::isDrained() const -> bool
{
    return !this->unacknowledged && !this->hasWork();
}

auto OutcomeMirror::fill(MirrorUpdate &message, std::deque<Pending> &source) const -> std::uint64_t
{
    std::size_t bytes = 0;
    std::uint64_t ticket = 0;
    while (!source.empty() && bytes < this->limits.messageLimitBytes) {
        auto &front = source.front();
        bytes += estimatedEntryBytes + front.entry.end.body.size();
        ticket = front.ticket;
        message.entries.push_back(std::move(front.entry));
        source.pop_front();
    }
    return ticket;
}

auto OutcomeMirror::nextMessage() -> MirrorUpdate
{
    MirrorUpdate message;
    message.upstream = this->upstream;
    message.term = this->term;
    message.sequence = ++this->lastSequence;
    message.snapshot = std::exchange(this->snapshotBegins, false);
    message.evictedUntil = this->evictedUntil;
    if (std::exchange(this->coverageChanged, false)) {
        message.coverage = this->coverage;
    }
    this->unacknowledgedTicket = 0;
    if (this->inSnapshot) {
        this->fill(message, this->snapshot);
        this->inSnapshot = !this->snapshot.empty();
        this->unacknowledgedTicket = this->inSnapshot ? 0 : this->snapshotTicket;
    }
    if (!this->inSnapshot && !this->pending.empty()) {
        this->unacknowledgedTicket = this->fill(message, this->pending);
    }
    message.complete = !this->inSnapshot;
    return message;
}

auto OutcomeMirror::onAnswer(Instant now, const DaemonId &from, const MirrorAnswer &answer) -> bool
{
    const bool isCurrent = this->unacknowledged && from == this->standby
                           && answer.term == this->term
                           && answer.sequence == this->unacknowledged->sequence;
    if (!isCurrent) {
        return false;
    }
    this->unacknowledged.reset();
    this->acknowledgedTicket = std::max(this->acknowledgedTicket, this->unacknowledgedTicket);
    this->waitingSince = now;
    return true;
}

auto OutcomeMirror::sendDue(Instant now, Outbox &out) -> void
{
    if (!this->hasStandby()) {
        return;
    }
    if (!this->unacknowledged && this->hasWork()) {
        this->unacknowledged = this->nextMessage();
    } else if (!this->unacknowledged || now - this->sentAt < this->limits.resendInterval) {
        return;
    }
    this->sentAt = now;
    out.toPeer(this->standby, *this->unacknowledged);
}

} // namespace gooseberrywall
