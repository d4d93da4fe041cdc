#pragma once

#include "protocol/outbox.h"
#include "requests/outcomememory.h"

#include <cstdint>
#include <deque>
#include <optional>

namespace gooseberrywall {

/// Timing and size of mirror messages.
struct MirrorLimits
{
    Duration resendInterval = std::chrono::milliseconds{20};
    /// The mirror counts as unavailable after this time without an acknowledgement.
    Duration acknowledgementTimeout = std::chrono::milliseconds{500};
    std::size_t messageLimitBytes = std::size_t{128} * 1024;

    auto operator==(const MirrorLimits &) const -> bool = default;
};

/// Grantor side of the mirror: copies one upstream's outcome memory to its stand-by, first as a
/// snapshot, then each change in order. Only one message is unacknowledged at a time; changes made
/// meanwhile go into the next one.
class OutcomeMirror
{
public:
    OutcomeMirror(UpstreamId upstream, MirrorLimits limits);

    /// Starts over from a snapshot of the memory.
    /// @param entry gives the term and the stand-by, which may be empty
    auto restart(Instant now, const UpstreamEntry &entry, const OutcomeMemory &memory) -> void;

    /// Stops mirroring and drops what is unsent.
    auto stop() -> void;

    /// Starts over from a snapshot if the stand-by has not acknowledged for long, since it may have
    /// lost its copy.
    auto restartIfStuck(Instant now, const OutcomeMemory &memory) -> void;

    /// Queues a changed entry for the stand-by.
    /// @returns a ticket for isAcknowledged
    auto add(Instant now, OutcomeEntry entry) -> std::uint64_t;

    /// Queues the memory's coverage for the stand-by.
    /// @param evictedUntil time of issue up to which the memory may have evicted ids
    auto setCoverage(Instant now, std::vector<OutcomeCoverage> coverage, UnixMillis evictedUntil)
        -> void;

    /// @returns whether the stand-by has the entry
    [[nodiscard]] auto isAcknowledged(std::uint64_t ticket) const -> bool;

    /// @returns whether there is a stand-by, and it has acknowledged within the timeout
    [[nodiscard]] auto isAvailable(Instant now) const -> bool;

    /// @returns whether the stand-by has acknowledged everything
    [[nodiscard]] auto isDrained() const -> bool;

    [[nodiscard]] auto hasStandby() const -> bool { return !this->standby.empty(); }
    /// @returns whether the mirror already has the entry's term and stand-by
    [[nodiscard]] auto matches(const UpstreamEntry &entry) const -> bool;

    /// @returns whether the answer acknowledged the current message
    auto onAnswer(Instant now, const DaemonId &from, const MirrorAnswer &answer) -> bool;

    /// Sends the next message, or the unacknowledged one again, if it is due.
    auto sendDue(Instant now, Outbox &out) -> void;

private:
    struct Pending
    {
        std::uint64_t ticket = 0;
        OutcomeEntry entry;
    };

    auto beginSnapshot(const OutcomeMemory &memory) -> void;
    [[nodiscard]] auto hasWork() const -> bool;
    auto nextMessage() -> MirrorUpdate;
    auto fill(MirrorUpdate &message, std::deque<Pending> &source) const -> std::uint64_t;

    UpstreamId upstream;
    Term term;
    MirrorLimits limits;
    DaemonId standby;
    Incarnation standbyIncarnation;
    std::deque<Pending> snapshot;
    std::deque<Pending> pending;
    std::uint64_t lastTicket = 0;
    std::uint64_t acknowledgedTicket = 0;
    std::vector<OutcomeCoverage> coverage;
    UnixMillis evictedUntil = 0;
    bool coverageChanged = false;
    bool snapshotBegins = false;
    bool inSnapshot = false;
    /// Entries up to this ticket are acknowledged with the last part of the snapshot.
    std::uint64_t snapshotTicket = 0;
    std::optional<MirrorUpdate> unacknowledged;
    std::uint64_t unacknowledgedTicket = 0;
    std::uint64_t lastSequence = 0;
    Instant sentAt{};
    Instant waitingSince{};
    Instant restartedAt{};
};

} // namespace gooseberrywall
