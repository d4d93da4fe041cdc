#pragma once

#include "ctl/command.h"

namespace gooseberrywall {

/// Prints a section, or the whole document, in the format that `config set` reads.
class ConfigGetCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "get"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

/// Compares two accepted versions of a section.
class ConfigDiffCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "diff"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

/// Lists the accepted versions of a section.
class ConfigHistoryCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "history"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

/// Waits until a generation is in force at every live daemon.
class ConfigWaitCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "wait"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

/// Describes all keys. Needs no daemon, except with --json, which prints a daemon's description.
class ConfigKeysCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "keys"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

} // namespace gooseberrywall
