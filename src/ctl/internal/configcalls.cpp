#include "ctl/internal/configcalls.h"

#include "http/percentcoding.h"

#include <charconv>
#include <iostream>

namespace gooseberrywall {

auto callConfig(const CommandContext &context, HttpMethod method, const std::string &target,
                const std::string &body) -> ConfigAnswer
{
    const auto answer = context.client.call(method, target, body);
    if (const auto code = checkAnswer(answer); code != ExitCode::Ok) {
        return {code, {}};
    }
    auto page = nlohmann::json::parse(answer.body, nullptr, false);
    if (!page.is_object()) {
        std::cerr
            << "the daemon's answer isn't a JSON object; compare its version with this tool's\n";
        return {ExitCode::Refused, {}};
    }
    if (context.json) {
        std::cout << answer.body;
    }
    return {ExitCode::Ok, std::move(page)};
}

auto sectionPath(const CommandContext &context) -> std::string
{
    return "/v1/config/sections/"
           + percentEncode(context.arguments[0] + " " + context.arguments[1]);
}

auto toNumber(const std::string &argument) -> std::optional<std::uint64_t>
{
    auto number = std::uint64_t{0};
    const auto *end = argument.data() + argument.size();
    const auto result = std::from_chars(argument.data(), end, number);
    const auto isNumber = result.ec == std::errc{} && result.ptr == end && !argument.empty();
    return isNumber ? std::optional(number) : std::nullopt;
}

auto printUsage(const Command &command) -> ExitCode
{
    std::cerr << "usage: gooseberrywallctl " << command.help() << '\n';
    return ExitCode::Usage;
}

auto printAccepted(const CommandContext &context, const nlohmann::json &body) -> void
{
    if (context.json) {
        return;
    }
    if (body.value("message", "") == "nothing to change") {
        std::cout << "[" << body.value("section", "") << "] nothing to change\n";
        return;
    }
    const auto generation = body.value("generation", std::uint64_t{0});
    std::cout << body.value("diff", "") << "[" << body.value("section", "")
              << "] accepted as version " << body.value("version", std::uint64_t{0})
              << ", generation " << generation << "; 'gooseberrywallctl config wait " << generation
              << "' ends when it is in force\n";
}

} // namespace gooseberrywall
