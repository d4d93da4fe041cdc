#include "ctl/configcommands.h"

#include "ctl/internal/configreadcommands.h"
#include "ctl/internal/configwritecommands.h"

#include <iostream>

namespace gooseberrywall {

ConfigCommand::ConfigCommand()
{
    this->commands.push_back(std::make_unique<ConfigGetCommand>());
    this->commands.push_back(std::make_unique<ConfigSetCommand>(false));
    this->commands.push_back(std::make_unique<ConfigSetCommand>(true));
    this->commands.push_back(std::make_unique<ConfigEditCommand>());
    this->commands.push_back(std::make_unique<ConfigDiffCommand>());
    this->commands.push_back(std::make_unique<ConfigHistoryCommand>());
    this->commands.push_back(std::make_unique<ConfigRollbackCommand>());
    this->commands.push_back(std::make_unique<ConfigRemoveCommand>());
    this->commands.push_back(std::make_unique<ConfigWaitCommand>());
    this->commands.push_back(std::make_unique<ConfigKeysCommand>());
    this->commands.push_back(std::make_unique<ConfigTokenCommand>(true));
    this->commands.push_back(std::make_unique<ConfigTokenCommand>(false));
}

auto ConfigCommand::help() const -> std::string
{
    auto text = std::string{};
    for (const auto &command : this->commands) {
        text += (text.empty() ? "" : "\n  ") + command->help();
    }
    return text;
}

auto ConfigCommand::run(const CommandContext &context) const -> ExitCode
{
    auto subcommandContext = context;
    const auto subcommandName =
        subcommandContext.arguments.empty() ? std::string{} : subcommandContext.arguments.front();
    for (const auto &command : this->commands) {
        if (command->name() == subcommandName) {
            subcommandContext.arguments.erase(subcommandContext.arguments.begin());
            return command->run(subcommandContext);
        }
    }
    std::cerr << "usage:\n  " << this->help() << '\n';
    return ExitCode::Usage;
}

} // namespace gooseberrywall
