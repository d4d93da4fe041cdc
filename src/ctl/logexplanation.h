#pragma once

#include "ctl/command.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace gooseberrywall {

/// A line of a daemon's log.
struct LogRow
{
    /// Its time as written, which sorts as text.
    std::string time;
    /// The file that it stands in.
    std::string source;
    std::string text;
    auto operator==(const LogRow &) const -> bool = default;
};

/// Finds what logs say of one request: its own lines, and what the daemons that it passed believed
/// meanwhile (configuration, grantors, owners, losses).
/// @param rows lines of all daemons, in any order
/// @returns the lines in the order of their times; empty where none names the request
[[nodiscard]] auto explainRequest(const std::string &request, const std::vector<LogRow> &rows)
    -> std::vector<LogRow>;

/// Prints a request's history from the files of a folder.
/// @returns Refused where no line names the request, Unreachable where the folder can't be read
[[nodiscard]] auto explainByLogs(const std::string &request, const std::string &folder,
                                 std::ostream &output) -> ExitCode;

} // namespace gooseberrywall
