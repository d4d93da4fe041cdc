#include "dispatch/slotbroker.h"
#include "entry/directchoice.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <random>
#include <vector>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t daemonCount = 144;
const ServiceName service{"fitment"};
const UpstreamId cold{"u0"};
const Instant start{seconds{100}};
/// An upstream answers after this time.
constexpr Duration work = milliseconds{40};
/// A request reaches the upstream at most this long after its permit was granted.
constexpr int maxTransitMs = 30;
/// The warm-up lasts for the whole test.
constexpr Duration warmUp = seconds{600};

/// Whom a daemon asks for permits.
enum class Asks : std::uint8_t { Grantor, FormerGrantor, Nobody };

/// All daemons of a fleet, its grantors, and one cold upstream that owns all keys.
class ColdFleet
{
public:
    ColdFleet(double warmUpPerSecond, std::uint64_t seed)
        : rate(warmUpPerSecond)
        , random(seed)
    {
        ServiceSpec spec;
        spec.name = service;
        spec.warmUpPerSecond = warmUpPerSecond;
        for (std::size_t index = 0; index < daemonCount; ++index) {
            auto &daemon = this->daemons.emplace_back(seed * daemonCount + index, this->statements);
            daemon.setServices({spec});
            daemon.setUpstreams({this->entry()}, start);
            daemon.setOwners(service, {DirectOwner{KeyRange{0, 65535}, cold, Address{}}});
            daemon.setTrusted(true);
        }
        this->asks.resize(daemonCount, Asks::Grantor);
        this->electGrantor();
    }

    /// Tells all daemons how many there are.
    auto tellDaemonCount() -> void
    {
        for (auto &daemon : this->daemons) {
            daemon.onDaemonCount(daemonCount, this->now);
        }
    }
    /// Elects another grantor; the one before loses its authority.
    auto electGrantor() -> void
    {
        this->former = std::move(this->grantor);
        if (this->former) {
            this->former->setWarmUpRate(shareWithoutAuthority * this->rate, this->now);
        }
        this->grantor = std::make_unique<SlotBroker>(service, true, SlotBrokerSettings{},
                                                     RetryWindowSettings{}, 1);
        this->grantor->setWarmUpRate(this->rate, this->now);
        this->grantor->setUpstreams({this->entry()}, this->now);
        OwnedRange owned;
        owned.keys = KeyRange{0, 65535};
        owned.owner = cold;
        this->grantor->setOwners({owned}, this->now);
    }
    /// Lets a share of the daemons ask somebody else from now on.
    auto setAsks(double share, Asks whom) -> void
    {
        std::bernoulli_distribution isAffected(share);
        for (auto &each : this->asks) {
            each = isAffected(this->random) ? whom : each;
        }
    }
    /// Lets requests for keys of the upstream arrive at all daemons.
    auto run(double perSecond, Duration time) -> void
    {
        std::exponential_distribution<double> gap(perSecond);
        for (const auto end = this->now + time; this->now < end;) {
            const auto next =
                this->now + Duration{static_cast<Duration::rep>(1e6 * gap(this->random))};
            for (; this->nextTick <= next; this->nextTick += tick) {
                this->now = this->nextTick;
                this->advance();
            }
            this->now = next;
            this->arrive(this->random() % daemonCount);
        }
    }

    /// @returns the most requests that have arrived at the upstream in any one second
    [[nodiscard]] auto mostInSecond() const -> double
    {
        auto sorted = this->arrivals;
        std::sort(sorted.begin(), sorted.end());
        std::size_t most = 0;
        std::deque<Instant> window;
        for (const auto &at : sorted) {
            window.push_back(at);
            while (window.front() <= at - seconds{1}) {
                window.pop_front();
            }
            most = std::max(most, window.size());
        }
        return static_cast<double>(most);
    }
    [[nodiscard]] auto arrivalCount() const -> std::size_t { return this->arrivals.size(); }
    /// @returns what the upstream takes in any one second
    [[nodiscard]] auto bound() const -> double { return 1.5 * this->rate + 8; }

private:
    static constexpr Duration tick = milliseconds{20};
    /// As in GrantorRole.
    static constexpr double shareWithoutAuthority = 0.1;

    struct Attempt
    {
        Instant endsAt;
        PermitReport report;
        SlotBroker *broker;
    };

    static auto entry() -> UpstreamEntry
    {
        UpstreamEntry result;
        result.id = cold;
        result.service = service;
        result.slots = 3;
        result.remainingWarmUp = warmUp;
        result.warmUpRevision = 1;
        return result;
    }

    auto arrive(std::size_t index) -> void
    {
        PermitRequest request;
        request.id = PermitId{Address{"d" + std::to_string(index)}, 1, ++this->sequence};
        request.service = service;
        request.key = static_cast<KeyPosition>(this->random() % 65536);
        request.remaining = milliseconds{800};
        request.untilTarget = milliseconds{300};
        auto &daemon = this->daemons[index];
        if (this->asks[index] == Asks::Nobody) {
            if (daemon.choose(request, this->now)) {
                daemon.onSent(cold, this->now);
                daemon.onEnd(cold, AttemptEnd::Answered, this->now);
                this->arrivals.push_back(this->now + this->transit());
            }
            return;
        }
        auto *broker = this->asks[index] == Asks::FormerGrantor && this->former
                           ? this->former.get()
                           : this->grantor.get();
        broker->ask(request, this->now);
        this->takeVerdicts(*broker);
    }

    auto advance() -> void
    {
        while (!this->attempts.empty() && this->attempts.front().endsAt <= this->now) {
            const auto attempt = this->attempts.front();
            this->attempts.pop_front();
            if (attempt.broker == this->grantor.get() || attempt.broker == this->former.get()) {
                attempt.broker->report(attempt.report, this->now);
            }
        }
        for (auto *broker : {this->grantor.get(), this->former.get()}) {
            if (broker != nullptr) {
                broker->advance(this->now);
                this->takeVerdicts(*broker);
            }
        }
    }

    auto takeVerdicts(SlotBroker &broker) -> void
    {
        for (const auto &issued : broker.takeVerdicts()) {
            if (issued.verdict.kind != PermitVerdict::Kind::Granted) {
                continue;
            }
            this->arrivals.push_back(this->now + this->transit());
            PermitReport report;
            report.id = issued.id;
            report.service = service;
            report.upstream = cold;
            report.end = AttemptEnd::Answered;
            report.latency = work;
            this->attempts.push_back(Attempt{this->now + work, report, &broker});
        }
    }

    auto transit() -> Duration
    {
        return milliseconds{static_cast<int>(this->random() % maxTransitMs)};
    }

    double rate;
    std::mt19937_64 random;
    UpstreamStatements statements{UpstreamStatementSettings{}};
    std::deque<DirectChoice> daemons;
    std::vector<Asks> asks;
    std::unique_ptr<SlotBroker> grantor;
    std::unique_ptr<SlotBroker> former;
    std::deque<Attempt> attempts;
    std::vector<Instant> arrivals;
    std::uint64_t sequence = 0;
    Instant now = start;
    Instant nextTick = start;
};

/// Far more than what a cold upstream takes, so that each share is used.
constexpr double load = 400;

} // namespace

// Guards against a cold upstream that crashes, as the daemons together send more than it takes.
SCENARIO(
    "Cold upstream: given far more requests than it takes, all daemons together keep its bound "
    "in each second",
    "[entry][cold]")
{
    const auto rate = GENERATE(0.5, 5.4, 20.0, 60.0);
    const auto seed = GENERATE(1U, 2U, 3U, 4U);
    INFO("rate " << rate << ", seed " << seed);
    ColdFleet fleet(rate, seed);
    GIVEN("one grantor that all daemons ask")
    {
        fleet.run(load, seconds{20});
        CHECK(fleet.mostInSecond() <= fleet.bound());
        THEN("most of what the upstream takes is used")
        {
            CHECK(static_cast<double>(fleet.arrivalCount()) >= 0.85 * rate * 20);
        }
    }
    GIVEN("no grantor, and daemons that know how many they are")
    {
        fleet.tellDaemonCount();
        fleet.setAsks(1, Asks::Nobody);
        fleet.run(load, seconds{100});
        CHECK(fleet.mostInSecond() <= fleet.bound());
        THEN("some requests are served")
        {
            CHECK(static_cast<double>(fleet.arrivalCount())
                  >= 0.25 * ColdShares::sharedRate(rate) * 100);
        }
    }
    GIVEN("no grantor, and daemons that have never heard of one")
    {
        fleet.setAsks(1, Asks::Nobody);
        fleet.run(load, seconds{100});
        CHECK(fleet.mostInSecond() <= fleet.bound());
    }
    GIVEN("a grantor, and daemons that send without it at the same time")
    {
        const auto share = GENERATE(0.2, 0.9);
        fleet.tellDaemonCount();
        fleet.setAsks(share, Asks::Nobody);
        fleet.run(load, seconds{100});
        CHECK(fleet.mostInSecond() <= fleet.bound());
    }
    GIVEN("changes of grantor, after which a part of the daemons still asks the former one, and "
          "others send without any")
    {
        fleet.tellDaemonCount();
        for (auto change = 0; change < 30; ++change) {
            fleet.setAsks(1, Asks::Grantor);
            fleet.run(load, milliseconds{700});
            fleet.electGrantor();
            fleet.setAsks(0.5, Asks::FormerGrantor);
            fleet.setAsks(0.5, Asks::Nobody);
            fleet.run(load, milliseconds{1500});
        }
        CHECK(fleet.mostInSecond() <= fleet.bound());
    }
}
