#pragma once

#include "ctl/command.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace gooseberrywall {

/// A line of a daemon's log.
struct LogRow
{
    /// The time as written; times sort correctly as text.
    std::string time;
    /// Name of the file that contains the line.
    std::string source;
    std::string text;
    auto operator==(const LogRow &) const -> bool = default;
};

/// Finds the log lines that explain one request: those that name it, and those from shortly before
/// and during it that name no request and come from its daemons or concern its services
/// (configuration, grantors, owners, losses).
/// @param rows lines of all daemons, in any order
/// @returns the lines in order of time; empty if none names the request
[[nodiscard]] auto explainRequest(const std::string &request, const std::vector<LogRow> &rows)
    -> std::vector<LogRow>;

/// Prints a request's history from the log files in a folder and its subfolders.
/// @returns Refused if no line names the request, Unreachable if the folder can't be read
[[nodiscard]] auto explainFromLogs(const std::string &request, const std::string &folder,
                                   std::ostream &output) -> ExitCode;

} // namespace gooseberrywall
