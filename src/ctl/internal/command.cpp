#include "ctl/command.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace gooseberrywall {

namespace {

constexpr int firstSuccessStatus = 200;
constexpr int firstStatusAfterSuccess = 300;
constexpr int conflict = 409;
constexpr int unavailable = 503;
constexpr int timedOut = 504;

auto printError(const HttpAnswer &answer) -> void
{
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (!body.is_object() || !body.contains("error")) {
        std::cerr << answer.body << '\n';
        return;
    }
    if (body.contains("fault")) {
        const auto &fault = body["fault"];
        std::cerr << "[" << fault.value("section", "") << "] line " << fault.value("line", 0) << " "
                  << fault.value("key", "") << ": ";
    }
    std::cerr << body.value("error", "") << '\n';
    for (const auto *const part : {"remedy", "diff"}) {
        if (const auto text = body.value(part, ""); !text.empty()) {
            std::cerr << text << '\n';
        }
    }
    for (const auto &daemon : body.value("lagging", nlohmann::json::array())) {
        std::cerr << "lagging: " << daemon.get<std::string>() << '\n';
    }
}

} // namespace

auto checkAnswer(const HttpAnswer &answer) -> ExitCode
{
    if (answer.outcome == HttpOutcome::NotSent) {
        std::cerr << "the daemon can't be reached; check --admin and whether the process runs\n";
        return ExitCode::Unreachable;
    }
    if (answer.outcome != HttpOutcome::Answered) {
        std::cerr << "no full answer arrived in time; check whether the command took effect before "
                     "sending it again\n";
        return ExitCode::TimedOut;
    }
    if (answer.status >= firstSuccessStatus && answer.status < firstStatusAfterSuccess) {
        return ExitCode::Ok;
    }
    printError(answer);
    switch (answer.status) {
    case conflict:
        return ExitCode::Conflict;
    case unavailable:
        return ExitCode::Unreachable;
    case timedOut:
        return ExitCode::TimedOut;
    default:
        return ExitCode::Refused;
    }
}

} // namespace gooseberrywall
