#pragma once

#include "dispatch/types/suspectrequest.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace gooseberrywall {

struct RequestQuarantineSettings
{
    /// Number of upstream crashes at which a request is quarantined.
    std::size_t crashLimit = 3;
    /// An unanswered attempt counts as a crash if its upstream is lost within this time after it.
    Duration crashWindow = std::chrono::seconds{3};
    /// Suspects are forgotten after this time without a further crash.
    Duration suspectLifetime = std::chrono::minutes{10};
    /// Maximum number of suspects; those with the oldest last crash are forgotten first.
    std::size_t suspectLimit = 10'000;
    /// Requests with one crash are told to other daemons after this time: most of them are answered
    /// by another upstream before.
    Duration firstCrashDelay = std::chrono::seconds{1};
    /// How often a change is told to other daemons, as datagrams may be lost.
    int noticeRepeats = 3;
    auto operator==(const RequestQuarantineSettings &) const -> bool = default;
};

/// Finds requests that crash upstreams: those that were unanswered when several upstreams were
/// lost. An answer clears a request. Other requests that were running during a crash are answered
/// by another upstream, whereas the request that causes the crashes never is. Grantors tell other
/// daemons about the suspects, as each of them may be the next grantor.
class RequestQuarantine
{
public:
    explicit RequestQuarantine(RequestQuarantineSettings settings);

    /// Records that the request got no answer from this incarnation of an upstream.
    /// @param entry the daemon that sent it
    auto onUnanswered(RequestFingerprint fingerprint, const UpstreamId &upstream,
                      Incarnation incarnation, Instant now, const Address &entry = {}) -> void;
    /// Records that this incarnation of an upstream has ended or accepts no connections.
    auto onUpstreamLost(const UpstreamId &upstream, Incarnation incarnation, Instant now) -> void;
    /// Forgets the crashes of the request: it has been answered.
    auto onAnswered(RequestFingerprint fingerprint) -> void;
    /// Takes in what another daemon tells. Crashes that are known already count once.
    /// @param isToldOn what is new is told to other daemons
    auto adopt(const std::vector<SuspectRequest> &suspects, Instant now, bool isToldOn = false)
        -> void;
    /// Forgets requests that aren't quarantined yet: another grantor, which tells of them, may have
    /// seen their answers.
    auto forgetUnconfirmed() -> void;

    /// @returns whether the request has crashed `crashLimit` upstreams and must not run again
    [[nodiscard]] auto isQuarantined(RequestFingerprint fingerprint, Instant now) const -> bool;
    [[nodiscard]] auto quarantinedCount(Instant now) const -> std::size_t;
    [[nodiscard]] auto suspectCount() const -> std::size_t { return this->suspects.size(); }
    /// @returns whether an unanswered attempt may still turn out to be a crash
    [[nodiscard]] auto hasUnanswered(Instant now) const -> bool;
    /// @returns whether a change is due to be told to other daemons
    [[nodiscard]] auto hasNotices(Instant now) const -> bool;
    /// @returns the changes that are due, the most serious ones first, and after them further
    ///          suspects in turn, so that daemons that have started since learn of all
    [[nodiscard]] auto takeNotices(std::size_t limit, Instant now) -> std::vector<SuspectRequest>;
    /// @returns the suspects with most crashes, and of these the latest ones first
    [[nodiscard]] auto worstSuspects(std::size_t limit, Instant now) const
        -> std::vector<SuspectRequest>;
    /// @returns the crashes since the last call that count against a request
    [[nodiscard]] auto takeCrashes() -> std::vector<SuspectedCrash>;

private:
    struct UnansweredAttempt
    {
        RequestFingerprint fingerprint;
        UpstreamId upstream;
        Incarnation incarnation;
        Address entry;
        Instant endedAt;
    };
    struct Suspect
    {
        /// Lost upstreams at which the request was unanswered; each incarnation counts once.
        std::vector<CrashId> crashes;
        Instant lastCrashAt;
    };
    struct Notice
    {
        Instant dueAt;
        int repeats = 0;
    };

    [[nodiscard]] auto isForgotten(const Suspect &suspect, Instant now) const -> bool
    {
        return now - suspect.lastCrashAt > this->settings.suspectLifetime;
    }
    /// @returns whether the crash wasn't known
    auto addCrash(Suspect &suspect, CrashId crash) const -> bool;
    /// Sees to it that a change of the request's crashes is told.
    auto scheduleNotice(RequestFingerprint fingerprint, Instant dueAt) -> void;
    [[nodiscard]] auto noticeOf(RequestFingerprint fingerprint, Instant now) const
        -> SuspectRequest;
    auto forgetBeyondLimit() -> void;

    RequestQuarantineSettings settings;
    std::vector<UnansweredAttempt> unanswered;
    std::map<RequestFingerprint, Suspect> suspects;
    /// Changes that are to be told, of present and former suspects.
    std::map<RequestFingerprint, Notice> notices;
    /// The suspect that was told of last in turn.
    RequestFingerprint lastInTurn;
    std::vector<SuspectedCrash> crashes;
};

} // namespace gooseberrywall
