#include "ctl/internal/configreadcommands.h"

#include "configuration/document.h"
#include "ctl/internal/configcalls.h"
#include "ctl/keyspage.h"
#include "ctl/sectionfile.h"

#include <chrono>
#include <iostream>

namespace gooseberrywall {

namespace {

using nlohmann::json;

/// How long the daemon lets one call wait; the command repeats the call until its own timeout.
constexpr std::uint64_t waitCallTimeoutMs = 2000;
constexpr std::uint64_t defaultWaitTimeoutMs = 30'000;

auto versionOf(const json &page, const std::string &section) -> std::uint64_t
{
    for (const auto &entry : page["sections"]) {
        if (entry.value("section", "") == section) {
            return entry.value("version", std::uint64_t{0});
        }
    }
    return 0;
}

auto printDocument(const json &page) -> void
{
    for (const auto &section : splitSections(page.value("text", ""))) {
        const auto &name = section.section.value;
        if (section.text.find("\n# hidden") != std::string::npos) {
            std::cout << "# [" << name << "] is hidden: it holds another team's tokens\n\n";
            continue;
        }
        std::cout << writeSection(versionOf(page, name), section.text);
        std::cout << (section.text.ends_with("\n\n") ? "" : "\n");
    }
}

auto utcTime(std::int64_t unixMillis) -> std::string
{
    const auto seconds = static_cast<std::time_t>(unixMillis / 1000);
    auto parts = std::tm{};
    gmtime_r(&seconds, &parts);
    constexpr std::size_t textBytes = 32;
    auto text = std::string(textBytes, '\0');
    text.resize(std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts));
    return text;
}

} // namespace

auto ConfigGetCommand::help() const -> std::string
{
    return "config get [KIND NAME [VERSION]]\n"
           "                          prints a section, or all, as 'config set' takes them";
}

auto ConfigGetCommand::run(const CommandContext &context) const -> ExitCode
{
    const auto &words = context.arguments;
    if (words.empty()) {
        const auto answer = callConfig(context, HttpMethod::Get, "/v1/config");
        if (answer.code == ExitCode::Ok && !context.json) {
            printDocument(answer.body);
        }
        return answer.code;
    }
    const auto isVersionInvalid = words.size() == 3 && !toNumber(words[2]);
    if (words.size() < 2 || words.size() > 3 || isVersionInvalid) {
        return printUsage(*this);
    }
    const auto query = words.size() == 3 ? "?version=" + words[2] : std::string{};
    const auto answer = callConfig(context, HttpMethod::Get, sectionPath(context) + query);
    if (answer.code == ExitCode::Ok && !context.json) {
        std::cout << writeSection(answer.body.value("version", std::uint64_t{0}),
                                  answer.body.value("text", ""));
    }
    return answer.code;
}

auto ConfigDiffCommand::help() const -> std::string
{
    return "config diff KIND NAME [FROM [TO]]\n"
           "                          what changed between two versions; the last two if none is "
           "named";
}

auto ConfigDiffCommand::run(const CommandContext &context) const -> ExitCode
{
    const auto &words = context.arguments;
    const auto isFromInvalid = words.size() >= 3 && !toNumber(words[2]);
    const auto isToInvalid = words.size() == 4 && !toNumber(words[3]);
    if (words.size() < 2 || words.size() > 4 || isFromInvalid || isToInvalid) {
        return printUsage(*this);
    }
    auto target = sectionPath(context) + "/diff";
    target += words.size() >= 3 ? "?from=" + words[2] : "";
    target += words.size() == 4 ? "&to=" + words[3] : "";
    const auto answer = callConfig(context, HttpMethod::Get, target);
    if (answer.code == ExitCode::Ok && !context.json) {
        std::cout << answer.body.value("diff", "");
    }
    return answer.code;
}

auto ConfigHistoryCommand::help() const -> std::string
{
    return "config history KIND NAME  the accepted versions of a section, latest first";
}

auto ConfigHistoryCommand::run(const CommandContext &context) const -> ExitCode
{
    if (context.arguments.size() != 2) {
        return printUsage(*this);
    }
    const auto answer = callConfig(context, HttpMethod::Get, sectionPath(context) + "/history");
    if (answer.code != ExitCode::Ok || context.json) {
        return answer.code;
    }
    for (const auto &entry : answer.body["history"]) {
        std::cout << entry.value("version", std::uint64_t{0}) << ' '
                  << utcTime(entry.value("written_at_ms", std::int64_t{0})) << " by "
                  << entry.value("team", "") << (entry.value("removed", false) ? " (removed)" : "")
                  << '\n';
    }
    return answer.code;
}

auto ConfigWaitCommand::help() const -> std::string
{
    return "config wait GENERATION [TIMEOUT-MS]\n"
           "                          ends when it is in force at every live daemon of the cell";
}

auto ConfigWaitCommand::run(const CommandContext &context) const -> ExitCode
{
    const auto &words = context.arguments;
    const auto generation = words.empty() ? std::nullopt : toNumber(words[0]);
    const auto timeoutMs =
        words.size() == 2 ? toNumber(words[1]) : std::optional(defaultWaitTimeoutMs);
    if (words.size() > 2 || !generation || !timeoutMs) {
        return printUsage(*this);
    }
    const auto wantedGeneration = generation.value_or(0);
    using Clock = std::chrono::steady_clock;
    const auto deadline = Clock::now() + std::chrono::milliseconds(*timeoutMs);
    constexpr int notYetInForce = 504;
    while (true) {
        const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline - Clock::now());
        const auto callTimeoutMs =
            std::min<std::int64_t>(std::max<std::int64_t>(remaining.count(), 0),
                                   static_cast<std::int64_t>(waitCallTimeoutMs));
        const auto answer = context.client.call(
            HttpMethod::Get, "/v1/config/wait?generation=" + std::to_string(wantedGeneration)
                                 + "&timeout_ms=" + std::to_string(callTimeoutMs));
        const auto mustRepeat = answer.outcome == HttpOutcome::Answered
                                && answer.status == notYetInForce && Clock::now() < deadline;
        if (mustRepeat) {
            continue;
        }
        const auto code = checkAnswer(answer);
        if (context.json) {
            std::cout << answer.body;
        } else if (code == ExitCode::Ok) {
            std::cout << "generation " << wantedGeneration << " is in force\n";
        }
        return code;
    }
}

auto ConfigKeysCommand::help() const -> std::string
{
    return "config keys               describes all keys, as docs/CONFIGURATION.md has them";
}

auto ConfigKeysCommand::run(const CommandContext &context) const -> ExitCode
{
    if (!context.arguments.empty()) {
        return printUsage(*this);
    }
    if (context.json) {
        return callConfig(context, HttpMethod::Get, "/v1/config/keys").code;
    }
    std::cout << keysPage();
    return ExitCode::Ok;
}

} // namespace gooseberrywall
