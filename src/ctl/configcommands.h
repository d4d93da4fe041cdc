#pragma once

#include "ctl/command.h"

#include <memory>
#include <vector>

namespace gooseberrywall {

/// Reads and edits the operators' configuration: `config SUBCOMMAND ...`, with one class per
/// subcommand.
class ConfigCommand final : public Command
{
public:
    ConfigCommand();

    [[nodiscard]] auto name() const -> std::string override { return "config"; }
    [[nodiscard]] auto help() const -> std::string override;
    [[nodiscard]] auto run(const CommandContext &context) const -> ExitCode override;

private:
    std::vector<std::unique_ptr<Command>> commands;
};

} // namespace gooseberrywall
