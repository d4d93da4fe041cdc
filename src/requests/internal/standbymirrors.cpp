#include "requests/standbymirrors.h"

#include <limits>
#include <utility>

namespace gooseberrywall {

namespace {

/// The grantor bounds the memory, so its copy needs no bound of its own.
auto copyLimits() -> OutcomeLimits
{
    OutcomeLimits limits;
    limits.maximalBytes = std::numeric_limits<std::size_t>::max();
    limits.keptAnswerLimitBytes = std::numeric_limits<std::size_t>::max();
    return limits;
}

auto isRemoval(const OutcomeEntry &entry) -> bool
{
    return entry.stage == OutcomeStage::Ended && entry.end.kind == EndKind::Refused;
}

} // namespace

StandbyMirrors::StandbyMirrors(DaemonIdentity self)
    : self(std::move(self))
{
}

auto StandbyMirrors::isStandbyFor(const DaemonId &from, const MirrorUpdate &message) const -> bool
{
    const auto *entry = this->table ? this->table->upstream(message.upstream) : nullptr;
    if (entry == nullptr || entry->term < message.term) {
        // The grantor may have a newer table than this daemon.
        return true;
    }
    return entry->term == message.term && entry->grantor == from && entry->standby == this->self.id
           && entry->standbyIncarnation == this->self.incarnation;
}

auto StandbyMirrors::apply(const OutcomeTime &time, const MirrorUpdate &message, Copy &copy) -> void
{
    if (!message.coverage.empty() || message.snapshot) {
        copy.memory.replaceCoverage(message.coverage);
    }
    copy.memory.setEvictedUntil(message.evictedUntil);
    for (const auto &entry : message.entries) {
        if (isRemoval(entry)) {
            copy.memory.erase({entry.caller, entry.id});
            continue;
        }
        copy.memory.adopt(time, entry);
    }
    copy.memory.expire(time);
    copy.sequence = message.sequence;
    copy.complete = message.complete;
}

auto StandbyMirrors::onUpdate(const OutcomeTime &time, const DaemonId &from,
                              const MirrorUpdate &message, Outbox &out) -> void
{
    if (!this->isStandbyFor(from, message)) {
        return;
    }
    const MirrorAnswer answer{message.upstream, message.term, message.sequence};
    auto known = this->copies.find(message.upstream);
    const bool isSame = known != this->copies.end() && known->second.grantor == from
                        && known->second.term == message.term;
    if (isSame && message.sequence <= known->second.sequence) {
        out.toPeer(from, answer);
        return;
    }
    const bool isOlder = known != this->copies.end() && message.term < known->second.term;
    const bool isNext = isSame && message.sequence == known->second.sequence + 1;
    if (isOlder || (!message.snapshot && !isNext)) {
        return;
    }
    if (message.snapshot) {
        this->copies.erase(message.upstream);
        known = this->copies
                    .emplace(message.upstream,
                             Copy{from, message.term, 0, false, OutcomeMemory(copyLimits())})
                    .first;
    }
    apply(time, message, known->second);
    out.toPeer(from, answer);
}

auto StandbyMirrors::onTable(const TablePointer &table) -> void
{
    this->table = table;
    for (auto copy = this->copies.begin(); copy != this->copies.end();) {
        const auto *entry = table->upstream(copy->first);
        const bool isCurrent =
            entry != nullptr
            && (entry->term < copy->second.term
                || (entry->term == copy->second.term && entry->standby == this->self.id
                    && entry->standbyIncarnation == this->self.incarnation));
        copy = isCurrent ? std::next(copy) : this->copies.erase(copy);
    }
}

auto StandbyMirrors::take(const UpstreamId &upstream, Term previousTerm)
    -> std::optional<OutcomeMemory>
{
    const auto found = this->copies.find(upstream);
    if (found == this->copies.end()) {
        return std::nullopt;
    }
    auto copy = std::move(found->second);
    this->copies.erase(found);
    if (!copy.complete || copy.term != previousTerm) {
        return std::nullopt;
    }
    return std::move(copy.memory);
}

} // namespace gooseberrywall
