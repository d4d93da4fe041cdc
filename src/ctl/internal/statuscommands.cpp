#include "ctl/statuscommands.h"

#include "ctl/logexplanation.h"

#include "http/percentcoding.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <iostream>

namespace gooseberrywall {

using nlohmann::json;

namespace {

using Printer = void (*)(const json &page);

/// Fetches a page and prints it as text, or unchanged with --json.
auto fetchAndPrint(const CommandContext &context, const std::string &target, Printer print)
    -> ExitCode
{
    const auto answer = context.client.call(HttpMethod::Get, target);
    if (const auto code = checkAnswer(answer); code != ExitCode::Ok) {
        return code;
    }
    if (context.json) {
        std::cout << answer.body;
        return ExitCode::Ok;
    }
    const auto page = json::parse(answer.body, nullptr, false);
    if (page.is_discarded()) {
        std::cerr << "the daemon's answer isn't valid JSON; compare its version with this tool's\n";
        return ExitCode::Refused;
    }
    print(page);
    return ExitCode::Ok;
}

auto textOf(const json &page, const char *key) -> std::string
{
    if (!page.contains(key)) {
        return "-";
    }
    const auto &value = page[key];
    const auto text = value.is_string() ? value.get<std::string>() : value.dump();
    return text.empty() ? "-" : text;
}

auto printColumn(const std::string &text, int width) -> void
{
    std::cout << std::left << std::setw(width) << text << ' ';
}

auto printUpstreams(const json &list) -> void
{
    constexpr int wideColumnWidth = 20;
    constexpr int narrowColumnWidth = 10;
    printColumn("UPSTREAM", wideColumnWidth);
    printColumn("SERVICE", wideColumnWidth);
    printColumn("DOMAIN", narrowColumnWidth);
    printColumn("STATE", narrowColumnWidth);
    printColumn("SHARDS", narrowColumnWidth);
    printColumn("GRANTOR", narrowColumnWidth);
    std::cout << "STAND-BY\n";
    for (const auto &upstream : list) {
        printColumn(textOf(upstream, "id"), wideColumnWidth);
        printColumn(textOf(upstream, "service"), wideColumnWidth);
        printColumn(textOf(upstream, "domain"), narrowColumnWidth);
        printColumn(textOf(upstream, "state"), narrowColumnWidth);
        printColumn(textOf(upstream, "shards"), narrowColumnWidth);
        printColumn(textOf(upstream, "grantor"), narrowColumnWidth);
        std::cout << textOf(upstream, "standby") << '\n';
    }
}

auto printStatus(const json &page) -> void
{
    std::cout << "daemon " << textOf(page, "daemon") << " in " << textOf(page, "domain")
              << ", ready: " << textOf(page, "ready") << "\ncoordinator "
              << textOf(page, "coordinator") << ", table version " << textOf(page, "table_version")
              << "\nshards " << textOf(page, "shards") << ", unowned "
              << textOf(page, "unowned_shards") << ", pinned keys " << textOf(page, "pinned_keys")
              << "\ndaemons:";
    for (const auto &member : page["members"]) {
        std::cout << ' ' << textOf(member, "id") << '(' << textOf(member, "domain") << ", "
                  << textOf(member, "state") << ')';
    }
    std::cout << '\n';
    if (page.contains("upstreams")) {
        printUpstreams(page["upstreams"]);
    }
    if (page.contains("transfers")) {
        for (const auto &transfer : page["transfers"]) {
            std::cout << "moving " << textOf(transfer, "service") << " shard "
                      << textOf(transfer, "shard") << ": " << textOf(transfer, "from") << " to "
                      << textOf(transfer, "to") << '\n';
        }
    }
    for (const auto &problem : page["problems"]) {
        std::cout << "PROBLEM: " << textOf(problem, "what") << ". " << textOf(problem, "remedy")
                  << '\n';
    }
    if (page["problems"].empty()) {
        std::cout << "no problems\n";
    }
}

auto printPairs(const json &page) -> void
{
    for (const auto &[key, value] : page.items()) {
        std::cout << key << ": " << (value.is_string() ? value.get<std::string>() : value.dump())
                  << '\n';
    }
}

auto printCounters(const json &page) -> void
{
    for (const auto &counter : page["counters"]) {
        std::cout << textOf(counter, "service") << ' ' << textOf(counter, "caller") << ' '
                  << textOf(counter, "event") << ' ' << textOf(counter, "reason") << ' '
                  << textOf(counter, "count") << '\n';
    }
    for (const auto &latency : page["latencies"]) {
        std::cout << textOf(latency, "service") << " latency p50 " << textOf(latency, "p50_us")
                  << " us, p99 " << textOf(latency, "p99_us") << " us, of "
                  << textOf(latency, "count") << '\n';
    }
}

auto printEvents(const json &page) -> void
{
    for (const auto &event : page["events"]) {
        std::cout << textOf(event, "at_us") << ' ' << textOf(event, "what") << ' '
                  << textOf(event, "where") << '\n';
    }
}

} // namespace

auto StatusCommand::help() const -> std::string
{
    return "status                  the cell on one screen: what is wrong and what to do";
}

auto StatusCommand::run(const CommandContext &context) const -> ExitCode
{
    return fetchAndPrint(context, "/v1/status", printStatus);
}

auto OwnerCommand::help() const -> std::string
{
    return "owner SERVICE KEY       which upstream owns a key, and who grants it";
}

auto OwnerCommand::run(const CommandContext &context) const -> ExitCode
{
    constexpr std::size_t argumentCount = 2;
    if (context.arguments.size() != argumentCount) {
        std::cerr << "usage: gooseberrywallctl owner SERVICE KEY\n";
        return ExitCode::Usage;
    }
    return fetchAndPrint(context,
                         "/v1/owner?service=" + percentEncode(context.arguments[0])
                             + "&key=" + percentEncode(context.arguments[1]),
                         printPairs);
}

auto UpstreamsCommand::help() const -> std::string
{
    return "upstreams               all upstreams with their state";
}

auto UpstreamsCommand::run(const CommandContext &context) const -> ExitCode
{
    return fetchAndPrint(context, "/v1/upstreams", printUpstreams);
}

auto CountersCommand::help() const -> std::string
{
    return "counters                how many requests ended how, by reason";
}

auto CountersCommand::run(const CommandContext &context) const -> ExitCode
{
    return fetchAndPrint(context, "/v1/counters", printCounters);
}

auto ExplainCommand::help() const -> std::string
{
    return "explain REQUEST-ID [LOGS]  where a request went: as this daemon remembers it, or by "
           "the log files of many daemons in the folder LOGS";
}

auto ExplainCommand::run(const CommandContext &context) const -> ExitCode
{
    if (context.arguments.size() == 2) {
        return explainFromLogs(context.arguments[0], context.arguments[1], std::cout);
    }
    if (context.arguments.size() != 1) {
        std::cerr << "usage: gooseberrywallctl explain REQUEST-ID [LOGS]\n";
        return ExitCode::Usage;
    }
    return fetchAndPrint(context, "/v1/explain/" + percentEncode(context.arguments[0]),
                         printEvents);
}

} // namespace gooseberrywall
