#include "entry/tests/requestflowfixture.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t upstreamCount = 4;
constexpr Duration drainTime = seconds{2};
/// Requests may still arrive for this time after a rejection that names a pause.
constexpr Duration pauseSlack = milliseconds{500};

struct PauseWindow
{
    Instant answeredAt;
    Instant end;
    int arrivals = 0;
};

/// One process of an upstream, which counts what reaches it.
struct UpstreamProcess
{
    Incarnation incarnation;
    bool isAlive = true;
    bool isLeaving = false;
    bool isOverloaded = false;
    /// When the daemon first read that it leaves.
    std::optional<Instant> leavingReadAt{};
    std::vector<PauseWindow> pauses{};
    int arrivals = 0;
};

/// An entry daemon's RequestFlow among upstreams, a grantor and a store that do everything in
/// random order: the grantor names upstreams without regard to what they state, falls silent and
/// comes back; the store names all upstreams ready, also those of earlier incarnations.
class RandomWorld
{
public:
    explicit RandomWorld(std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t index = 0; index < upstreamCount; ++index) {
            this->processes[index].push_back(UpstreamProcess{Incarnation{1000}});
        }
        this->publish();
    }

    auto run(Duration time) -> void
    {
        for (const auto end = this->fixture.now + time; this->fixture.now < end;) {
            this->changeSomething();
            if (this->chance(0.4)) {
                this->sendRequest();
            }
            this->fixture.advance(milliseconds{5});
            this->handleOutput();
            while (!this->events.empty() && this->events.begin()->first <= this->fixture.now) {
                const auto event = std::move(this->events.begin()->second);
                this->events.erase(this->events.begin());
                event();
                this->handleOutput();
            }
        }
    }

    int drainsBroken = 0;
    int pausesBroken = 0;
    int arrivals = 0;
    int arrivalsAtLaterProcesses = 0;
    int leavings = 0;
    int pauses = 0;
    int pausedArrivals = 0;

private:
    auto chance(double probability) -> bool
    {
        return std::bernoulli_distribution(probability)(this->random);
    }
    auto below(int limit) -> int
    {
        return std::uniform_int_distribution<int>(0, limit - 1)(this->random);
    }
    auto upTo(int limitMs) -> Duration { return milliseconds{this->below(limitMs + 1)}; }
    auto after(Duration delay, std::function<void()> event) -> void
    {
        this->events.emplace(this->fixture.now + delay, std::move(event));
    }
    static auto idOf(std::size_t index) -> UpstreamId
    {
        return UpstreamId{"u" + std::to_string(index)};
    }
    static auto addressOf(std::size_t index, std::size_t life) -> Address
    {
        return Address{"10." + std::to_string(index) + ".0." + std::to_string(life) + ":80"};
    }
    static auto ownerOf(KeyPosition key) -> std::size_t { return key % upstreamCount; }

    auto changeSomething() -> void
    {
        const auto index = static_cast<std::size_t>(this->below(upstreamCount));
        auto &process = this->processes[index].back();
        if (this->chance(0.003)) {
            process.isLeaving = true;
        }
        if (this->chance(0.01)) {
            process.isOverloaded = !process.isOverloaded;
        }
        if (this->chance(process.isLeaving ? 0.003 : 0.0005)) {
            process.isAlive = false;
            const Incarnation next{process.incarnation.value + 1000};
            this->processes[index].push_back(UpstreamProcess{next});
        }
        if (this->chance(0.005)) {
            this->isGrantorSilent = !this->isGrantorSilent;
        }
        if (this->chance(0.003)) {
            this->fixture.permits.setGrantor(service, grantor, ++this->term);
        }
        if (this->chance(0.02)) {
            this->publish();
        }
        if (this->chance(0.005)) {
            this->fixture.direct.setTrusted(this->chance(0.7));
        }
    }

    /// Publishes the store's entries, some of them from an older copy.
    auto publish() -> void
    {
        std::vector<UpstreamEntry> entries;
        std::vector<DirectOwner> owners;
        for (std::size_t index = 0; index < upstreamCount; ++index) {
            const auto life = this->namedLife(index);
            UpstreamEntry entry;
            entry.id = idOf(index);
            entry.service = service;
            entry.address = addressOf(index, life);
            entry.incarnation = this->processes[index][life].incarnation;
            entries.push_back(entry);
        }
        for (KeyPosition key = 0; key < 2 * upstreamCount; ++key) {
            const auto &entry = entries[ownerOf(key)];
            owners.push_back(DirectOwner{KeyRange{key, key}, entry.id, entry.address,
                                         this->chance(0.5) ? entry.incarnation : Incarnation{}});
        }
        this->fixture.direct.setUpstreams(entries, this->fixture.now);
        this->fixture.direct.setOwners(service, owners);
    }

    /// @returns the process that a permit or the store names, rarely an earlier one
    auto namedLife(std::size_t index) -> std::size_t
    {
        const auto last = this->processes[index].size() - 1;
        return last > 0 && this->chance(0.1) ? last - 1 : last;
    }

    auto sendRequest() -> void
    {
        const ExchangeId exchange{++this->lastExchange};
        std::optional<KeyPosition> key;
        if (this->chance(0.5)) {
            key = static_cast<KeyPosition>(this->below(2 * upstreamCount));
        }
        this->beganAt[exchange] = this->fixture.now;
        this->fixture.begin(exchange, key, this->chance(0.5), 1 + this->below(3));
        if (this->chance(0.05)) {
            this->after(this->upTo(300), [this, exchange] {
                this->fixture.flow.onCallerGone(exchange, this->fixture.now);
                this->fixture.processPending();
            });
        }
    }

    auto handleOutput() -> void
    {
        for (const auto &datagram : std::exchange(this->fixture.sent, {})) {
            const auto *request = std::get_if<PermitRequest>(&datagram.message);
            if (request != nullptr && !this->isGrantorSilent && !this->chance(0.05)) {
                this->after(this->upTo(this->chance(0.1) ? 400 : 10),
                            [this, asked = *request] { this->answerPermit(asked); });
            }
        }
        for (const auto &command : std::exchange(this->fixture.commands, {})) {
            if (const auto *send = std::get_if<FlowSend>(&command)) {
                this->transmit(*send);
            } else if (const auto *abort = std::get_if<FlowAbort>(&command)) {
                ++this->attempts[abort->exchange];
            }
        }
    }

    auto answerPermit(const PermitRequest &request) -> void
    {
        PermitVerdict verdict;
        const auto draw = this->below(10);
        if (draw == 0) {
            verdict.kind = PermitVerdict::Kind::Queued;
        } else if (draw == 1) {
            verdict.kind = PermitVerdict::Kind::Refused;
            verdict.reason = Reason::QueueFull;
        } else {
            const auto index = request.key ? ownerOf(*request.key)
                                           : static_cast<std::size_t>(this->below(upstreamCount));
            const auto life = this->namedLife(index);
            verdict.kind = PermitVerdict::Kind::Granted;
            verdict.upstream = idOf(index);
            verdict.address = addressOf(index, life);
            if (!this->chance(this->unknownShare)) {
                verdict.incarnation = this->processes[index][life].incarnation;
            }
            if (request.key) {
                verdict.ownedRange = KeyRange{*request.key, *request.key};
            }
        }
        this->fixture.permits.onAnswer(grantor, PermitAnswer{request.id, verdict},
                                       this->fixture.now);
        this->fixture.processPending();
    }

    auto transmit(const FlowSend &send) -> void
    {
        const auto attempt = ++this->attempts[send.exchange];
        for (std::size_t index = 0; index < upstreamCount; ++index) {
            for (std::size_t life = 0; life < this->processes[index].size(); ++life) {
                if (addressOf(index, life) == send.address) {
                    this->after(this->upTo(150), [=, this, exchange = send.exchange] {
                        this->arrive(exchange, attempt, index, life);
                    });
                }
            }
        }
    }

    auto arrive(ExchangeId exchange, int attempt, std::size_t index, std::size_t life) -> void
    {
        const auto now = this->fixture.now;
        auto &process = this->processes[index][life];
        FlowAttemptEnd end;
        end.exchange = exchange;
        if (!process.isAlive) {
            end.end = this->chance(0.5) ? AttemptEnd::NotSent : AttemptEnd::NoAnswer;
            this->after(Duration{0}, [=, this] { this->deliver(end, attempt, index, life); });
            return;
        }
        ++process.arrivals;
        ++this->arrivals;
        this->arrivalsAtLaterProcesses += life > 0 ? 1 : 0;
        if (process.leavingReadAt && this->beganAt[exchange] > *process.leavingReadAt + drainTime) {
            ++this->drainsBroken;
        }
        for (auto &pause : process.pauses) {
            if (now > pause.answeredAt + pauseSlack && now < pause.end) {
                ++this->pausedArrivals;
                this->pausesBroken += ++pause.arrivals > 2 ? 1 : 0;
            }
        }
        if (this->chance(0.05)) {
            return;
        }
        this->after(this->upTo(this->chance(0.2) ? 700 : 60),
                    [=, this] { this->answer(exchange, attempt, index, life); });
    }

    auto answer(ExchangeId exchange, int attempt, std::size_t index, std::size_t life) -> void
    {
        auto &process = this->processes[index][life];
        FlowAttemptEnd end;
        end.exchange = exchange;
        if (!process.isAlive) {
            end.end = AttemptEnd::NoAnswer;
        } else {
            end.end = this->chance(0.05) ? AttemptEnd::Failed : AttemptEnd::Answered;
            // Some answers were written before the upstream knew that it leaves.
            end.isLeaving = process.isLeaving && this->chance(0.9);
            if (process.isOverloaded && this->chance(0.5)) {
                end.end = AttemptEnd::NotRun;
                end.pause = milliseconds{1 + this->below(3000)};
            }
        }
        this->after(this->upTo(100), [this, end, attempt, index, life, at = this->fixture.now] {
            this->deliver(end, attempt, index, life, at);
        });
    }

    auto deliver(const FlowAttemptEnd &end, int attempt, std::size_t index, std::size_t life,
                 Instant answeredAt = {}) -> void
    {
        if (this->attempts[end.exchange] != attempt) {
            return;
        }
        ++this->attempts[end.exchange];
        auto &process = this->processes[index][life];
        if (end.isLeaving && !process.leavingReadAt) {
            process.leavingReadAt = this->fixture.now;
            ++this->leavings;
        }
        if (end.pause) {
            process.pauses.push_back(PauseWindow{answeredAt, answeredAt + *end.pause});
            ++this->pauses;
        }
        this->fixture.end(end);
    }

public:
    /// Share of the permits that name no incarnation.
    double unknownShare = 0;

private:
    RequestFlowFixture fixture;
    std::mt19937_64 random;
    std::multimap<Instant, std::function<void()>> events;
    std::map<std::size_t, std::vector<UpstreamProcess>> processes;
    std::map<ExchangeId, Instant> beganAt;
    /// Number of the attempt under way; an end of another one isn't delivered.
    std::map<ExchangeId, int> attempts;
    std::uint64_t lastExchange = 0;
    std::uint64_t term = 1;
    bool isGrantorSilent = false;
};

} // namespace

// Guards against requests that reach an upstream after it has stated that it leaves, or in its
// pause, on any way that an entry daemon sends them.
SCENARIO("RequestFlow: given answers, permits, losses and new processes in random order, what "
         "upstreams state is kept",
         "[entry][statements]")
{
    const auto unknownShare = GENERATE(0.0, 0.02);
    RandomWorld total(0);
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        CAPTURE(seed, unknownShare);
        RandomWorld world(seed);
        world.unknownShare = unknownShare;
        world.run(seconds{30});
        CHECK(world.drainsBroken == 0);
        CHECK(world.pausesBroken == 0);
        total.arrivals += world.arrivals;
        total.arrivalsAtLaterProcesses += world.arrivalsAtLaterProcesses;
        total.leavings += world.leavings;
        total.pauses += world.pauses;
        total.pausedArrivals += world.pausedArrivals;
    }
    CAPTURE(total.pausedArrivals);
    THEN("requests are still sent, to later processes, too")
    {
        CHECK(total.leavings > 200);
        CHECK(total.pauses > 1000);
        CHECK(total.arrivals > 20'000);
        CHECK(total.arrivalsAtLaterProcesses > 5'000);
    }
}
