#include "edge/tests/grantorfleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto daemonCount = 6;
constexpr auto upstreamCount = 8;
constexpr Duration window = seconds{10};
constexpr Duration stepTime = milliseconds{50};
constexpr double ratio = 0.2;
constexpr double extra = 144;
/// Requests, and retries that are asked for, in each step; far more retries than are allowed.
constexpr auto requestsPerStep = 1;
constexpr auto retriesPerStep = 10;

enum class GrantorEnd : std::uint8_t { PlannedStop, Kill, Freeze };

/// First attempts and granted retries of one service, summed over all daemons.
class BudgetCheck
{
public:
    auto onRequest(Instant now) -> void
    {
        this->requests.push_back(now);
        this->forgetBefore(now - window);
    }

    auto onRetry(Instant now) -> void
    {
        this->retries.push_back(now);
        ++this->retryCount;
        this->forgetBefore(now - window);
        const auto allowed = ratio * static_cast<double>(this->requests.size()) + extra;
        this->worst = std::max(this->worst, static_cast<double>(this->retries.size()) / allowed);
    }

    /// @returns the most retries of a window in relation to those that it allowed; above 1 the
    /// budget is broken
    [[nodiscard]] auto worstShare() const -> double { return this->worst; }
    [[nodiscard]] auto totalRetries() const -> int { return this->retryCount; }

private:
    auto forgetBefore(Instant start) -> void
    {
        for (auto *each : {&this->requests, &this->retries}) {
            while (!each->empty() && each->front() <= start) {
                each->pop_front();
            }
        }
    }

    std::deque<Instant> requests;
    std::deque<Instant> retries;
    double worst = 0;
    int retryCount = 0;
};

/// Daemons of one service whose callers send a steady load, of which far more is to be retried than
/// the budget allows. Each daemon asks the grantor that it knows itself. What is sent to a frozen
/// daemon waits until it goes on.
struct RetryTrial
{
    struct HeldRequest
    {
        Address entry;
        PermitRequest request;
    };
    /// A daemon that is stopped, killed or frozen.
    struct Away
    {
        Address address;
        GrantorEnd end;
        Instant until;
    };

    GrantorFleet fleet{0, daemonCount};
    ServiceName service = serviceNames.front();
    std::uint64_t nextSequence = 1;
    std::mt19937_64 random;
    std::unordered_map<std::uint64_t, bool> asked;
    std::vector<PermitAnswer> grants;
    std::map<Address, std::vector<HeldRequest>> heldBy;
    std::vector<Away> away;
    BudgetCheck budget;
    bool isLoaded = true;
    int changes = 0;

    explicit RetryTrial(std::uint64_t seed = 1)
        : random(seed)
    {
        this->fleet.onAnswer = [this](const PermitMessage &message) {
            const auto *answer = std::get_if<PermitAnswer>(&message);
            if (answer != nullptr && answer->verdict.kind == PermitVerdict::Kind::Granted) {
                this->grants.push_back(*answer);
            }
        };
    }

    auto setUp() -> void
    {
        std::vector<UpstreamEntry> entries;
        for (auto number = 0; number < upstreamCount; ++number) {
            UpstreamEntry entry;
            entry.id = UpstreamId{"u" + std::to_string(number)};
            entry.service = this->service;
            entry.address = Address{entry.id.value + ":80"};
            entry.slots = 1000;
            entry.incarnation = Incarnation{100};
            entries.push_back(entry);
        }
        for (auto &daemon : this->fleet.daemons) {
            daemon->roles.setRetryAllowance(ratio, extra);
            daemon->roles.onUpstreams(entries);
        }
    }

    auto run(Duration time) -> void
    {
        for (auto passed = Duration{0}; passed < time; passed += stepTime) {
            this->bringBackDue();
            this->setUp();
            for (auto count = 0; this->isLoaded && count < requestsPerStep; ++count) {
                this->budget.onRequest(this->fleet.store.now());
                this->send(false);
            }
            for (auto count = 0; this->isLoaded && count < retriesPerStep; ++count) {
                this->send(true);
            }
            this->fleet.run(stepTime);
            this->takeGrants();
        }
    }

    auto daemonAt(const Address &address) -> FleetDaemon *
    {
        for (auto &daemon : this->fleet.daemons) {
            if (daemon->address == address) {
                return daemon.get();
            }
        }
        return nullptr;
    }

    /// Asks for a permit at a live daemon drawn at random; no retry is sent without one.
    auto send(bool isRetry) -> void
    {
        std::vector<FleetDaemon *> live;
        for (auto &daemon : this->fleet.daemons) {
            if (daemon->isAlive) {
                live.push_back(daemon.get());
            }
        }
        if (live.empty()) {
            return;
        }
        auto &entry = *live[this->random() % live.size()];
        const auto *known = entry.permits.grantorOf(this->service);
        auto *grantor = known == nullptr ? nullptr : this->daemonAt(*known);
        if (grantor == nullptr) {
            return;
        }
        PermitRequest request;
        request.id = PermitId{entry.address, 1, this->nextSequence++};
        request.service = this->service;
        request.remaining = seconds{1};
        request.untilTarget = milliseconds{400};
        request.isRetry = isRetry;
        this->asked.emplace(request.id.sequence, isRetry);
        if (grantor->isAlive) {
            grantor->roles.deliver(entry.address, request);
        } else {
            this->heldBy[grantor->address].push_back(HeldRequest{entry.address, request});
        }
    }

    auto takeGrants() -> void
    {
        for (const auto &grant : std::exchange(this->grants, {})) {
            if (const auto found = this->asked.find(grant.id.sequence);
                found != this->asked.end()) {
                if (found->second) {
                    this->budget.onRetry(this->fleet.store.now());
                }
                // A repeated verdict isn't another arrival.
                this->asked.erase(found);
            }
            PermitReport report;
            report.id = grant.id;
            report.service = this->service;
            report.upstream = grant.verdict.upstream;
            report.end = AttemptEnd::Answered;
            report.latency = milliseconds{50};
            for (auto &daemon : this->fleet.daemons) {
                if (daemon->isAlive) {
                    daemon->roles.deliver(grant.id.entry, report);
                }
            }
        }
    }

    /// @returns a live daemon that grants the service as far as it knows; nullptr where there is
    /// none
    auto grantor() -> FleetDaemon *
    {
        for (auto &daemon : this->fleet.daemons) {
            const auto *known = daemon->permits.grantorOf(this->service);
            if (daemon->isAlive && daemon->roles.servingCount() > 0 && known != nullptr
                && *known == daemon->address) {
                return daemon.get();
            }
        }
        return nullptr;
    }

    /// Runs until a daemon grants the service.
    auto awaitGrantor() -> FleetDaemon *
    {
        for (auto tries = 0; tries < 200; ++tries) {
            if (auto *found = this->grantor()) {
                return found;
            }
            this->run(stepTime);
        }
        return nullptr;
    }

    /// The daemon goes on: restarted, or from where it was frozen.
    auto bringBack(const Address &address, GrantorEnd end) -> void
    {
        auto &daemons = this->fleet.daemons;
        for (std::size_t number = 0; number < daemons.size(); ++number) {
            if (daemons[number]->address != address) {
                continue;
            }
            if (end == GrantorEnd::Freeze) {
                daemons[number]->isAlive = true;
                for (const auto &held : std::exchange(this->heldBy[address], {})) {
                    daemons[number]->roles.deliver(held.entry, held.request);
                }
            } else {
                this->heldBy.erase(address);
                this->fleet.restart(number);
            }
        }
    }

    auto bringBackDue() -> void
    {
        std::erase_if(this->away, [&](const Away &each) {
            const auto isDue = each.until <= this->fleet.store.now();
            if (isDue) {
                this->bringBack(each.address, each.end);
            }
            return isDue;
        });
    }

    auto endGrantor(GrantorEnd end, Duration awayTime) -> void
    {
        auto *former = this->awaitGrantor();
        REQUIRE(former != nullptr);
        if (end == GrantorEnd::PlannedStop) {
            former->roles.resign();
            this->run(milliseconds{500});
        }
        former->isAlive = false;
        this->away.push_back(Away{former->address, end, this->fleet.store.now() + awayTime});
        ++this->changes;
    }

    /// Ends one grantor after the other, and runs until the last change has left the window.
    /// @param servingTime time for which each grantor serves
    /// @param awayTime time after which each is back
    /// @param nextEnd draws how a grantor ends
    template<typename NextEnd>
    auto changeGrantors(int count, Duration servingTime, Duration awayTime, NextEnd nextEnd) -> void
    {
        for (auto change = 0; change < count; ++change) {
            REQUIRE(this->awaitGrantor() != nullptr);
            this->run(servingTime);
            this->endGrantor(nextEnd(), awayTime);
        }
        this->run(window);
    }
};

} // namespace

// Guards against a full allowance for each new grantor: with several changes in one window, more
// retries reach the upstreams than the budget allows.
SCENARIO("GrantorRoles: given grantors that change one after the other, retries stay within the "
         "budget",
         "[edge][retrybudget]")
{
    for (const auto end : {GrantorEnd::PlannedStop, GrantorEnd::Kill, GrantorEnd::Freeze}) {
        RetryTrial trial;
        trial.run(window + seconds{5});
        trial.changeGrantors(12, milliseconds{300}, seconds{4}, [end] { return end; });
        INFO("end " << static_cast<int>(end));
        CHECK(trial.changes == 12);
        CHECK(trial.budget.worstShare() <= 1);
    }
}

// Guards against an order of stops, kills and freezes, or times between them, that break the budget
// where each alone doesn't.
SCENARIO("GrantorRoles: given grantors that end in any order and at any time, retries stay within "
         "the budget",
         "[edge][retrybudget]")
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        RetryTrial trial(seed);
        std::mt19937_64 random(seed);
        trial.run(window);
        for (auto part = 0; part < 4; ++part) {
            const auto servingTime = milliseconds{100 + random() % 5000};
            const auto awayTime = milliseconds{500 + random() % 12000};
            trial.changeGrantors(4, servingTime, awayTime,
                                 [&] { return static_cast<GrantorEnd>(random() % 3); });
        }
        INFO("seed " << seed);
        CHECK(trial.budget.worstShare() <= 1);
    }
}

// Guards against retries that are all saved for the worst moment: each grantor finds callers that
// use its whole allowance just before it ends.
SCENARIO("GrantorRoles: given retries that come just before and just after a change, they stay "
         "within the budget",
         "[edge][retrybudget]")
{
    for (const auto end : {GrantorEnd::PlannedStop, GrantorEnd::Kill, GrantorEnd::Freeze}) {
        for (auto pause = 0; pause <= 12; pause += 3) {
            RetryTrial trial;
            trial.isLoaded = false;
            REQUIRE(trial.awaitGrantor() != nullptr);
            trial.run(2 * window);
            trial.isLoaded = true;
            trial.changeGrantors(1, seconds{1}, seconds{5}, [end] { return end; });
            trial.isLoaded = false;
            trial.run(seconds{pause});
            trial.isLoaded = true;
            trial.changeGrantors(3, seconds{1}, seconds{5}, [end] { return end; });
            INFO("end " << static_cast<int>(end) << ", pause " << pause << " s");
            CHECK(trial.budget.worstShare() <= 1);
        }
    }
}

// Guards against a system that starts for the first time and refuses the retries of its first
// seconds, when upstreams start as well.
SCENARIO("GrantorRoles: given a first grantor, it has its allowance at once", "[edge][retrybudget]")
{
    RetryTrial trial;
    trial.isLoaded = false;
    REQUIRE(trial.awaitGrantor() != nullptr);
    trial.run(milliseconds{500});
    trial.isLoaded = true;
    trial.run(seconds{1});
    const auto usable = RetryWindowSettings{}.usableShare * extra;
    CHECK(trial.budget.totalRetries() >= static_cast<int>(usable));
    CHECK(trial.budget.worstShare() <= 1);
}

// Guards against a successor that doesn't get its allowance back.
SCENARIO("GrantorRoles: given a change of the grantor, the successor has its allowance after a "
         "window",
         "[edge][retrybudget]")
{
    for (const auto end : {GrantorEnd::PlannedStop, GrantorEnd::Kill, GrantorEnd::Freeze}) {
        RetryTrial trial;
        trial.run(2 * window);
        trial.endGrantor(end, seconds{15});
        trial.run(seconds{1});
        REQUIRE(trial.awaitGrantor() != nullptr);
        trial.run(window);
        const auto before = trial.budget.totalRetries();
        // The whole allowance is used as soon as it is free again, which takes a window and a
        // slice: three windows have it twice or more.
        trial.run(3 * window);
        const auto usable = RetryWindowSettings{}.usableShare * extra;
        CHECK(trial.budget.totalRetries() - before >= static_cast<int>(2 * usable));
        CHECK(trial.budget.worstShare() <= 1);
    }
}

// Guards against an outage of the store after which the grantor, still the same, refuses retries as
// a successor would.
SCENARIO("GrantorRoles: given an outage of the store without a change, the grantor has its "
         "allowance as soon as its lease is renewed",
         "[edge][retrybudget]")
{
    RetryTrial trial;
    trial.isLoaded = false;
    REQUIRE(trial.awaitGrantor() != nullptr);
    trial.run(2 * window);
    const auto *former = trial.awaitGrantor();
    trial.fleet.store.areLeasesPaused = true;
    trial.fleet.store.mode = FakeStore::Mode::Refusing;
    trial.run(2 * window);
    // The outage ends, and the store counts leases again after their renewals.
    trial.fleet.store.mode = FakeStore::Mode::Normal;
    trial.run(seconds{1});
    trial.fleet.store.areLeasesPaused = false;
    trial.run(seconds{1});
    REQUIRE(trial.awaitGrantor() == former);
    trial.isLoaded = true;
    trial.run(seconds{1});
    const auto usable = RetryWindowSettings{}.usableShare * extra;
    CHECK(trial.budget.totalRetries() >= static_cast<int>(usable));
    CHECK(trial.budget.worstShare() <= 1);
}

// Guards against daemons that all start again and take the new grantor for the first one.
SCENARIO("GrantorRoles: given all daemons that are killed at once, again and again, retries stay "
         "within the budget",
         "[edge][retrybudget]")
{
    RetryTrial trial;
    trial.run(window);
    for (auto kill = 0; kill < 6; ++kill) {
        for (std::size_t number = 0; number < daemonCount; ++number) {
            trial.fleet.restart(number);
        }
        REQUIRE(trial.awaitGrantor() != nullptr);
        trial.run(milliseconds{300});
    }
    trial.run(window);
    CHECK(trial.budget.worstShare() <= 1);
}

// Guards against a restored store after which the grantor has a full allowance once more.
SCENARIO("GrantorRoles: given a store that is restored and grantors that are killed, retries stay "
         "within the budget",
         "[edge][retrybudget]")
{
    RetryTrial trial;
    // The copy has no list of daemons and no grantor.
    trial.fleet.store.keepCopy();
    trial.run(window + seconds{5});
    for (auto restoration = 0; restoration < 6; ++restoration) {
        trial.fleet.store.restoreCopy();
        if (restoration % 2 == 1) {
            trial.endGrantor(GrantorEnd::Kill, seconds{4});
        }
        trial.run(seconds{1});
        REQUIRE(trial.awaitGrantor() != nullptr);
        trial.run(seconds{1});
    }
    trial.run(window);
    CHECK(trial.budget.worstShare() <= 1);
}
