#include "ctl/ordercommands.h"

#include "http/percentcoding.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace gooseberrywall {

namespace {

auto sendOrder(const CommandContext &context, const std::string &target) -> ExitCode
{
    const auto answer = context.client.call(HttpMethod::Post, target);
    const auto code = checkAnswer(answer);
    if (code == ExitCode::Ok) {
        std::cout << (context.json ? answer.body : "sent to the coordinator\n");
    }
    return code;
}

} // namespace

DrainCommand::DrainCommand(bool undrain)
    : undrain(undrain)
{
}

auto DrainCommand::name() const -> std::string
{
    return this->undrain ? "undrain" : "drain";
}

auto DrainCommand::help() const -> std::string
{
    return this->undrain ? "undrain UPSTREAM        lets an upstream take shards again"
                         : "drain UPSTREAM          moves all shards away from an upstream";
}

auto DrainCommand::run(const CommandContext &context) const -> ExitCode
{
    if (context.arguments.size() != 1) {
        std::cerr << "usage: gooseberrywallctl " << this->name() << " UPSTREAM\n";
        return ExitCode::Usage;
    }
    return sendOrder(context,
                     "/v1/upstreams/" + percentEncode(context.arguments[0]) + "/" + this->name());
}

auto QuarantineCommand::help() const -> std::string
{
    return "quarantine list         the requests that are not run any more\n"
           "  quarantine lift ID      lets a request run again";
}

auto QuarantineCommand::run(const CommandContext &context) const -> ExitCode
{
    const auto &words = context.arguments;
    if (words.size() == 2 && words[0] == "lift") {
        return sendOrder(context, "/v1/quarantine/" + percentEncode(words[1]) + "/lift");
    }
    if (words.size() != 1 || words[0] != "list") {
        std::cerr << "usage: gooseberrywallctl quarantine list | lift REQUEST-ID\n";
        return ExitCode::Usage;
    }
    const auto answer = context.client.call(HttpMethod::Get, "/v1/quarantine");
    const auto code = checkAnswer(answer);
    if (code != ExitCode::Ok) {
        return code;
    }
    if (context.json) {
        std::cout << answer.body;
        return code;
    }
    for (const auto &entry : nlohmann::json::parse(answer.body, nullptr, false)) {
        std::cout << entry.value("request", "") << ' ' << entry.value("service", "") << ' '
                  << entry.value("key", "") << '\n';
    }
    return code;
}

} // namespace gooseberrywall
