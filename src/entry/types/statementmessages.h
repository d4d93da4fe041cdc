#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/reason.h"
#include "dispatch/types/leavehint.h"

#include <cstdint>
#include <optional>

namespace gooseberrywall {

/// The end of an attempt, as far as it tells whether the upstream wants further requests.
struct AttemptStatement
{
    UpstreamId upstream;
    /// The process that the request was sent to; zero where it isn't known.
    Incarnation incarnation;
    RequestId request;
    Instant sentAt;
    bool isAnswered = false;
    /// The upstream has stated that it is about to stop.
    bool isLeaving = false;
    /// For this time the upstream wants no requests from this daemon.
    std::optional<Duration> pause;
    LeaveHint leaveHint = LeaveHint::Unknown;
    auto operator==(const AttemptStatement &) const -> bool = default;
};

/// Why no request may be sent to an upstream.
struct SendHold
{
    bool isLeaving = false;
    /// The upstream leaves, but a request that no other one can serve may still be sent.
    bool allowsLastResort = false;
    /// Time until the upstream takes requests again; empty where it hasn't asked for a pause.
    std::optional<Duration> pause;
    auto operator==(const SendHold &) const -> bool = default;
    [[nodiscard]] auto reason() const -> Reason
    {
        return this->pause ? Reason::UpstreamPaused : Reason::UpstreamDraining;
    }
};

/// A statement that has become known or has ended, for the log.
struct StatementChange
{
    enum class Kind : std::uint8_t { LeavingStated, LeavingEnded, PauseStated, PauseEnded };

    Kind kind = Kind::LeavingStated;
    UpstreamId upstream;
    Incarnation incarnation;
    /// The request whose answer made the statement.
    RequestId request;
    /// PauseStated only.
    Duration pause{0};
    auto operator==(const StatementChange &) const -> bool = default;
};

} // namespace gooseberrywall
