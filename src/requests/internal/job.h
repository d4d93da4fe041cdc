#pragma once

#include "common/types/shardid.h"
#include "protocol/types/peermessages.h"
#include "requests/types/queueditem.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace gooseberrywall {

/// An entry daemon's attempt that waits for a job's end.
struct Waiter
{
    DaemonId from;
    AttemptId attempt;
    Instant deadline{};

    auto operator==(const Waiter &) const -> bool = default;
};

enum class JobStage : std::uint8_t { Queued, Running };

/// A request at its grantor.
struct Job
{
    JobId id;
    Request request;
    ShardId shard;
    std::uint64_t fingerprint = 0;
    std::vector<Waiter> waiters;
    JobStage stage = JobStage::Queued;
    QueuedItem item;
    /// Whether the outcome memory has an entry for it.
    bool remembered = false;
    /// The shard's fence when the request was looked up in the outcome memory.
    std::optional<Fence> lookupFence;
    std::uint64_t mirrorTicket = 0;
    int tries = 0;
    AttemptId attempt;
    CallId call;
    Instant sentAt{};
    bool cancelled = false;
    /// Waits outside the queue for the outcome memory of its shard.
    bool isParked = false;
    bool isSuspect = false;
    /// An earlier try may have run.
    bool mayHaveRun = false;

    [[nodiscard]] auto needsOutcomeMemory() const -> bool { return !this->request.idempotent; }
    [[nodiscard]] auto identity() const -> QuarantinedRequest
    {
        return {this->request.id, this->request.service, this->request.key};
    }
};

} // namespace gooseberrywall
