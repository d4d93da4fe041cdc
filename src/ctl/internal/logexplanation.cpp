#include "ctl/logexplanation.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>

namespace gooseberrywall {

namespace {

/// Lines about what a daemon believes count for a request from this long before its first line.
constexpr int beliefSeconds = 10;

/// @returns the value of `key` in a line of key=value pairs; empty where it is missing
auto fieldOf(const std::string &text, const std::string &key) -> std::string
{
    const auto at = (" " + text).find(" " + key + "=");
    if (at == std::string::npos) {
        return {};
    }
    const auto start = at + key.size() + 1;
    return text.substr(start, text.find(' ', start) - start);
}

/// @returns the second within the day of a time such as 2026-03-29T20:03:01.796Z
auto secondOfDay(const std::string &time) -> int
{
    constexpr std::size_t clockAt = 11;
    if (time.size() < clockAt + 8) {
        return -1;
    }
    const auto number = [&](std::size_t at) { return std::atoi(time.substr(at, 2).c_str()); };
    return number(clockAt) * 3600 + number(clockAt + 3) * 60 + number(clockAt + 6);
}

} // namespace

auto explainRequest(const std::string &request, const std::vector<LogRow> &rows)
    -> std::vector<LogRow>
{
    std::vector<LogRow> own;
    std::set<std::string> sources;
    std::set<std::string> services;
    for (const auto &row : rows) {
        if (fieldOf(row.text, "request") == request) {
            own.push_back(row);
            sources.insert(row.source);
            services.insert(fieldOf(row.text, "service"));
        }
    }
    if (own.empty()) {
        return own;
    }
    const auto byTime = [](const LogRow &left, const LogRow &right) {
        return left.time < right.time;
    };
    std::stable_sort(own.begin(), own.end(), byTime);
    const auto first = own.front().time;
    const auto last = own.back().time;
    for (const auto &row : rows) {
        const auto service = fieldOf(row.text, "service");
        const auto isBelief =
            fieldOf(row.text, "request").empty()
            && (sources.contains(row.source) || (!service.empty() && services.contains(service)));
        const auto age = secondOfDay(first) - secondOfDay(row.time);
        if (isBelief && row.time <= last && age <= beliefSeconds) {
            own.push_back(row);
        }
    }
    std::stable_sort(own.begin(), own.end(), byTime);
    return own;
}

auto explainByLogs(const std::string &request, const std::string &folder, std::ostream &output)
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
            const auto at = line.find("time=");
            if (at != std::string::npos) {
                rows.push_back(LogRow{fieldOf(line.substr(at), "time"),
                                      file.path().filename().string(), line.substr(at)});
            }
        }
    }
    const auto found = explainRequest(request, rows);
    if (found.empty()) {
        std::cerr << "no line names the request; sampled requests and unusual events are logged\n";
        return ExitCode::Refused;
    }
    for (const auto &row : found) {
        output << row.source << "  " << row.text << '\n';
    }
    return ExitCode::Ok;
}

} // namespace gooseberrywall
