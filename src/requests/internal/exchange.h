#pragma once

#include "protocol/types/request.h"

#include "common/types/shardid.h"

#include <cstdint>

namespace gooseberrywall {

enum class ExchangeStage : std::uint8_t {
    /// In its shard's line.
    Waiting,
    /// Sent to a grantor.
    Forwarded,
};

enum class ExchangePurpose : std::uint8_t { Run, Query };

/// A request was sent to this grantor in this role.
struct ForwardTarget
{
    DaemonId grantor;
    Incarnation grantorIncarnation;
    UpstreamId upstream;
    Term term;

    auto operator==(const ForwardTarget &) const -> bool = default;
};

/// One caller's open exchange.
struct Exchange
{
    ExchangeId id;
    ExchangePurpose purpose = ExchangePurpose::Run;
    Request request;
    ShardId shard;
    Instant arrivedAt{};
    /// Position among all exchanges of this daemon.
    std::uint64_t order = 0;
    ExchangeStage stage = ExchangeStage::Waiting;
    AttemptId attempt;
    ForwardTarget target;
    int tries = 0;
    /// An earlier attempt may have run or may run still.
    bool mayHaveRun = false;
    Reason waitReason = Reason::None;
    /// When the exchange needs attention next.
    Instant timerAt{};
};

} // namespace gooseberrywall
