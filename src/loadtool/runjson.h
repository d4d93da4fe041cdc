#pragma once

#include "loadtool/runaudit.h"

#include <filesystem>
#include <nlohmann/json_fwd.hpp>

namespace gooseberrywall {

/// Parses a run in the JSON form of the upstream stand-in.
/// @param upstream the address of the stand-in
/// @throws nlohmann::json::exception if a field is missing or of the wrong type
[[nodiscard]] auto runFromJson(const Address &upstream, const nlohmann::json &entry) -> ObservedRun;

/// Reads the ".runs" files that stand-ins have written with --run-log.
/// @param directory the directory of the files
/// @param audit receives the runs
/// @returns the number of lines that could not be parsed
auto readRunLogs(const std::filesystem::path &directory, RunAudit &audit) -> std::size_t;

} // namespace gooseberrywall
