#pragma once

#include "protocol/outbox.h"
#include "requests/types/outcomekey.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace gooseberrywall {

/// Timing and size of handover messages.
struct HandoverLimits
{
    Duration resendInterval = std::chrono::milliseconds{50};
    Duration timeout = std::chrono::seconds{5};
    std::size_t messageLimitBytes = std::size_t{128} * 1024;
    /// Received handovers that are kept until they are taken; further ones are dropped.
    std::size_t maximalIncoming = 1024;

    auto operator==(const HandoverLimits &) const -> bool = default;
};

/// Sends the outcomes of shards that have moved away to their new grantors, and receives those of
/// shards that have moved to this daemon.
class OutcomeHandovers
{
public:
    explicit OutcomeHandovers(HandoverLimits limits);

    /// Sends a shard's outcomes, and repeats each part until it is acknowledged or times out.
    /// @param to the new grantor
    /// @param fence the fence under which the shard's new owner holds it
    auto send(Instant now, const DaemonId &to, Fence fence, const ShardOutcomes &outcomes,
              Outbox &out) -> void;

    /// Stores one part of a handover and acknowledges it.
    auto onPart(Instant now, const DaemonId &from, const OutcomeHandover &part, Outbox &out)
        -> void;

    auto onAnswer(const DaemonId &from, const OutcomeHandoverAnswer &answer) -> void;

    /// Removes a received handover.
    /// @param fence the fence for which the outcomes were handed over
    /// @returns the outcomes; nothing before all parts have arrived
    [[nodiscard]] auto take(const ShardId &shard, Fence fence) -> std::optional<ShardOutcomes>;

    /// Sends unacknowledged parts again, and drops what has timed out.
    auto tick(Instant now, Outbox &out) -> void;

    /// @returns whether no outgoing part is unacknowledged
    [[nodiscard]] auto isIdle() const -> bool { return this->outgoing.empty(); }

private:
    struct Outgoing
    {
        DaemonId to;
        OutcomeHandover part;
        Instant startedAt{};
        Instant sentAt{};
    };
    struct Incoming
    {
        Instant startedAt{};
        std::uint32_t partCount = 0;
        std::set<std::uint32_t> parts;
        ShardOutcomes outcomes;
    };
    struct IncomingKey
    {
        ShardId shard;
        Fence fence;
        auto operator<=>(const IncomingKey &) const = default;
    };

    HandoverLimits limits;
    std::vector<Outgoing> outgoing;
    std::map<IncomingKey, Incoming> incoming;
};

} // namespace gooseberrywall
