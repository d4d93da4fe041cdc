#pragma once

#include "requests/tests/loadmeasure.h"
#include "requests/tests/testcell.h"

#include <functional>
#include <random>
#include <string>
#include <vector>

namespace gooseberrywall {

inline constexpr int slotCount = 3;
inline constexpr double meanServiceSeconds = 0.010;
/// Requests per second that the upstream serves with all slots busy.
inline constexpr double capacityPerSecond = slotCount / meanServiceSeconds;
inline const Duration requestTimeout = std::chrono::seconds{1};

/// Sends requests at random times, with rates that are functions of time.
class LoadSource
{
public:
    LoadSource(TestCell &cell, Duration end)
        : cell(cell)
        , random(cell.random())
        , end(end)
    {
        cell.serviceTime = [this](const RunRequest &run) {
            return this->work.at(std::stoul(run.body)).serviceTime;
        };
    }

    /// Adds a caller that sends from second 2 on.
    /// @param rate requests per second, as a function of the time in seconds
    /// @param longShare probability that a request is long
    /// @param longFactor factor on the service time of a long request
    /// @param hint size hint that the caller gives with long requests
    auto add(const std::string &caller, std::function<double(double)> rate, double longShare = 0.0,
             double longFactor = 1.0, SizeHint hint = SizeHint::None) -> void
    {
        this->callers.push_back({caller, std::move(rate), longShare, longFactor, hint});
        this->scheduleNext(this->callers.size() - 1, std::chrono::seconds{2});
    }

    std::vector<OfferedWork> work;
    std::vector<std::string> callerOf;

private:
    struct Caller
    {
        std::string name;
        std::function<double(double)> rate;
        double longShare = 0.0;
        double longFactor = 1.0;
        SizeHint hint = SizeHint::None;
    };

    auto scheduleNext(std::size_t index, Duration from) -> void
    {
        const double second = std::chrono::duration<double>(from).count();
        const double rate = std::max(0.1, this->callers[index].rate(second));
        const double gap = std::exponential_distribution<double>(rate)(this->random);
        const auto at =
            from + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
        if (at < this->end) {
            this->cell.at(at, [this, index, at] { this->arrive(index, at); });
        }
    }

    auto arrive(std::size_t index, Duration at) -> void
    {
        const auto &caller = this->callers[index];
        std::uniform_real_distribution<double> fraction(0.0, 1.0);
        const bool isLong = fraction(this->random) < caller.longShare;
        // Uniform between half and one and a half times the mean.
        double service = meanServiceSeconds * (0.5 + fraction(this->random));
        service *= isLong ? caller.longFactor : 1.0;
        const auto time =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(service));
        const auto timeout = isLong ? 10 * requestTimeout : requestTimeout;
        this->work.push_back({Instant{at}, time, timeout, isLong});
        this->callerOf.push_back(caller.name);
        Request request;
        request.id = {"r" + std::to_string(this->work.size())};
        request.caller = {caller.name};
        request.key = {"key " + std::to_string(this->random() % 1000)};
        request.operation = isLong ? "catalogue" : "lookup";
        request.sizeHint = isLong ? caller.hint : SizeHint::None;
        request.body = std::to_string(this->work.size() - 1);
        this->cell.submit(1, std::move(request), timeout);
        this->scheduleNext(index, at);
    }

    TestCell &cell;
    std::mt19937_64 random;
    Duration end;
    std::vector<Caller> callers;
};

inline auto isAnsweredInTime(const CallerView &view) -> bool
{
    return view.ends.size() == 1 && view.ends[0].kind == EndKind::Answer
           && view.endedAt <= view.request.deadline;
}

/// A request counts as admitted unless it is refused within 20 ms.
inline auto isAdmittedButMissed(const CallerView &view) -> bool
{
    const bool refusedAtOnce = view.ends.size() == 1 && view.ends[0].kind == EndKind::Refused
                               && view.endedAt - view.sentAt < std::chrono::milliseconds{20};
    return !refusedAtOnce && !isAnsweredInTime(view);
}

} // namespace gooseberrywall
