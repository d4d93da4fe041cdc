#include "ctl/logexplanation.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>

namespace gooseberrywall {

namespace {

/// Lines of a daemon's state are context of a request from this long before its first line.
constexpr int contextSeconds = 10;

/// @returns the value of `key` in a line of key=value pairs; empty if the key is missing
auto valueOf(const std::string &text, const std::string &key) -> std::string
{
    const auto position = (" " + text).find(" " + key + "=");
    if (position == std::string::npos) {
        return {};
    }
    const auto start = position + key.size() + 1;
    return text.substr(start, text.find(' ', start) - start);
}

/// @returns the second of the day of a time such as 2026-03-29T20:03:01.796Z; -1 if it is too short
auto secondOfDay(const std::string &time) -> int
{
    constexpr std::size_t clockPosition = 11;
    if (time.size() < clockPosition + 8) {
        return -1;
    }
    const auto number = [&](std::size_t position) {
        return std::atoi(time.substr(position, 2).c_str());
    };
    return number(clockPosition) * 3600 + number(clockPosition + 3) * 60
           + number(clockPosition + 6);
}

} // namespace

auto explainRequest(const std::string &request, const std::vector<LogRow> &rows)
    -> std::vector<LogRow>
{
    std::vector<LogRow> result;
    std::set<std::string> sources;
    std::set<std::string> services;
    for (const auto &row : rows) {
        if (valueOf(row.text, "request") == request) {
            result.push_back(row);
            sources.insert(row.source);
            services.insert(valueOf(row.text, "service"));
        }
    }
    if (result.empty()) {
        return result;
    }
    const auto byTime = [](const LogRow &left, const LogRow &right) {
        return left.time < right.time;
    };
    std::stable_sort(result.begin(), result.end(), byTime);
    const auto first = result.front().time;
    const auto last = result.back().time;
    for (const auto &row : rows) {
        const auto service = valueOf(row.text, "service");
        const auto isContext =
            valueOf(row.text, "request").empty()
            && (sources.contains(row.source) || (!service.empty() && services.contains(service)));
        const auto secondsBeforeFirst = secondOfDay(first) - secondOfDay(row.time);
        if (isContext && row.time <= last && secondsBeforeFirst <= contextSeconds) {
            result.push_back(row);
        }
    }
    std::stable_sort(result.begin(), result.end(), byTime);
    return result;
}

auto explainFromLogs(const std::string &request, const std::string &folder, std::ostream &output)
    -> ExitCode
{
    std::error_code failure;
    const std::filesystem::recursive_directory_iterator files(folder, failure);
    if (failure) {
        std::cerr << folder << ": can't be read; name the folder with the daemons' log files\n";
        return ExitCode::Unreachable;
    }
    std::vector<LogRow> rows;
    for (const auto &file : files) {
        std::ifstream input(file.path());
        for (std::string line; std::getline(input, line);) {
            const auto position = line.find("time=");
            if (position != std::string::npos) {
                rows.push_back(LogRow{valueOf(line.substr(position), "time"),
                                      file.path().filename().string(), line.substr(position)});
            }
        }
    }
    const auto found = explainRequest(request, rows);
    if (found.empty()) {
        std::cerr << "no log line names the request; only sampled requests and unusual events are "
                     "logged\n";
        return ExitCode::Refused;
    }
    for (const auto &row : found) {
        output << row.source << "  " << row.text << '\n';
    }
    return ExitCode::Ok;
}

} // namespace gooseberrywall
