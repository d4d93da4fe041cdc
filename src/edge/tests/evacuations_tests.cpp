#include "edge/evacuations.h"

#include "storelink/types/storecalls.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <unistd.h>

using namespace gooseberrywall;
using std::chrono::seconds;

namespace {

const FailureDomain north{"north"};
const FailureDomain south{"south"};
const Instant start{seconds{100}};

auto entry(const std::string &id, const FailureDomain &domain) -> UpstreamEntry
{
    UpstreamEntry result;
    result.id = UpstreamId{id};
    result.domain = domain;
    return result;
}

/// A daemon's evacuations, and a pipe that takes its log.
struct EvacuationTrial
{
    std::array<int, 2> ends{-1, -1};
    Logger logger;
    Evacuations evacuations{this->logger};
    std::vector<UpstreamEntry> entries{entry("n1", north), entry("n2", north), entry("s1", south)};

    /// @param knowsNone the daemon knows from its start that nothing is evacuated
    explicit EvacuationTrial(bool knowsNone = true)
        : logger("info", 100'000, openPipe(this->ends))
    {
        if (knowsNone) {
            this->update({}, 40);
        }
    }
    ~EvacuationTrial()
    {
        close(this->ends[0]);
        close(this->ends[1]);
    }
    EvacuationTrial(const EvacuationTrial &) = delete;
    auto operator=(const EvacuationTrial &) -> EvacuationTrial & = delete;

    static auto openPipe(std::array<int, 2> &ends) -> int
    {
        REQUIRE(pipe(ends.data()) == 0);
        return ends[1];
    }

    auto update(const std::set<FailureDomain> &domains, std::uint64_t revision,
                bool isStale = false, Instant now = start) -> bool
    {
        return this->evacuations.update(EvacuatedDomains{domains, revision}, isStale, this->entries,
                                        now);
    }

    /// @returns what was logged since the last call
    auto log() -> std::string
    {
        this->logger.write(LogLevel::Info, "event=end_of_log");
        this->logger.flush();
        std::string text;
        std::array<char, 4096> part{};
        while (text.find("end_of_log") == std::string::npos) {
            const auto count = read(this->ends[0], part.data(), part.size());
            REQUIRE(count > 0);
            text.append(part.data(), static_cast<std::size_t>(count));
        }
        return text;
    }
};

auto countOf(const std::string &text, const std::string &part) -> int
{
    auto count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

// Guards against an announcement of a grantor that lags behind, which would undo what a daemon
// knows.
SCENARIO("Evacuations: given sets of several revisions, the one of the highest counts",
         "[edge][evacuation]")
{
    EvacuationTrial trial;
    CHECK(trial.update({north}, 50));
    THEN("sets of the same revision or an earlier one, and those without one, change nothing")
    {
        CHECK_FALSE(trial.update({}, 50));
        CHECK_FALSE(trial.update({south}, 49));
        CHECK_FALSE(trial.update({}, 0));
        CHECK(trial.evacuations.known() == EvacuatedDomains{{north}, 50});
    }
    THEN("the same failure domains at a later revision are no change, but count against later sets")
    {
        CHECK_FALSE(trial.update({north}, 60));
        CHECK_FALSE(trial.update({}, 55));
        CHECK(trial.evacuations.announced() == EvacuatedDomains{{north}, 60});
    }
    THEN("a set of a later era of the store replaces it at any revision")
    {
        CHECK(trial.update({}, storeRevision(1, 7).value));
        CHECK(trial.evacuations.domainCount() == 0);
    }
}

// Guards against a daemon that starts with an old copy of the store and believes it.
SCENARIO("Evacuations: given a set that may be out of date, any other replaces it",
         "[edge][evacuation]")
{
    EvacuationTrial trial(false);
    CHECK(trial.update({north}, 90, true));
    CHECK(trial.evacuations.announced() == EvacuatedDomains{});
    CHECK_FALSE(trial.update({}, 80, true));
    CHECK(trial.update({}, 80));
    CHECK(trial.evacuations.announced() == EvacuatedDomains{{}, 80});
    CHECK_FALSE(trial.update({north}, 95, true));
}

// Guards against a daemon that starts during a long evacuation and sends requests to owners of keys
// there once more.
SCENARIO("Evacuations: given a daemon that starts during an evacuation, owners there serve no keys",
         "[edge][evacuation]")
{
    EvacuationTrial trial(false);
    if (GENERATE(false, true)) {
        trial.update({}, 45, true);
    }
    trial.update({north}, 50);
    trial.evacuations.mark(trial.entries);
    CHECK(trial.entries[0].isEvacuated);
    CHECK_FALSE(trial.entries[0].isOwnerServing(start));
    CHECK(trial.entries[2].isOwnerServing(start));
}

// Guards against a broker and a choice without a grantor that see different states of an upstream.
SCENARIO("Evacuations: given entries, those in evacuated failure domains are marked",
         "[edge][evacuation]")
{
    EvacuationTrial trial;
    trial.entries[1].isDraining = true;
    auto before = trial.entries;
    trial.evacuations.mark(before);
    CHECK(before == trial.entries);
    trial.update({north}, 50);
    trial.evacuations.mark(trial.entries);
    THEN("they have the time at which the daemon learned of it, and drain as before")
    {
        CHECK(trial.entries[0].isEvacuated);
        CHECK(trial.entries[0].evacuatedAt == start);
        CHECK_FALSE(trial.entries[0].isDraining);
        CHECK(trial.entries[1].isEvacuated);
        CHECK(trial.entries[1].isDraining);
        CHECK(trial.entries[2] == entry("s1", south));
    }
    THEN("a later revision doesn't start the time anew")
    {
        trial.update({north, south}, 60, false, start + seconds{2});
        trial.evacuations.mark(trial.entries);
        CHECK(trial.entries[0].evacuatedAt == start);
        CHECK(trial.entries[2].evacuatedAt == start + seconds{2});
    }
    THEN("after the withdrawal they have the time of the end, until the next evacuation")
    {
        trial.update({}, 60, false, start + seconds{5});
        trial.evacuations.mark(trial.entries);
        CHECK_FALSE(trial.entries[0].isEvacuated);
        CHECK(trial.entries[0].evacuationEndedAt == start + seconds{5});
        CHECK(trial.entries[1].isDraining);
        CHECK(trial.entries[2].evacuationEndedAt == Instant{});
        trial.update({north}, 70, false, start + seconds{8});
        trial.evacuations.mark(trial.entries);
        CHECK(trial.entries[0].evacuatedAt == start + seconds{8});
        CHECK(trial.entries[0].evacuationEndedAt == Instant{});
    }
}

// Guards against an evacuation that operators can't follow, and against a log line per reading.
SCENARIO("Evacuations: given changes and mistakes of the operators, each is logged once",
         "[edge][evacuation]")
{
    EvacuationTrial trial;
    trial.update({north}, storeRevision(1, 50).value);
    trial.evacuations.mark(trial.entries);
    const auto started = trial.log();
    CHECK(countOf(started, "event=evacuation_started") == 1);
    CHECK(countOf(started, "failure_domain=north revision=50 era=1 upstreams=2") == 1);
    CHECK(countOf(started, "evacuation_unknown_domain") == 0);
    trial.update({}, storeRevision(1, 60).value);
    const auto ended = trial.log();
    CHECK(countOf(ended, "event=evacuation_ended") == 1);
    CHECK(countOf(ended, "failure_domain=north revision=60 era=1 upstreams=2") == 1);
    trial.update({FailureDomain{"nowhere"}}, storeRevision(1, 70).value);
    for (auto round = 0; round < 3; ++round) {
        trial.evacuations.mark(trial.entries);
        trial.evacuations.onUnreadableKey("op/evacuate/", 4);
    }
    const auto mistakes = trial.log();
    CHECK(countOf(mistakes, "event=evacuation_unknown_domain") == 1);
    CHECK(countOf(mistakes, "event=evacuation_unreadable") == 1);
    CHECK(std::none_of(trial.entries.begin(), trial.entries.end(),
                       [](const auto &each) { return each.isEvacuated; }));
}
