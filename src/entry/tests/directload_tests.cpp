#include "dispatch/tests/evenness.h"
#include "entry/directchoice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <ctime>
#include <deque>
#include <numeric>
#include <queue>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t daemonCount = 100;
constexpr std::size_t upstreamCount = 40;
constexpr int slots = 3;
constexpr double workSeconds = 0.08;
/// All requests of this time are sent at once.
constexpr Duration batchTime = milliseconds{20};
/// An answer, with its report, reaches the daemon after this time.
constexpr Duration newsDelay = milliseconds{30};
const ServiceName service{"service"};
const Instant start{seconds{100}};

/// Daemons without a grantor, each of which hears of the upstreams' loads only by the answers to
/// its own requests, and upstreams at which requests wait for slots.
class DaemonsAndUpstreams
{
public:
    DaemonsAndUpstreams(const std::vector<double> &speeds, double utilisation)
        : speeds(speeds)
        , slowdowns(speeds.size(), 1.0)
        , states(speeds.size())
    {
        this->perBatch = utilisation * slots * std::accumulate(speeds.begin(), speeds.end(), 0.0)
                         / workSeconds * std::chrono::duration<double>(batchTime).count();
        std::vector<UpstreamEntry> entries;
        for (std::size_t index = 0; index < speeds.size(); ++index) {
            UpstreamEntry entry;
            entry.id = UpstreamId{std::to_string(index)};
            entry.service = service;
            entry.address = Address{"10.1.0.1:80"};
            entry.slots = slots;
            entries.push_back(entry);
        }
        for (std::size_t index = 0; index < daemonCount; ++index) {
            this->daemons.emplace_back(index + 1, this->statements);
            this->daemons.back().setUpstreams(entries, start);
            this->daemons.back().setTrusted(true);
        }
    }

    /// Makes only this share of the answers report the upstream's load.
    auto setReportedShare(double share) -> void { this->reportedShare = share; }

    auto setSlowdown(std::size_t upstream, double factor) -> void
    {
        this->slowdowns.at(upstream) = factor;
    }

    auto run(Duration time) -> void
    {
        for (const auto end = this->now + time; this->now < end; this->now += batchTime) {
            this->advanceTo(this->now);
            std::poisson_distribution<int> count(this->perBatch);
            const auto requests = count(this->random);
            for (auto request = 0; request < requests; ++request) {
                this->send(this->random() % daemonCount);
            }
        }
        this->advanceTo(this->now);
    }

    auto resetCounts() -> void
    {
        for (auto &upstream : this->states) {
            this->addBusyTime(upstream, this->now);
            upstream.busy = Duration{0};
        }
        this->responseTime = Duration{0};
        this->answered = 0;
        this->since = this->now;
    }

    /// @returns the requests that ran at each upstream per slot, a mean since the last reset
    [[nodiscard]] auto utilisations() -> std::vector<double>
    {
        std::vector<double> result;
        for (auto &upstream : this->states) {
            this->addBusyTime(upstream, this->now);
            result.push_back(static_cast<double>(upstream.busy.count()) / slots
                             / static_cast<double>((this->now - this->since).count()));
        }
        return result;
    }

    /// @returns the sum of the times from request to answer, and the number of answers
    [[nodiscard]] auto answerTimes() const -> std::pair<Duration, int>
    {
        return {this->responseTime, this->answered};
    }

private:
    struct Request
    {
        std::size_t daemon = 0;
        Instant sentAt;
    };
    struct Upstream
    {
        int running = 0;
        std::deque<Request> waiting;
        Duration busy{0};
        Instant busyUntil = start;
    };
    struct Event
    {
        Instant at;
        enum class Kind : std::uint8_t { End, Answer } kind = Kind::End;
        std::size_t upstream = 0;
        Request request;
        ReportedLoad load;
        auto operator>(const Event &other) const -> bool { return this->at > other.at; }
    };

    auto addBusyTime(Upstream &upstream, Instant moment) -> void
    {
        upstream.busy += upstream.running * (moment - upstream.busyUntil);
        upstream.busyUntil = moment;
    }

    auto send(std::size_t daemon) -> void
    {
        PermitRequest request;
        request.service = service;
        const auto verdict = this->daemons[daemon].choose(request, this->now);
        const auto index = static_cast<std::size_t>(std::stoi(verdict->upstream.value));
        this->daemons[daemon].onSent(verdict->upstream, this->now);
        const Request sent{daemon, this->now};
        if (this->states[index].running < slots) {
            this->begin(index, sent, this->now);
        } else {
            this->states[index].waiting.push_back(sent);
        }
    }

    auto begin(std::size_t index, const Request &request, Instant moment) -> void
    {
        auto &upstream = this->states[index];
        this->addBusyTime(upstream, moment);
        ++upstream.running;
        std::lognormal_distribution<double> factor(-0.045, 0.3);
        const auto work =
            1e6 * workSeconds * factor(this->random) * this->slowdowns[index] / this->speeds[index];
        this->events.push(Event{moment + Duration{static_cast<Duration::rep>(work)},
                                Event::Kind::End,
                                index,
                                request,
                                {}});
    }

    auto advanceTo(Instant moment) -> void
    {
        while (!this->events.empty() && this->events.top().at <= moment) {
            const auto event = this->events.top();
            this->events.pop();
            if (event.kind == Event::Kind::End) {
                this->onEnd(event);
                continue;
            }
            auto &daemon = this->daemons[event.request.daemon];
            const UpstreamId id{std::to_string(event.upstream)};
            daemon.onEnd(id, AttemptEnd::Answered, event.at);
            std::bernoulli_distribution isReported(this->reportedShare);
            daemon.onAnswered(service, id,
                              isReported(this->random) ? std::optional(event.load) : std::nullopt,
                              event.at - event.request.sentAt, event.at);
            this->responseTime += event.at - event.request.sentAt;
            ++this->answered;
        }
    }

    auto onEnd(const Event &event) -> void
    {
        auto &upstream = this->states[event.upstream];
        this->addBusyTime(upstream, event.at);
        --upstream.running;
        if (!upstream.waiting.empty()) {
            const auto next = upstream.waiting.front();
            upstream.waiting.pop_front();
            this->begin(event.upstream, next, event.at);
        }
        this->events.push(
            Event{event.at + newsDelay, Event::Kind::Answer, event.upstream, event.request,
                  ReportedLoad{upstream.running, static_cast<int>(upstream.waiting.size()), slots,
                               this->slowdowns[event.upstream]}});
    }

    std::vector<double> speeds;
    std::vector<double> slowdowns;
    std::vector<Upstream> states;
    double perBatch = 0;
    double reportedShare = 1;
    UpstreamStatements statements{UpstreamStatementSettings{}};
    std::vector<DirectChoice> daemons;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
    std::mt19937_64 random{5};
    Instant now = start;
    Instant since = start;
    Duration responseTime{0};
    int answered = 0;
};

/// @returns speeds of 0.5 to 1.6 in equal steps
auto unevenSpeeds() -> std::vector<double>
{
    std::vector<double> speeds;
    for (std::size_t index = 0; index < upstreamCount; ++index) {
        speeds.push_back(0.5 + 1.1 * static_cast<double>(index) / (upstreamCount - 1));
    }
    return speeds;
}

} // namespace

// Guards against daemons that all choose the same upstreams because their reports are equally old.
SCENARIO("DirectChoice: given many daemons that choose at once with old reports, upstreams of one "
         "speed are evenly used",
         "[entry][even]")
{
    const auto utilisation = GENERATE(0.6, 0.85);
    DaemonsAndUpstreams fleet(std::vector<double>(upstreamCount, 1.0), utilisation);
    fleet.run(seconds{60});
    const auto evenness = measureEvenness(fleet, 30, [&] { fleet.run(seconds{1}); });
    UNSCOPED_INFO("equal speeds at " << utilisation << ": " << evenness);
    CHECK(evenness.busiest <= evenGoal);
}

// Guards against equal shares, with which the slow upstreams are overloaded.
SCENARIO("DirectChoice: given upstreams with speeds of 0.5 to 1.6, they are evenly used",
         "[entry][even]")
{
    const auto utilisation = GENERATE(0.6, 0.85);
    DaemonsAndUpstreams fleet(unevenSpeeds(), utilisation);
    fleet.run(seconds{60});
    const auto evenness = measureEvenness(fleet, 30, [&] { fleet.run(seconds{1}); });
    UNSCOPED_INFO("speeds 0.5 to 1.6 at " << utilisation << ": " << evenness);
    CHECK(evenness.busiest <= evenGoal);
}

// Guards against a choice that needs reports to keep the slow upstreams from being overloaded.
SCENARIO("DirectChoice: given few or no reports of upstreams with speeds of 0.5 to 1.6, they are "
         "evenly used",
         "[entry][even]")
{
    const auto reportedShare = GENERATE(0.0, 0.2);
    DaemonsAndUpstreams fleet(unevenSpeeds(), 0.6);
    fleet.setReportedShare(reportedShare);
    fleet.run(seconds{60});
    const auto evenness = measureEvenness(fleet, 30, [&] { fleet.run(seconds{1}); });
    UNSCOPED_INFO("reports in a share of " << reportedShare << ": " << evenness);
    CHECK(evenness.busiest <= evenGoal);
}

// Guards against a slowdown that counts for longer than it lasts.
SCENARIO("DirectChoice: given a fifth of the upstreams slow by a factor of 3 for 400 ms at a time, "
         "they are evenly used",
         "[entry][even]")
{
    const auto utilisation = GENERATE(0.4, 0.6);
    DaemonsAndUpstreams fleet(std::vector<double>(upstreamCount, 1.0), utilisation);
    std::mt19937_64 random(7);
    std::vector<std::size_t> order(upstreamCount);
    std::iota(order.begin(), order.end(), std::size_t{0});
    const auto runSlowTimes = [&](int count) {
        for (auto time = 0; time < count; ++time) {
            std::shuffle(order.begin(), order.end(), random);
            for (std::size_t index = 0; index < upstreamCount; ++index) {
                fleet.setSlowdown(order[index], index < upstreamCount / 5 ? 3 : 1);
            }
            fleet.run(milliseconds{400});
        }
    };
    runSlowTimes(150);
    const auto evenness = measureEvenness(fleet, 75, [&] { runSlowTimes(1); });
    UNSCOPED_INFO("a fifth slow, requests for " << utilisation << ": " << evenness);
    CHECK(evenness.busiest <= evenGoal);
}

// Guards against a choice whose cost grows with the number of upstreams, on VMs with 0.07 cores.
SCENARIO("DirectChoice: given 164 upstreams, a choice takes little processor time",
         "[entry][even][load]")
{
    constexpr int manyUpstreams = 164;
    constexpr int choices = 20'000;
    // 150 requests per second then take a twentieth of 0.07 cores.
    constexpr double maxMicroseconds = 20;
    std::vector<UpstreamEntry> entries;
    for (auto index = 0; index < manyUpstreams; ++index) {
        UpstreamEntry entry;
        entry.id = UpstreamId{"upstream-" + std::to_string(index)};
        entry.service = service;
        entry.slots = slots;
        entries.push_back(entry);
    }
    UpstreamStatements statements{UpstreamStatementSettings{}};
    DirectChoice direct(1, statements);
    direct.setUpstreams(entries, start);
    direct.setTrusted(true);
    PermitRequest request;
    request.service = service;
    const auto before = std::clock();
    for (auto count = 0; count < choices; ++count) {
        const auto now = start + milliseconds{count};
        const auto chosen = direct.choose(request, now)->upstream;
        direct.onSent(chosen, now);
        direct.onEnd(chosen, AttemptEnd::Answered, now);
        direct.onAnswered(service, chosen, ReportedLoad{1, 0, slots, 1.0}, milliseconds{80}, now);
    }
    const auto microseconds =
        1e6 * static_cast<double>(std::clock() - before) / CLOCKS_PER_SEC / choices;
    INFO("microseconds per choice: " << microseconds);
    CHECK(microseconds < maxMicroseconds);
}
