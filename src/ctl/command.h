#pragma once

#include "ctl/adminclient.h"

#include <string>
#include <vector>

namespace gooseberrywall {

/// Exit codes for scripts.
enum class ExitCode : int {
    Ok = 0,
    Usage = 1,
    Refused = 2,
    Conflict = 3,
    /// The daemon, or the store behind it, can't be reached; nothing has changed.
    Unreachable = 4,
    /// It isn't known whether the command has taken effect.
    TimedOut = 5,
};

/// The input of a subcommand.
struct CommandContext
{
    AdminClient client;
    /// Print the daemon's JSON unchanged instead of text.
    bool json = false;
    /// The arguments after the subcommand's name.
    std::vector<std::string> arguments;
};

/// A subcommand of gooseberrywallctl.
class Command
{
public:
    Command() = default;
    virtual ~Command() = default;
    Command(const Command &) = delete;
    auto operator=(const Command &) -> Command & = delete;

    [[nodiscard]] virtual auto name() const -> std::string = 0;
    /// @returns the subcommand with its arguments and what it does, for --help
    [[nodiscard]] virtual auto help() const -> std::string = 0;
    [[nodiscard]] virtual auto run(const CommandContext &context) const -> ExitCode = 0;
};

/// Prints the error of an answer that isn't a success.
/// @returns ExitCode::Ok for a status from 200 to 299, otherwise the exit code for the error
[[nodiscard]] auto checkAnswer(const HttpAnswer &answer) -> ExitCode;

} // namespace gooseberrywall
