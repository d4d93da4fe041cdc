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

/// Fetches a page and prints it as text or as it came.
auto show(const CommandContext &context, const std::string &target, Printer print) -> ExitCode
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
        std::cerr << "the daemon's answer can't be read; compare the versions\n";
        return ExitCode::Refused;
    }
    print(page);
    return ExitCode::Ok;
}

auto word(const json &page, const char *key) -> std::string
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
    constexpr int wide = 20;
    constexpr int narrow = 10;
    printColumn("UPSTREAM", wide);
    printColumn("SERVICE", wide);
    printColumn("DOMAIN", narrow);
    printColumn("STATE", narrow);
    printColumn("SHARDS", narrow);
    printColumn("GRANTOR", narrow);
    std::cout << "STAND-BY\n";
    for (const auto &upstream : list) {
        printColumn(word(upstream, "id"), wide);
        printColumn(word(upstream, "service"), wide);
        printColumn(word(upstream, "domain"), narrow);
        printColumn(word(upstream, "state"), narrow);
        printColumn(word(upstream, "shards"), narrow);
        printColumn(word(upstream, "grantor"), narrow);
        std::cout << word(upstream, "standby") << '\n';
    }
}

auto printStatus(const json &page) -> void
{
    std::cout << "daemon " << word(page, "daemon") << " in " << word(page, "domain")
              << ", ready: " << word(page, "ready") << "\ncoordinator " << word(page, "coordinator")
              << ", table version " << word(page, "table_version") << "\nshards "
              << word(page, "shards") << ", unowned " << word(page, "unowned_shards")
              << ", pinned keys " << word(page, "pinned_keys") << "\ndaemons:";
    for (const auto &member : page["members"]) {
        std::cout << ' ' << word(member, "id") << '(' << word(member, "domain") << ", "
                  << word(member, "state") << ')';
    }
    std::cout << '\n';
    if (page.contains("upstreams")) {
        printUpstreams(page["upstreams"]);
    }
    if (page.contains("transfers")) {
        for (const auto &transfer : page["transfers"]) {
            std::cout << "moving " << word(transfer, "service") << " shard "
                      << word(transfer, "shard") << ": " << word(transfer, "from") << " to "
                      << word(transfer, "to") << '\n';
        }
    }
    for (const auto &problem : page["problems"]) {
        std::cout << "PROBLEM: " << word(problem, "what") << ". " << word(problem, "remedy")
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
        std::cout << word(counter, "service") << ' ' << word(counter, "caller") << ' '
                  << word(counter, "event") << ' ' << word(counter, "reason") << ' '
                  << word(counter, "count") << '\n';
    }
    for (const auto &latency : page["latencies"]) {
        std::cout << word(latency, "service") << " latency p50 " << word(latency, "p50_us")
                  << " us, p99 " << word(latency, "p99_us") << " us, of " << word(latency, "count")
                  << '\n';
    }
}

auto printEvents(const json &page) -> void
{
    for (const auto &event : page["events"]) {
        std::cout << word(event, "at_us") << ' ' << word(event, "what") << ' '
                  << word(event, "where") << '\n';
    }
}

} // namespace

auto StatusCommand::help() const -> std::string
{
    return "status                  the cell on one screen: what is wrong and what to do";
}

auto StatusCommand::run(const CommandContext &context) const -> ExitCode
{
    return show(context, "/v1/status", printStatus);
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
    return show(context,
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
    return show(context, "/v1/upstreams", printUpstreams);
}

auto CountersCommand::help() const -> std::string
{
    return "counters                how many requests ended how, by reason";
}

auto CountersCommand::run(const CommandContext &context) const -> ExitCode
{
    return show(context, "/v1/counters", printCounters);
}

auto ExplainCommand::help() const -> std::string
{
    return "explain REQUEST-ID [LOGS]  where a request went: as this daemon remembers it, or by "
           "the log files of many daemons in the folder LOGS";
}

auto ExplainCommand::run(const CommandContext &context) const -> ExitCode
{
    if (context.arguments.size() == 2) {
        return explainByLogs(context.arguments[0], context.arguments[1], std::cout);
    }
    if (context.arguments.size() != 1) {
        std::cerr << "usage: gooseberrywallctl explain REQUEST-ID [LOGS]\n";
        return ExitCode::Usage;
    }
    return show(context, "/v1/explain/" + percentEncode(context.arguments[0]), printEvents);
}

} // namespace gooseberrywall
