#pragma once

#include "ctl/command.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>

namespace gooseberrywall {

/// Result of one call: the exit code and, if the call succeeded, the daemon's JSON.
struct ConfigAnswer
{
    ExitCode code = ExitCode::Refused;
    nlohmann::json body;
};

/// Calls a page of the configuration interface. Prints the error if the call fails, or the JSON if
/// the operator asked for JSON.
[[nodiscard]] auto callConfig(const CommandContext &context, HttpMethod method,
                              const std::string &target, const std::string &body = {})
    -> ConfigAnswer;

/// @returns the path of the section whose kind and name are the first two arguments
[[nodiscard]] auto sectionPath(const CommandContext &context) -> std::string;

/// @returns the argument as a number; std::nullopt if it isn't one
[[nodiscard]] auto toNumber(const std::string &argument) -> std::optional<std::uint64_t>;

/// Prints how a command is used.
/// @returns ExitCode::Usage
[[nodiscard]] auto printUsage(const Command &command) -> ExitCode;

/// Prints that a change was accepted and how to wait for it.
auto printAccepted(const CommandContext &context, const nlohmann::json &body) -> void;

} // namespace gooseberrywall
