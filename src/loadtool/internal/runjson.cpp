#include "loadtool/runjson.h"

#include "http/percentcoding.h"

#include <fstream>
#include <nlohmann/json.hpp>
#include <string>

namespace gooseberrywall {

namespace {

using nlohmann::json;

/// @returns whether the line could be read
auto readLine(const std::string &line, RunAudit &audit) -> bool
{
    try {
        const auto entry = json::parse(line);
        const Address upstream{entry.at("upstream").get<std::string>()};
        audit.add(runFromJson(upstream, entry));
        return true;
    } catch (const json::exception &) {
        return false;
    }
}

} // namespace

auto runFromJson(const Address &upstream, const json &entry) -> ObservedRun
{
    ObservedRun run;
    run.upstream = upstream;
    run.incarnation = {entry.at("incarnation").get<std::uint64_t>()};
    run.number = entry.at("number").get<std::uint64_t>();
    run.id = {percentDecode(entry.at("id").get<std::string>()).value_or("")};
    // The service is part of the key, as equal keys of different services are different keys.
    const auto shard = entry.at("shard").get<std::string>();
    run.key = {shard.substr(0, shard.find('/')) + '/' + entry.at("key").get<std::string>()};
    run.idempotent = entry.at("idempotent").get<bool>();
    run.start = Instant{Duration{entry.at("start_us").get<Duration::rep>()}};
    if (entry.contains("end_us")) {
        run.end = Instant{Duration{entry.at("end_us").get<Duration::rep>()}};
    }
    run.effect = entry.at("effect").get<bool>();
    return run;
}

auto readRunLogs(const std::filesystem::path &directory, RunAudit &audit) -> std::size_t
{
    std::size_t unreadable = 0;
    for (const auto &file : std::filesystem::directory_iterator(directory)) {
        if (file.path().extension() != ".runs") {
            continue;
        }
        std::ifstream lines(file.path());
        for (std::string line; std::getline(lines, line);) {
            unreadable += readLine(line, audit) ? 0 : 1;
        }
    }
    return unreadable;
}

} // namespace gooseberrywall
