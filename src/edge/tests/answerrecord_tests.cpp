#include "edge/answerrecord.h"

#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <unistd.h>

using namespace gooseberrywall;
using std::chrono::milliseconds;

namespace {

/// A record whose log goes to a file.
struct RecordTrial
{
    std::string path = "/tmp/answerrecord-" + std::to_string(getpid());
    std::FILE *file = std::fopen(this->path.c_str(), "w+");
    Logger logger{"info", 1000, fileno(this->file)};
    RequestLog log{this->logger, 0};
    Counters counters;
    Instant moment{std::chrono::seconds{10}};
    std::optional<Instant> newerSince;
    AnswerRecord record{this->log, this->counters, [this] { return this->moment; },
                        [this] { return this->newerSince; }};

    RecordTrial() = default;
    ~RecordTrial()
    {
        std::fclose(this->file);
        unlink(this->path.c_str());
    }
    RecordTrial(const RecordTrial &) = delete;
    auto operator=(const RecordTrial &) -> RecordTrial & = delete;

    auto logged() -> std::string
    {
        this->logger.flush();
        std::ostringstream text;
        text << std::ifstream(this->path).rdbuf();
        return text.str();
    }
};

} // namespace

SCENARIO("AnswerRecord: answers are counted by origin and status", "[edge][answerrecord]")
{
    RecordTrial trial;
    trial.record.onRefused(AnswerOrigin::Routes, 404, "h.example");
    trial.record.onRefused(AnswerOrigin::Routes, 404, "h.example");
    trial.record.onPassedOn(true, 404, "h.example");
    trial.record.onPassedOn(false, 404, "h.example");
    trial.record.onUnread(413, UnreadRequest{"h.example", MessageLimits{}});
    const auto answers = trial.counters.snapshot().answers;
    CHECK(answers
          == std::vector<AnswerSample>{{AnswerOrigin::Listener, 413, 1},
                                       {AnswerOrigin::Routes, 404, 2},
                                       {AnswerOrigin::Upstream, 404, 1},
                                       {AnswerOrigin::Unsigned, 404, 1}});
}

SCENARIO("AnswerRecord: a line tells by which configuration a request was turned away",
         "[edge][answerrecord]")
{
    RecordTrial trial;
    trial.record.onConfiguration(7);
    trial.moment += milliseconds{1500};
    GIVEN("no newer configuration")
    {
        trial.record.onRefused(AnswerOrigin::Routes, 404, "h.example");
        const auto text = trial.logged();
        CHECK(text.find("request_turned_away origin=routes status=404 host=h.example version=7 "
                        "version_age_ms=1500\n")
              != std::string::npos);
    }
    GIVEN("a newer configuration that is known and not in force")
    {
        trial.newerSince = trial.moment - milliseconds{200};
        trial.record.onUnread(431, UnreadRequest{"", MessageLimits{1000, 2000}});
        const auto text = trial.logged();
        CHECK(text.find("origin=listener status=431") != std::string::npos);
        CHECK(text.find("newer_known_ms=200 head_limit=1000 body_limit=2000") != std::string::npos);
    }
    GIVEN("answers that tell callers nothing about their requests")
    {
        trial.record.onPassedOn(true, 404, "h.example");
        trial.record.onRefused(AnswerOrigin::Daemon, 503, "h.example");
        CHECK(trial.logged().find("request_turned_away") == std::string::npos);
    }
}
