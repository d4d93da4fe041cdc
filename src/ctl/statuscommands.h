#pragma once

#include "ctl/command.h"

namespace gooseberrywall {

/// Shows the state of the cell, and its problems with their remedies.
class StatusCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "status"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

/// Shows which upstream owns a key.
class OwnerCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "owner"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

/// Lists the upstreams.
class UpstreamsCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "upstreams"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

/// Shows how many requests ended in which way, and why.
class CountersCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "counters"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

/// Shows where a request went.
class ExplainCommand final : public Command
{
public:
    [[nodiscard]] auto name() const -> std::string override { return "explain"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;
};

} // namespace gooseberrywall
