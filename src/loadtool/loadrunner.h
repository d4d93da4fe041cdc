#pragma once

#include "http/clocktimer.h"
#include "loadtool/loadtally.h"
#include "loadtool/requestmix.h"
#include "loadtool/targets.h"

#include <functional>
#include <memory>
#include <optional>
#include <utility>

namespace gooseberrywall {

/// Sends the requests of a mix at their planned times, whether or not earlier ones have ended
/// (open loop), and counts how they end. A request that could not be sent is sent again, by
/// DaemonTarget to the next daemon, and so is a non-idempotent one without an answer, under the
/// same id.
template<LoadTarget Target>
class LoadRunner
{
public:
    /// @param base runs the calls; must outlive this
    /// @param resends maximal number of resends of one request
    /// @param finished called when all requests have ended
    LoadRunner(event_base *base, RequestMix mix, Target &target, int resends,
               std::function<void()> finished)
        : mix(std::move(mix))
        , target(target)
        , resends(resends)
        , finished(std::move(finished))
        , timer(base, [this] { this->sendDue(); })
    {
    }

    /// Prepares the target and starts the run. If the preparation fails, the run ends at once.
    auto start() -> void
    {
        this->target.prepare([this](bool prepared) {
            this->started = monotonicNow();
            if (!prepared) {
                this->finished();
                return;
            }
            this->upcoming = this->mix.next();
            this->sendDue();
        });
    }

    /// Queries the outcome of each unresolved request once.
    /// @param done called when all queries have ended
    auto queryOutcomes(std::function<void()> done) -> void
    {
        // The deleter runs when the last copy is destroyed, that is, when the last query has ended.
        const std::shared_ptr<void> all(nullptr, [done = std::move(done)](void *) { done(); });
        for (const auto &request : this->counts.unresolved()) {
            this->target.queryOutcome(request, [this, request, all](const CallEnd &end) {
                this->counts.addOutcomeQuery(request, end);
            });
        }
    }

    [[nodiscard]] auto tally() const -> const LoadTally & { return this->counts; }

    /// @returns the time since the start
    [[nodiscard]] auto elapsed() const -> Duration { return monotonicNow() - this->started; }

private:
    auto sendDue() -> void
    {
        while (this->upcoming.has_value() && this->upcoming->at <= this->elapsed()) {
            this->openRequests += 1;
            this->attempt(std::make_shared<PlannedRequest>(std::move(*this->upcoming)), 0);
            this->upcoming = this->mix.next();
        }
        if (this->upcoming.has_value()) {
            this->timer.set(this->started + this->upcoming->at);
        } else if (this->openRequests == 0) {
            this->finished();
        }
    }

    auto attempt(const std::shared_ptr<const PlannedRequest> &request, int sent) -> void
    {
        this->target.send(*request, sent, [this, request, sent](const CallEnd &end) {
            if (this->shouldResend(*request, sent, end)) {
                this->counts.addResend();
                this->attempt(request, sent + 1);
                return;
            }
            this->finish(*request, end);
        });
    }

    [[nodiscard]] auto shouldResend(const PlannedRequest &request, int sent,
                                    const CallEnd &end) const -> bool
    {
        const auto isLost = end.kind == CallEndKind::NoAnswer && !request.idempotent;
        return sent < this->resends && (isLost || end.kind == CallEndKind::NotSent);
    }

    auto finish(const PlannedRequest &request, const CallEnd &end) -> void
    {
        this->counts.add(request, this->elapsed(), end);
        this->openRequests -= 1;
        if (this->openRequests == 0 && !this->upcoming.has_value()) {
            this->finished();
        }
    }

    RequestMix mix;
    Target &target;
    int resends;
    std::function<void()> finished;
    ClockTimer timer;
    Instant started;
    std::optional<PlannedRequest> upcoming;
    LoadTally counts;
    std::uint64_t openRequests = 0;
};

} // namespace gooseberrywall
