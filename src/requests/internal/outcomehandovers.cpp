#include "requests/outcomehandovers.h"

#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t estimatedEntryBytes = 160;

} // namespace

OutcomeHandovers::OutcomeHandovers(HandoverLimits limits)
    : limits(limits)
{
}

auto OutcomeHandovers::send(Instant now, const DaemonId &to, Fence fence,
                            const ShardOutcomes &outcomes, Outbox &out) -> void
{
    const auto firstPart = this->outgoing.size();
    std::size_t bytes = this->limits.messageLimitBytes;
    for (const auto &entry : outcomes.entries) {
        if (bytes >= this->limits.messageLimitBytes) {
            bytes = 0;
            this->outgoing.push_back({to, {}, now, now});
        }
        bytes += estimatedEntryBytes + entry.end.body.size();
        this->outgoing.back().part.entries.push_back(entry);
    }
    if (this->outgoing.size() == firstPart) {
        this->outgoing.push_back({to, {}, now, now});
    }
    const auto count = static_cast<std::uint32_t>(this->outgoing.size() - firstPart);
    for (std::uint32_t number = 0; number < count; ++number) {
        auto &part = this->outgoing[firstPart + number].part;
        part.shard = outcomes.coverage.shard;
        part.fence = fence;
        part.heldFence = outcomes.lastEpoch.fence;
        part.heldTerm = outcomes.lastEpoch.term;
        part.part = number;
        part.partCount = count;
        part.coverage = outcomes.coverage;
        out.toPeer(to, part);
    }
}

auto OutcomeHandovers::onPart(Instant now, const DaemonId &from, const OutcomeHandover &part,
                              Outbox &out) -> void
{
    const IncomingKey key{part.shard, part.fence};
    const bool isNew = !this->incoming.contains(key);
    if (isNew && this->incoming.size() >= this->limits.maximalIncoming) {
        return;
    }
    auto &incoming = this->incoming[key];
    if (isNew) {
        incoming.startedAt = now;
        incoming.partCount = part.partCount;
        incoming.outcomes.coverage = part.coverage;
        incoming.outcomes.lastEpoch = {part.heldFence, part.heldTerm};
    }
    out.toPeer(from, OutcomeHandoverAnswer{part.shard, part.fence, part.part});
    if (part.partCount != incoming.partCount || !incoming.parts.insert(part.part).second) {
        return;
    }
    auto &entries = incoming.outcomes.entries;
    entries.insert(entries.end(), part.entries.begin(), part.entries.end());
}

auto OutcomeHandovers::onAnswer(const DaemonId &from, const OutcomeHandoverAnswer &answer) -> void
{
    std::erase_if(this->outgoing, [&](const Outgoing &sent) {
        return sent.to == from && sent.part.shard == answer.shard && sent.part.fence == answer.fence
               && sent.part.part == answer.part;
    });
}

auto OutcomeHandovers::take(const ShardId &shard, Fence fence) -> std::optional<ShardOutcomes>
{
    const auto found = this->incoming.find({shard, fence});
    if (found == this->incoming.end() || found->second.parts.size() != found->second.partCount) {
        return std::nullopt;
    }
    auto outcomes = std::move(found->second.outcomes);
    this->incoming.erase(found);
    return outcomes;
}

auto OutcomeHandovers::tick(Instant now, Outbox &out) -> void
{
    std::erase_if(this->outgoing, [&](const Outgoing &sent) {
        return now - sent.startedAt >= this->limits.timeout;
    });
    std::erase_if(this->incoming, [&](const auto &entry) {
        return now - entry.second.startedAt >= this->limits.timeout;
    });
    for (auto &sent : this->outgoing) {
        if (now - sent.sentAt >= this->limits.resendInterval) {
            sent.sentAt = now;
            out.toPeer(sent.to, sent.part);
        }
    }
}

} // namespace gooseberrywall
