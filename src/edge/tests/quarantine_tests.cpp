#include "edge/tests/grantorfleet.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <random>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr auto daemonCount = 5;
constexpr auto upstreamCount = 8;
/// A crashed upstream is back after this time, as another process.
constexpr Duration restartTime = seconds{3};
/// The time after the third crash from which runs count, and how many may follow.
constexpr Duration contactTime = seconds{3};
constexpr auto allowedLateRuns = 3;
constexpr std::uint64_t crashingPrint = 77;

enum class GrantorEnd : std::uint8_t { PlannedStop, Kill, Freeze };

/// Daemons of one service, and upstreams that a request crashes which comes again each second, at
/// any daemon. While the daemon hears no grantor, it sends the request without a permit.
struct CrashTrial
{
    GrantorFleet fleet{0, daemonCount};
    ServiceName service = serviceNames.front();
    std::map<int, Instant> lostUntil;
    std::uint64_t nextSequence = 1;
    std::uint64_t nextIncarnation = 100;
    std::map<int, Incarnation> incarnations;
    std::mt19937_64 random{3};
    std::optional<PermitAnswer> answer;
    std::optional<Instant> thirdCrashAt;
    int crashes = 0;
    int lateRuns = 0;

    CrashTrial()
    {
        this->fleet.onAnswer = [this](const PermitMessage &message) {
            const auto *answer = std::get_if<PermitAnswer>(&message);
            if (answer != nullptr && answer->verdict.kind != PermitVerdict::Kind::Queued) {
                this->answer = *answer;
            }
        };
        for (auto number = 0; number < upstreamCount; ++number) {
            this->incarnations[number] = Incarnation{this->nextIncarnation++};
        }
        this->run(seconds{5});
    }

    static auto upstreamId(int number) -> UpstreamId
    {
        return UpstreamId{"u" + std::to_string(number)};
    }

    auto publish() -> void
    {
        std::vector<UpstreamEntry> entries;
        for (const auto &[number, incarnation] : this->incarnations) {
            if (!this->lostUntil.contains(number)) {
                UpstreamEntry entry;
                entry.id = upstreamId(number);
                entry.service = this->service;
                entry.address = Address{entry.id.value + ":80"};
                entry.slots = 3;
                entry.incarnation = incarnation;
                entries.push_back(entry);
            }
        }
        for (auto &daemon : this->fleet.daemons) {
            if (daemon->isAlive) {
                daemon->roles.onUpstreams(entries);
            }
        }
    }

    auto run(Duration time) -> void
    {
        for (auto passed = Duration{0}; passed < time; passed += milliseconds{100}) {
            std::erase_if(this->lostUntil, [&](const auto &row) {
                const auto isBack = row.second <= this->fleet.store.now();
                if (isBack) {
                    this->incarnations[row.first] = Incarnation{this->nextIncarnation++};
                }
                return isBack;
            });
            this->publish();
            this->fleet.run(milliseconds{100});
        }
    }

    auto crash(const UpstreamId &upstream) -> void
    {
        for (const auto &[number, incarnation] : this->incarnations) {
            if (upstreamId(number) == upstream) {
                this->lostUntil[number] = this->fleet.store.now() + restartTime;
            }
        }
    }

    /// @returns the daemon that grants the service; nullptr where there is none
    auto grantor() -> FleetDaemon *
    {
        for (auto &daemon : this->fleet.daemons) {
            const auto *known = daemon->permits.grantorOf(this->service);
            if (daemon->isAlive && known != nullptr && *known == daemon->address) {
                return daemon.get();
            }
        }
        return nullptr;
    }

    auto request(const Address &entry, std::uint64_t fingerprint) -> PermitRequest
    {
        PermitRequest result;
        result.id = PermitId{entry, 1, this->nextSequence++};
        result.service = this->service;
        result.remaining = seconds{1};
        result.untilTarget = milliseconds{400};
        result.fingerprint = fingerprint;
        return result;
    }

    /// Sends a request at a daemon drawn at random.
    /// @returns the upstream that runs it; empty where it is refused
    auto send(std::uint64_t fingerprint, AttemptEnd end) -> std::optional<UpstreamId>
    {
        std::vector<FleetDaemon *> live;
        for (auto &daemon : this->fleet.daemons) {
            if (daemon->isAlive) {
                live.push_back(daemon.get());
            }
        }
        auto &entry = *live[this->random() % live.size()];
        const auto request = this->request(entry.address, fingerprint);
        auto *grantor = this->grantor();
        this->answer.reset();
        if (grantor != nullptr) {
            grantor->roles.deliver(entry.address, request);
            this->run(milliseconds{100});
        }
        const auto kind =
            this->answer ? this->answer->verdict.kind : PermitVerdict::Kind::NotGrantor;
        if (kind == PermitVerdict::Kind::Refused) {
            return std::nullopt;
        }
        if (kind == PermitVerdict::Kind::NotGrantor) {
            return entry.roles.isQuarantined(request) ? std::nullopt : std::optional(upstreamId(0));
        }
        const auto upstream = this->answer->verdict.upstream;
        PermitReport report;
        report.id = request.id;
        report.service = this->service;
        report.upstream = upstream;
        report.end = end;
        report.latency = milliseconds{50};
        grantor->roles.deliver(entry.address, report);
        return upstream;
    }

    auto sendCrashing() -> void
    {
        const auto upstream = this->send(crashingPrint, AttemptEnd::NoAnswer);
        if (!upstream) {
            return;
        }
        this->crash(*upstream);
        ++this->crashes;
        const auto moment = this->fleet.store.now();
        if (this->crashes == 3) {
            this->thirdCrashAt = moment;
        }
        this->lateRuns += this->thirdCrashAt && moment > *this->thirdCrashAt + contactTime ? 1 : 0;
    }

    auto sendEachSecond(int count) -> void
    {
        for (auto sent = 0; sent < count; ++sent) {
            this->sendCrashing();
            this->run(milliseconds{900});
        }
    }

    /// Ends the grantor, and starts it again 4 s later.
    auto endGrantor(GrantorEnd end) -> void
    {
        auto *former = this->grantor();
        REQUIRE(former != nullptr);
        const auto found = std::find_if(this->fleet.daemons.begin(), this->fleet.daemons.end(),
                                        [&](const auto &each) { return each.get() == former; });
        if (end == GrantorEnd::PlannedStop) {
            former->roles.resign();
            this->sendEachSecond(2);
        }
        former->isAlive = false;
        this->sendEachSecond(4);
        if (end == GrantorEnd::Freeze) {
            former->isAlive = true;
        } else {
            this->fleet.restart(static_cast<std::size_t>(found - this->fleet.daemons.begin()));
        }
        this->sendEachSecond(4);
    }
};

} // namespace

// Guards against a request that crashes upstreams and is let through again by each new grantor.
SCENARIO("GrantorRoles: given grantors that change one after the other, a request that has crashed "
         "three upstreams stays quarantined",
         "[edge][quarantine]")
{
    for (const auto end : {GrantorEnd::PlannedStop, GrantorEnd::Kill, GrantorEnd::Freeze}) {
        CrashTrial trial;
        trial.sendEachSecond(10);
        REQUIRE(trial.thirdCrashAt);
        // More changes than there are daemons, so that none has its memory from before.
        for (auto change = 0; change < 2 * daemonCount; ++change) {
            trial.endGrantor(end);
        }
        INFO("end " << static_cast<int>(end) << ", crashes " << trial.crashes);
        CHECK(trial.lateRuns <= allowedLateRuns);
    }
}

// Guards against crashes that are counted anew by each grantor, so that none counts three.
SCENARIO("GrantorRoles: given a grantor that is lost before the third crash, its successor counts "
         "on",
         "[edge][quarantine]")
{
    for (const auto end : {GrantorEnd::PlannedStop, GrantorEnd::Kill}) {
        CrashTrial trial;
        trial.sendEachSecond(2);
        REQUIRE(trial.crashes == 2);
        trial.run(seconds{2});
        auto *former = trial.grantor();
        REQUIRE(former != nullptr);
        if (end == GrantorEnd::PlannedStop) {
            former->roles.resign();
            trial.run(seconds{2});
        }
        former->isAlive = false;
        trial.run(seconds{5});
        trial.sendEachSecond(10);
        CHECK(trial.crashes == 3);
    }
}

// Guards against ordinary requests that are refused because they were running when upstreams were
// killed in waves: what one grantor has cleared mustn't count for the next.
SCENARIO(
    "GrantorRoles: given upstreams that are killed in waves and grantors that change, ordinary "
    "requests aren't quarantined",
    "[edge][quarantine]")
{
    CrashTrial trial;
    constexpr std::uint64_t firstPrint = 1000;
    constexpr std::uint64_t endPrint = 1012;
    for (auto wave = 0; wave < 9; ++wave) {
        for (auto print = firstPrint; print < endPrint; ++print) {
            const auto upstream = trial.send(print, AttemptEnd::NoAnswer);
            if (print % 4 == 0 && upstream) {
                trial.crash(*upstream);
            }
        }
        trial.run(milliseconds{500});
        // Callers send again until they are answered.
        for (auto print = firstPrint; print < endPrint; ++print) {
            auto tries = 0;
            while (!trial.send(print, AttemptEnd::Answered) && ++tries < 20) {
                trial.run(milliseconds{300});
            }
            CHECK(tries < 20);
        }
        if (wave % 3 == 2) {
            trial.endGrantor(wave % 2 == 0 ? GrantorEnd::Kill : GrantorEnd::PlannedStop);
        }
    }
    for (auto print = firstPrint; print < endPrint; ++print) {
        for (auto &daemon : trial.fleet.daemons) {
            CHECK_FALSE(daemon->roles.isQuarantined(trial.request(Address{}, print)));
        }
    }
}
