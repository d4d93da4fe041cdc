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
    /// Without an acknowledgement for this long the mirror counts as unavailable.
    Duration acknowledgementTimeout = std::chrono::milliseconds{500};
    std::size_t messageLimitBytes = std::size_t{128} * 1024;

    auto operator==(const MirrorLimits &) const -> bool = default;
};

/// Grantor side of the mirror: copies one upstream's outcome memory to its stand-by, the whole
/// first and then each change in order. One message is unacknowledged at a time; what changes
/// meanwhile goes into the next.
class OutcomeMirror
{
public:
    OutcomeMirror(UpstreamId upstream, MirrorLimits limits);

    /// Starts again with another term or stand-by, or with none, from a snapshot of the memory.
    auto restart(Instant now, const UpstreamEntry &entry, const OutcomeMemory &memory) -> void;

    /// The memory isn't mirrored any more.
    auto stop() -> void;

    /// Starts again from a snapshot if the stand-by has not answered for long: it may have lost its
    /// copy.
    auto restartIfStuck(Instant now, const OutcomeMemory &memory) -> void;

    /// @returns a ticket for isAcknowledged
    auto add(Instant now, OutcomeEntry entry) -> std::uint64_t;

    /// The shards covered by the memory, or its evictions, have changed.
    auto setCoverage(Instant now, std::vector<OutcomeCoverage> coverage, UnixMillis unbrokenSince)
        -> void;

    /// @returns whether the stand-by has the entry
    [[nodiscard]] auto isAcknowledged(std::uint64_t ticket) const -> bool;

    /// @returns whether the stand-by has answered lately
    [[nodiscard]] auto isAvailable(Instant now) const -> bool;

    /// @returns whether the stand-by has everything
    [[nodiscard]] auto isDrained() const -> bool;

    [[nodiscard]] auto hasStandby() const -> bool { return !this->standby.empty(); }
    /// @returns whether the mirror already has the entry's term and stand-by
    [[nodiscard]] auto matches(const UpstreamEntry &entry) const -> bool;

    /// @returns whether the acknowledgement was of the present message
    auto onAnswer(Instant now, const DaemonId &from, const MirrorAnswer &answer) -> bool;

    /// Sends what is due.
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
    UnixMillis unbrokenSince = 0;
    bool coverageChanged = false;
    bool snapshotBegins = false;
    bool inSnapshot = false;
    /// Acknowledged along with the last part of the snapshot.
    std::uint64_t snapshotTicket = 0;
    std::optional<MirrorUpdate> unacknowledged;
    std::uint64_t unacknowledgedTicket = 0;
    std::uint64_t lastSequence = 0;
    Instant sentAt{};
    Instant waitingSince{};
    Instant restartedAt{};
};

} // namespace gooseberrywall
