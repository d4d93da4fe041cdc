#include "upstreamclient/upstreamwire.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace gooseberrywall;

namespace {

auto anyText() -> std::string
{
    return *rc::gen::arbitrary<std::string>();
}

auto anyNumber() -> std::uint64_t
{
    return *rc::gen::arbitrary<std::uint64_t>();
}

auto anyDuration() -> Duration
{
    return Duration{*rc::gen::arbitrary<std::int64_t>()};
}

auto anyShard() -> ShardId
{
    return {{anyText()}, *rc::gen::arbitrary<std::uint32_t>()};
}

auto anyFence() -> Fence
{
    return {*rc::gen::arbitrary<std::uint32_t>(), *rc::gen::arbitrary<std::uint32_t>()};
}

auto anyUntil() -> std::optional<UpstreamInstant>
{
    return *rc::gen::arbitrary<bool>() ? std::optional{UpstreamInstant{anyDuration()}}
                                       : std::nullopt;
}

auto anyBatch() -> GrantBatch
{
    GrantBatch batch{{anyText()}, {anyNumber()}, {anyNumber()}, {}};
    for (auto count = *rc::gen::inRange(0, 4); count > 0; --count) {
        const auto action = *rc::gen::arbitrary<bool>() ? GrantAction::Grant : GrantAction::Revoke;
        batch.orders.push_back({anyShard(), anyFence(), action, anyUntil(), anyDuration()});
    }
    return batch;
}

auto anyBatchAnswer() -> GrantBatchAnswer
{
    GrantBatchAnswer answer;
    answer.incarnation = {anyNumber()};
    answer.clock = UpstreamInstant{anyDuration()};
    answer.refused = *rc::gen::arbitrary<bool>();
    answer.highestTerm = {anyNumber()};
    for (auto count = *rc::gen::inRange(0, 4); count > 0; --count) {
        answer.results.push_back(
            {anyShard(), static_cast<GrantStatus>(*rc::gen::inRange(0, 4)), anyFence()});
        answer.held.push_back({anyShard(), anyFence(), anyUntil()});
    }
    return answer;
}

auto anyRun() -> RunRequest
{
    return {{anyNumber()},
            {anyText()},
            anyShard(),
            anyFence(),
            {anyText()},
            anyText(),
            *rc::gen::arbitrary<bool>(),
            anyDuration(),
            anyText()};
}

auto anyRunAnswer(AttemptId attempt) -> RunAnswer
{
    return {attempt,
            {anyNumber()},
            static_cast<RunStatus>(*rc::gen::inRange(0, 8)),
            *rc::gen::arbitrary<int>(),
            anyDuration(),
            anyText()};
}

auto decode(const HttpRequest &request) -> std::optional<UpstreamRequest>
{
    const auto find = [&request](const char *name) -> const char * {
        for (const auto &header : request.headers) {
            if (equalHeaderNames(header.name, name)) {
                return header.value.c_str();
            }
        }
        return nullptr;
    };
    return upstreamwire::decodeRequest(request.target, find, request.body);
}

auto isBad(const UpstreamAnswer &answer) -> bool
{
    return answer == UpstreamAnswer{UpstreamFailure::BadAnswer};
}

} // namespace

SCENARIO("upstreamwire decodes what it encoded", "[upstreamwire]")
{
    CHECK(rc::check("grant orders and their answers", [] {
        const UpstreamRequest batch = anyBatch();
        RC_ASSERT(decode(upstreamwire::encodeRequest(batch)) == batch);
        const UpstreamAnswer answer = anyBatchAnswer();
        RC_ASSERT(upstreamwire::decodeAnswer(batch, upstreamwire::encodeAnswer(answer)) == answer);
    }));
    CHECK(rc::check("runs and their answers", [] {
        const auto run = anyRun();
        RC_ASSERT(decode(upstreamwire::encodeRequest(run)) == UpstreamRequest{run});
        const UpstreamAnswer answer = anyRunAnswer(run.attempt);
        RC_ASSERT(upstreamwire::decodeAnswer(run, upstreamwire::encodeAnswer(answer)) == answer);
    }));
    CHECK(rc::check("cancellations", [] {
        const CancelRun cancel{{anyNumber()}};
        RC_ASSERT(decode(upstreamwire::encodeRequest(cancel)) == UpstreamRequest{cancel});
    }));
    CHECK(rc::check("reports", [] {
        const UpstreamAnswer report = UpstreamReport{{anyNumber()},
                                                     UpstreamInstant{anyDuration()},
                                                     *rc::gen::arbitrary<bool>(),
                                                     *rc::gen::arbitrary<bool>(),
                                                     *rc::gen::arbitrary<int>(),
                                                     *rc::gen::arbitrary<int>(),
                                                     *rc::gen::arbitrary<int>() / 8.0};
        RC_ASSERT(upstreamwire::decodeAnswer(UpstreamProbe{}, upstreamwire::encodeAnswer(report))
                  == report);
    }));
}

SCENARIO("upstreamwire refuses malformed messages", "[upstreamwire]")
{
    GIVEN("a run without one of its headers")
    {
        const auto whole = upstreamwire::encodeRequest(RunRequest{});
        REQUIRE(decode(whole).has_value());
        for (std::size_t index = 0; index < whole.headers.size(); ++index) {
            auto request = whole;
            request.headers.erase(request.headers.begin() + static_cast<std::ptrdiff_t>(index));
            INFO(whole.headers[index].name);
            CHECK_FALSE(decode(request).has_value());
        }
    }
    GIVEN("a run's answer without one of its headers")
    {
        const RunRequest run;
        const auto whole = upstreamwire::encodeAnswer(RunAnswer{});
        REQUIRE_FALSE(isBad(upstreamwire::decodeAnswer(run, whole)));
        for (std::size_t index = 0; index < whole.headers.size(); ++index) {
            auto answer = whole;
            answer.headers.erase(answer.headers.begin() + static_cast<std::ptrdiff_t>(index));
            INFO(whole.headers[index].name);
            CHECK(isBad(upstreamwire::decodeAnswer(run, answer)));
        }
    }
    GIVEN("the answer to another attempt")
    {
        RunAnswer other;
        other.attempt = {8};
        RunRequest run;
        run.attempt = {7};
        CHECK(isBad(upstreamwire::decodeAnswer(run, upstreamwire::encodeAnswer(other))));
        CHECK(isBad(upstreamwire::decodeAnswer(CancelRun{{7}}, upstreamwire::encodeAnswer(other))));
    }
    GIVEN("an answer to grant orders truncated at each position")
    {
        GrantBatchAnswer answer;
        answer.results = {{{{"fitment"}, 1}, GrantStatus::Done, {1, 2}}};
        answer.held = {{{{"fitment"}, 1}, {1, 2}, UpstreamInstant{}}};
        const auto whole = upstreamwire::encodeAnswer(answer);
        REQUIRE_FALSE(isBad(upstreamwire::decodeAnswer(GrantBatch{}, whole)));
        for (std::size_t size = 0; size < whole.body.size(); ++size) {
            auto cut = whole;
            cut.body.resize(size);
            INFO(size);
            CHECK(isBad(upstreamwire::decodeAnswer(GrantBatch{}, cut)));
        }
    }
    GIVEN("a number out of range, another HTTP status and another kind of answer")
    {
        HttpAnswer answer{HttpOutcome::Answered, upstreamwire::okStatus, {}, ""};
        answer.body = R"({"incarnation":-1,"clock_us":0,"healthy":true,"draining":false,)"
                      R"("slots":3,"busy_slots":0,"load":0.5})";
        CHECK(isBad(upstreamwire::decodeAnswer(UpstreamProbe{}, answer)));
        CHECK(isBad(upstreamwire::decodeAnswer(GrantBatch{},
                                               upstreamwire::encodeAnswer(UpstreamReport{}))));
        auto failed = upstreamwire::encodeAnswer(UpstreamReport{});
        failed.status = 500;
        CHECK(isBad(upstreamwire::decodeAnswer(UpstreamProbe{}, failed)));
    }
}
