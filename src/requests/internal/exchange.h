#pragma once

#include "protocol/types/request.h"

#include "common/types/shardid.h"

#include <cstdint>

namespace gooseberrywall {

enum class ExchangeStage : std::uint8_t {
    /// In its shard's transfer queue.
    Waiting,
    /// Sent to a grantor.
    Forwarded,
};

enum class ExchangePurpose : std::uint8_t { Run, Query };

/// The grantor to which a request is forwarded, with the upstream and the term that it serves.
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
    /// Position among all exchanges of this daemon, by arrival.
    std::uint64_t order = 0;
    ExchangeStage stage = ExchangeStage::Waiting;
    AttemptId attempt;
    ForwardTarget target;
    int tries = 0;
    /// An earlier attempt may have run, or may still run.
    bool mayHaveRun = false;
    /// Why the exchange waits; its end's reason if the deadline passes meanwhile.
    Reason waitReason = Reason::None;
    /// When the exchange's timer expires.
    Instant timerAt{};
};

} // namespace gooseberrywall
