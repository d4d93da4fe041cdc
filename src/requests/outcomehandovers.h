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
    /// Handovers that are kept until the table shows them as due.
    std::size_t maximalIncoming = 1024;

    auto operator==(const HandoverLimits &) const -> bool = default;
};

/// Hands the outcomes of shards that have moved to their new grantors, and receives those of
/// shards that have moved here.
class OutcomeHandovers
{
public:
    explicit OutcomeHandovers(HandoverLimits limits);

    /// Sends a shard's outcomes until they are acknowledged or the time to give up has come.
    /// @param fence the fence under which the shard's new upstream owns it
    auto send(Instant now, const DaemonId &to, Fence fence, const ShardOutcomes &outcomes,
              Outbox &out) -> void;

    /// Keeps a part and acknowledges it.
    auto onPart(Instant now, const DaemonId &from, const OutcomeHandover &part, Outbox &out)
        -> void;

    auto onAnswer(const DaemonId &from, const OutcomeHandoverAnswer &answer) -> void;

    /// @returns the outcomes handed over for just this fence, once all parts have arrived
    [[nodiscard]] auto take(const ShardId &shard, Fence fence) -> std::optional<ShardOutcomes>;

    auto tick(Instant now, Outbox &out) -> void;

    /// @returns whether nothing is on its way out
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
