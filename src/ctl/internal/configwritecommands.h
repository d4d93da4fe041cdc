#pragma once

#include "ctl/command.h"

namespace gooseberrywall {

/// Sends the sections of a file, or only reports what they would change.
class ConfigSetCommand final : public Command
{
public:
    /// @param onlyCheck whether this is the command that changes nothing
    explicit ConfigSetCommand(bool onlyCheck);

    [[nodiscard]] auto name() const -> std::string override;
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;

private:
    bool onlyCheck;
};

/// Changes keys of one section.
class ConfigEditCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "edit"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

/// Makes an earlier version's text a section's new version.
class ConfigRollbackCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "rollback"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

/// Removes a section.
class ConfigRemoveCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "remove"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

/// Prints the hash of a team's token, and a new token if asked for. Needs no daemon.
class ConfigTokenCommand final : public Command
{
public:
    /// @param generate whether to make a random token; otherwise it is read from standard input
    explicit ConfigTokenCommand(bool generate);

    [[nodiscard]] auto name() const -> std::string override;
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;

private:
    bool generate;
};

} // namespace gooseberrywall
