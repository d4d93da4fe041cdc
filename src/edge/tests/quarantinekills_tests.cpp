#include "edge/tests/grantorfleet.h"

#include "common/durations.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t daemonCount = 3;
constexpr auto upstreamCount = 8;
constexpr auto step = milliseconds{10};
/// The store drops the entry of a crashed upstream after this time, as it renews it no more.
constexpr Duration entryLifetime = milliseconds{2200};
/// A crashed upstream is back after this time, with another id.
constexpr Duration upstreamRestartTime = seconds{3};
/// A killed daemon runs again after this time, and is sent requests after `readyTime` more.
constexpr Duration daemonRestartTime = milliseconds{300};
constexpr Duration readyTime = seconds{1};
/// A daemon waits this long for its grantor's verdict before it sends a request without a permit.
constexpr Duration verdictTimeout = milliseconds{100};
/// Runs count that are later than this after the third crash, from daemons that have run for as
/// long; so many may follow.
constexpr Duration contactTime = seconds{3};
constexpr auto allowedLateRuns = 3;
constexpr std::uint64_t crashingPrint = 77;

/// A process of an upstream.
struct UpstreamLife
{
    UpstreamId id;
    Incarnation incarnation;
    std::optional<Instant> crashedAt;
};

/// Daemons of one service that are killed and started again, and a request that crashes each
/// upstream that runs it and comes again each second, at each daemon in turn.
struct KillTrial
{
    GrantorFleet fleet{0, static_cast<int>(daemonCount)};
    ServiceName service = serviceNames.front();
    std::mt19937_64 random;
    std::vector<UpstreamLife> upstreams;
    std::vector<Instant> startedAt = std::vector<Instant>(daemonCount);
    std::map<std::size_t, Instant> restartDue;
    std::uint64_t nextSequence = 1;
    std::uint64_t nextLife = 1;
    std::size_t lastEntry = 0;
    Instant crashingDue{};
    Instant ordinaryDue{};
    std::optional<PermitAnswer> answer;
    std::optional<Instant> thirdCrashAt;
    int crashes = 0;
    int lateRuns = 0;
    int ordinarySent = 0;
    int ordinaryServed = 0;
    std::vector<std::string> lateTexts;
    /// Called after each crash of a request with a permit, with the daemon that sent it.
    std::function<void(std::size_t entry)> onCrash = [](std::size_t) {};
    /// Another request whose next run ends with the loss of its upstream, which it doesn't cause.
    std::uint64_t unluckyPrint = 0;

    explicit KillTrial(std::uint64_t seed)
        : random(seed)
    {
        this->fleet.onAnswer = [this](const PermitMessage &message) {
            const auto *verdict = std::get_if<PermitAnswer>(&message);
            if (verdict != nullptr && verdict->verdict.kind != PermitVerdict::Kind::Queued) {
                this->answer = *verdict;
            }
        };
        for (auto number = 0; number < upstreamCount; ++number) {
            this->upstreams.push_back(this->newUpstream());
        }
        this->crashingDue = this->now() + seconds{5};
        this->ordinaryDue = this->now() + seconds{3};
        this->run(seconds{5});
    }

    [[nodiscard]] auto now() const -> Instant { return this->fleet.store.now(); }

    auto newUpstream() -> UpstreamLife
    {
        const auto life = this->nextLife++;
        return UpstreamLife{UpstreamId{"u" + std::to_string(life)}, Incarnation{life}, {}};
    }

    auto publish() -> void
    {
        std::vector<UpstreamEntry> entries;
        for (const auto &upstream : this->upstreams) {
            const auto isListed =
                !upstream.crashedAt || this->now() < *upstream.crashedAt + entryLifetime;
            if (isListed) {
                UpstreamEntry entry;
                entry.id = upstream.id;
                entry.service = this->service;
                entry.address = Address{upstream.id.value + ":80"};
                entry.slots = 3;
                entry.incarnation = upstream.incarnation;
                entries.push_back(entry);
            }
        }
        for (auto &daemon : this->fleet.daemons) {
            if (daemon->isAlive) {
                daemon->roles.onUpstreams(entries);
            }
        }
    }

    auto advance() -> void
    {
        for (auto &upstream : this->upstreams) {
            if (upstream.crashedAt && this->now() >= *upstream.crashedAt + upstreamRestartTime) {
                upstream = this->newUpstream();
            }
        }
        std::erase_if(this->restartDue, [&](const auto &row) {
            const auto isDue = this->now() >= row.second;
            if (isDue) {
                this->fleet.restart(row.first);
                this->startedAt.at(row.first) = this->now();
            }
            return isDue;
        });
        this->publish();
        this->fleet.run(step);
    }

    auto run(Duration time) -> void
    {
        const auto end = this->now() + time;
        while (this->now() < end) {
            if (this->now() >= this->crashingDue) {
                this->crashingDue += seconds{1};
                this->send(crashingPrint);
            } else if (this->now() >= this->ordinaryDue) {
                this->ordinaryDue += milliseconds{150};
                ++this->ordinarySent;
                this->send(crashingPrint + this->nextSequence);
            } else {
                this->advance();
            }
        }
    }

    auto kill(std::size_t number) -> void
    {
        this->fleet.daemons.at(number)->isAlive = false;
        this->restartDue[number] = this->now() + daemonRestartTime;
    }

    auto killAll(std::size_t spared) -> void
    {
        for (std::size_t number = 0; number < daemonCount; ++number) {
            if (number != spared) {
                this->kill(number);
            }
        }
    }

    /// @returns the daemon that is the service's grantor
    auto grantor() -> std::optional<std::size_t>
    {
        for (std::size_t number = 0; number < daemonCount; ++number) {
            auto &daemon = *this->fleet.daemons.at(number);
            const auto *known = daemon.permits.grantorOf(this->service);
            if (daemon.isAlive && known != nullptr && *known == daemon.address
                && daemon.roles.servingCount() > 0) {
                return number;
            }
        }
        return std::nullopt;
    }

    auto nextEntry() -> std::optional<std::size_t>
    {
        for (std::size_t tried = 0; tried < daemonCount; ++tried) {
            this->lastEntry = (this->lastEntry + 1) % daemonCount;
            if (this->fleet.daemons.at(this->lastEntry)->isAlive
                && this->now() >= this->startedAt.at(this->lastEntry) + readyTime) {
                return this->lastEntry;
            }
        }
        return std::nullopt;
    }

    auto findDaemon(const Address *address) -> FleetDaemon *
    {
        for (auto &daemon : this->fleet.daemons) {
            if (address != nullptr && daemon->isAlive && daemon->address == *address) {
                return daemon.get();
            }
        }
        return nullptr;
    }

    /// Asks the grantor that the daemon knows.
    auto ask(const FleetDaemon &entry, const PermitRequest &request) -> PermitVerdict
    {
        this->answer.reset();
        if (auto *grantor = this->findDaemon(entry.permits.grantorOf(this->service))) {
            grantor->roles.deliver(entry.address, request);
        }
        for (auto passed = Duration{0}; passed < verdictTimeout; passed += step) {
            this->advance();
            if (this->answer && this->answer->id == request.id) {
                return this->answer->verdict;
            }
        }
        PermitVerdict none;
        none.kind = PermitVerdict::Kind::NotGrantor;
        return none;
    }

    /// @returns how the attempt ended; empty where there was none
    auto send(std::uint64_t fingerprint) -> std::optional<AttemptEnd>
    {
        const auto number = this->nextEntry();
        if (!number) {
            return {};
        }
        auto &entry = *this->fleet.daemons.at(*number);
        PermitRequest request;
        request.id = PermitId{entry.address, this->fleet.lastIncarnation, this->nextSequence++};
        request.service = this->service;
        request.remaining = seconds{1};
        request.untilTarget = milliseconds{400};
        request.fingerprint = fingerprint;
        const auto verdict = this->ask(entry, request);
        if (verdict.kind == PermitVerdict::Kind::Refused || !entry.isAlive) {
            return {};
        }
        const auto isDirect = verdict.kind != PermitVerdict::Kind::Granted;
        if (isDirect && entry.roles.isQuarantined(request)) {
            return {};
        }
        auto &upstream = isDirect ? this->upstreams.at(this->random() % upstreamCount)
                                  : this->upstreamOf(verdict.upstream);
        const EndedAttempt ended{this->service, RequestFingerprint{fingerprint}, upstream.id,
                                 upstream.incarnation,
                                 this->reach(upstream, *number, fingerprint, isDirect)};
        entry.roles.onAttemptEnd(ended);
        if (isDirect) {
            return ended.end;
        }
        PermitReport report;
        report.id = request.id;
        report.service = this->service;
        report.upstream = verdict.upstream;
        report.end = ended.end;
        report.latency = milliseconds{50};
        if (auto *grantor = this->findDaemon(entry.permits.grantorOf(this->service))) {
            grantor->roles.deliver(entry.address, report);
        }
        if (ended.end == AttemptEnd::NoAnswer) {
            this->onCrash(*number);
        }
        return ended.end;
    }

    auto upstreamOf(const UpstreamId &id) -> UpstreamLife &
    {
        static UpstreamLife gone{UpstreamId{"gone"}, Incarnation{0}, Instant{}};
        const auto found = std::find_if(this->upstreams.begin(), this->upstreams.end(),
                                        [&](const auto &each) { return each.id == id; });
        return found == this->upstreams.end() ? gone : *found;
    }

    auto reach(UpstreamLife &upstream, std::size_t entry, std::uint64_t fingerprint, bool isDirect)
        -> AttemptEnd
    {
        if (upstream.crashedAt) {
            return AttemptEnd::NotSent;
        }
        if (fingerprint == this->unluckyPrint) {
            this->unluckyPrint = 0;
            upstream.crashedAt = this->now();
            return AttemptEnd::NoAnswer;
        }
        if (fingerprint != crashingPrint) {
            ++this->ordinaryServed;
            return AttemptEnd::Answered;
        }
        const auto moment = this->now();
        upstream.crashedAt = moment;
        if (++this->crashes == 3) {
            this->thirdCrashAt = moment;
        }
        const auto isLate = this->thirdCrashAt && moment > *this->thirdCrashAt + contactTime;
        if (isLate && moment >= this->startedAt.at(entry) + contactTime) {
            ++this->lateRuns;
            this->lateTexts.push_back(
                "d" + std::to_string(entry) + (isDirect ? " direct" : " permit") + " at "
                + std::to_string(toMilliseconds(moment - *this->thirdCrashAt)));
        }
        return AttemptEnd::NoAnswer;
    }

    auto check() -> void
    {
        std::string texts;
        for (const auto &text : this->lateTexts) {
            texts += text + " ms; ";
        }
        INFO("crashes " << this->crashes << ", late " << texts << ", ordinary "
                        << this->ordinaryServed << " of " << this->ordinarySent);
        REQUIRE(this->thirdCrashAt);
        CHECK(this->lateRuns <= allowedLateRuns);
    }
};

} // namespace

// Guards against a quarantine that is lost when each daemon is killed in its turn: the daemon that
// has just started may be the next grantor.
SCENARIO("GrantorRoles: given daemons that are killed in turn, a request that has crashed three "
         "upstreams stays quarantined",
         "[edge][quarantine][quarantinekills]")
{
    for (const auto pause : {milliseconds{7500}, milliseconds{4000}, milliseconds{2500}}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            KillTrial trial(seed);
            trial.run(seconds{10});
            for (std::size_t kills = 0; kills < 6 * daemonCount; ++kills) {
                trial.kill(kills % daemonCount);
                trial.run(pause);
            }
            trial.run(seconds{6});
            INFO("pause " << pause.count() << " ms, seed " << seed);
            trial.check();
        }
    }
}

// Guards against a quarantine that only the last daemon knows, and that it doesn't tell as it is no
// grantor.
SCENARIO("GrantorRoles: given kills of all daemons but one, a request that has crashed three "
         "upstreams stays quarantined",
         "[edge][quarantine][quarantinekills]")
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        KillTrial trial(seed);
        trial.run(seconds{10});
        for (std::size_t kills = 0; kills < 12; ++kills) {
            trial.killAll(kills % daemonCount);
            trial.run(seconds{6});
        }
        INFO("seed " << seed);
        trial.check();
    }
}

// Guards against crashes that only the grantor has counted, and that are lost with it.
SCENARIO("GrantorRoles: given a grantor that is killed right after each crash, a request that "
         "crashes upstreams is quarantined",
         "[edge][quarantine][quarantinekills]")
{
    for (const auto delay : {milliseconds{0}, milliseconds{300}, milliseconds{1500}}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            KillTrial trial(seed);
            trial.onCrash = [&](std::size_t entry) {
                const auto grantor = trial.grantor();
                // A daemon that is killed loses what it has seen itself.
                if (grantor && *grantor != entry) {
                    trial.run(delay);
                    trial.kill(*grantor);
                }
            };
            trial.run(seconds{60});
            INFO("delay " << delay.count() << " ms, seed " << seed);
            trial.check();
        }
    }
}

// Guards against notices that come too late for a series of kills.
SCENARIO("GrantorRoles: given kills in series faster than notices are told, a request that has "
         "crashed three upstreams stays quarantined",
         "[edge][quarantine][quarantinekills]")
{
    for (const auto gap : {milliseconds{100}, milliseconds{400}, milliseconds{1300}}) {
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            KillTrial trial(seed);
            trial.run(seconds{10});
            for (std::size_t series = 0; series < 8; ++series) {
                const auto spared = series % daemonCount;
                for (std::size_t kills = 0; kills < 2 * daemonCount; ++kills) {
                    // The last daemon that knows of the request lives on.
                    if (kills % daemonCount != spared) {
                        trial.kill(kills % daemonCount);
                        trial.run(gap);
                    }
                }
                trial.run(seconds{6});
            }
            INFO("gap " << gap.count() << " ms, seed " << seed);
            trial.check();
        }
    }
}

// Guards against ordinary requests that are refused because entry daemons keep crashes of requests
// that were answered since.
SCENARIO("GrantorRoles: given ordinary requests that run at crashes and are answered afterwards, "
         "none is quarantined though grantors are killed",
         "[edge][quarantine][quarantinekills]")
{
    constexpr std::uint64_t firstPrint = 1;
    constexpr std::uint64_t endPrint = 4;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        KillTrial trial(seed);
        trial.crashingDue = Instant::max();
        for (auto wave = 0; wave < 12; ++wave) {
            for (auto print = firstPrint; print < endPrint; ++print) {
                trial.unluckyPrint = print;
                trial.send(print);
                trial.unluckyPrint = 0;
            }
            trial.run(milliseconds{500});
            for (auto print = firstPrint; print < endPrint; ++print) {
                auto tries = 0;
                while (trial.send(print) != AttemptEnd::Answered && ++tries < 30) {
                    trial.run(milliseconds{100});
                }
                CHECK(tries < 30);
            }
            // Time for a notice that the requests have been answered.
            trial.run(milliseconds{200});
            if (const auto grantor = trial.grantor()) {
                trial.kill(*grantor);
            }
            trial.run(seconds{4});
        }
        for (auto print = firstPrint; print < endPrint; ++print) {
            PermitRequest request;
            request.service = trial.service;
            request.fingerprint = print;
            for (const auto &daemon : trial.fleet.daemons) {
                CHECK_FALSE(daemon->roles.isQuarantined(request));
            }
        }
    }
}

// Guards against a new grantor that all daemons of a large fleet send their suspects to at once.
SCENARIO("GrantorRoles: given a new grantor, some 30 daemons of a large fleet tell it their "
         "suspects",
         "[edge][quarantine][quarantinekills]")
{
    constexpr auto fleetSize = 600;
    FakeStore store;
    const ElectedGrantor grantor{GrantorDirectory::grantorText("other", Address{"g:1"}, 1),
                                 StoreRevision{7}};
    const SuspectNotice notice{serviceNames.front(),
                               {SuspectRequest{RequestFingerprint{5}, {1, 2, 3}, seconds{1}}}};
    auto senders = 0;
    for (auto number = 0; number < fleetSize; ++number) {
        FleetDaemon daemon(store, number, 1);
        GrantorFleet::setServices(daemon);
        daemon.roles.onDaemonCount(notice.service, fleetSize);
        // A new grantor knows few daemons at first.
        daemon.roles.onDaemonCount(notice.service, 1);
        daemon.roles.deliver(Address{"former:1"}, notice);
        daemon.roles.onGrantors([&](const ServiceName &service) {
            return service == notice.service ? std::optional(grantor) : std::nullopt;
        });
        daemon.roles.advance();
        for (const auto &datagram : daemon.roles.takeDatagrams()) {
            const auto *told = std::get_if<SuspectNotice>(&datagram.message);
            senders += told != nullptr && datagram.peer == Address{"g:1"} ? 1 : 0;
        }
    }
    CHECK(senders >= 10);
    CHECK(senders <= 60);
}
