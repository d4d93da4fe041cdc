#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "dispatch/types/upstreamstatement.h"
#include "entry/types/statementmessages.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace gooseberrywall {

struct UpstreamStatementSettings
{
    /// A request that arrives later than this after an upstream has first stated that it leaves
    /// may not reach it.
    Duration drainTime = std::chrono::seconds{2};
    /// Requests stop this long before the end of the drain time, because they may be on their way
    /// for a while.
    Duration drainMargin = std::chrono::milliseconds{500};
    /// After a pause, one request is sent in each such time until one is answered.
    Duration trialInterval = std::chrono::milliseconds{250};
    /// What a process has stated is forgotten this long after it was last named by an answer, a
    /// permit or the store; far longer than a process takes to stop.
    Duration retention = std::chrono::minutes{10};
    auto operator==(const UpstreamStatementSettings &) const -> bool = default;
};

/// What upstreams have stated in their answers to this daemon: that they are about to stop, or that
/// they want no requests for a time. Statements hold for the incarnation that made them and for
/// earlier ones; only a later incarnation isn't bound. A statement whose incarnation isn't known
/// holds for all, and an unknown incarnation is bound by all statements. Does no I/O; the time is
/// passed in.
class UpstreamStatements
{
public:
    explicit UpstreamStatements(UpstreamStatementSettings settings);

    /// Counts a request that is sent.
    auto onSent(const UpstreamId &upstream, Incarnation incarnation, Instant now) -> void;
    /// Takes in how an attempt ended, and what its answer states. Answers may overtake each other:
    /// an answer without a statement ends none.
    auto onAttemptEnd(const AttemptStatement &attempt, Instant now) -> void;
    /// @param incarnation zero where it isn't known
    /// @returns why no request may be sent to the upstream; empty where one may be sent
    [[nodiscard]] auto holdOf(const UpstreamId &upstream, Incarnation incarnation, Instant now)
        -> std::optional<SendHold>;
    /// Notices the ends of pauses, and forgets what is old.
    auto advance(Instant now) -> void;

    /// @returns the changes since the last call
    [[nodiscard]] auto takeChanges() -> std::vector<StatementChange>;
    /// @returns the answers since the last call that tell whether an upstream may leave
    [[nodiscard]] auto takeHints() -> std::vector<UpstreamStatement>;
    /// @returns how many upstreams are known to leave
    [[nodiscard]] auto leavingCount() const -> std::size_t;
    /// @returns how many upstreams want no requests at present
    [[nodiscard]] auto pausedCount() const -> std::size_t;
    /// @returns how many upstreams something is kept of
    [[nodiscard]] auto size() const -> std::size_t { return this->records.size(); }

private:
    static constexpr Duration sweepInterval = std::chrono::milliseconds{250};

    struct Leaving
    {
        Incarnation incarnation;
        /// The first answer that stated it, for the log.
        RequestId request;
        Instant since;
        Instant namedAt;
        /// A later incarnation is known.
        bool isEnded = false;
    };
    struct Pause
    {
        Incarnation incarnation;
        RequestId request;
        Instant until;
        /// When the last request was sent after the pause; empty where none is under way.
        std::optional<Instant> trialSentAt;
        bool isEnded = false;
    };
    struct Record
    {
        std::optional<Leaving> leaving;
        std::optional<Pause> pause;
    };

    /// @returns whether a statement of one incarnation binds requests to another
    [[nodiscard]] static auto binds(Incarnation stated, Incarnation addressed) -> bool;
    auto stateLeaving(Record &record, const AttemptStatement &attempt, Instant now) -> void;
    auto statePause(Record &record, const AttemptStatement &attempt, Duration pause, Instant now)
        -> void;
    auto endTrial(Record &record, const AttemptStatement &attempt) -> void;
    [[nodiscard]] auto pauseOf(Record &record, Incarnation incarnation, Instant now)
        -> std::optional<Duration>;
    auto endLeaving(const UpstreamId &upstream, Leaving &leaving) -> void;
    auto endPause(const UpstreamId &upstream, Pause &pause) -> void;
    /// Ends pauses whose time has passed, and drops statements that are old enough.
    auto endOld(const UpstreamId &upstream, Record &record, Instant now) -> void;

    UpstreamStatementSettings settings;
    std::map<UpstreamId, Record> records;
    std::vector<StatementChange> changes;
    std::vector<UpstreamStatement> hints;
    Instant sweepDue{};
};

} // namespace gooseberrywall
