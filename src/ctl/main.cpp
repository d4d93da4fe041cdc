#include "ctl/configcommands.h"
#include "ctl/ordercommands.h"
#include "ctl/statuscommands.h"

#include <boost/program_options.hpp>

#include <cstdlib>
#include <iostream>
#include <memory>

using namespace gooseberrywall;
namespace options = boost::program_options;

namespace {

using Commands = std::vector<std::unique_ptr<Command>>;

auto makeCommands() -> Commands
{
    Commands commands;
    commands.push_back(std::make_unique<StatusCommand>());
    commands.push_back(std::make_unique<OwnerCommand>());
    commands.push_back(std::make_unique<UpstreamsCommand>());
    commands.push_back(std::make_unique<CountersCommand>());
    commands.push_back(std::make_unique<ExplainCommand>());
    commands.push_back(std::make_unique<DrainCommand>(false));
    commands.push_back(std::make_unique<DrainCommand>(true));
    commands.push_back(std::make_unique<QuarantineCommand>());
    commands.push_back(std::make_unique<ConfigCommand>());
    return commands;
}

auto describeOptions() -> options::options_description
{
    options::options_description description("Options");
    auto add = description.add_options();
    add("help", "print this text");
    add("admin", options::value<std::string>()->default_value("127.0.0.1:8002"),
        "a daemon's administration address, ip:port");
    add("token", options::value<std::string>(),
        "operator or team token; process lists show it, so prefer the variable "
        "GOOSEBERRYWALL_TOKEN");
    add("timeout-ms", options::value<int>()->default_value(15000),
        "how long to wait for the reply");
    add("json", "print the daemon's JSON instead of text");
    return description;
}

auto printHelp(const Commands &commands, const options::options_description &description) -> void
{
    std::cout << "gooseberrywallctl shows and controls a cell of gooseberrywall daemons.\n"
                 "Usage: gooseberrywallctl [options] COMMAND [arguments]\n\nCommands:\n";
    for (const auto &command : commands) {
        std::cout << "  " << command->help() << '\n';
    }
    std::cout << "\nExit codes: 0 done, 1 wrong usage, 2 refused, 3 conflict, 4 unreachable, "
                 "5 timed out\n\n"
              << description;
}

auto tokenOf(const options::variables_map &values) -> std::string
{
    if (values.count("token") > 0) {
        return values["token"].as<std::string>();
    }
    const auto *token = std::getenv("GOOSEBERRYWALL_TOKEN");
    return token == nullptr ? "" : token;
}

auto runCommand(const Commands &commands, const options::variables_map &values,
                std::vector<std::string> words) -> ExitCode
{
    const auto name = words.front();
    words.erase(words.begin());
    for (const auto &command : commands) {
        if (command->name() != name) {
            continue;
        }
        if (values.count("help") > 0) {
            std::cout << "  " << command->help() << '\n';
            return ExitCode::Ok;
        }
        const AdminClientSettings settings{
            {values["admin"].as<std::string>()}, tokenOf(values), values["timeout-ms"].as<int>()};
        return command->run({AdminClient(settings), values.count("json") > 0, std::move(words)});
    }
    std::cerr << "unknown command " << name << "; gooseberrywallctl --help lists them\n";
    return ExitCode::Usage;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto commands = makeCommands();
    const auto description = describeOptions();
    options::options_description all;
    all.add(description).add_options()("words", options::value<std::vector<std::string>>(), "");
    options::positional_options_description positional;
    positional.add("words", -1);
    options::variables_map values;
    try {
        options::store(
            options::command_line_parser(argc, argv).options(all).positional(positional).run(),
            values);
    } catch (const options::error &error) {
        std::cerr << error.what() << "; gooseberrywallctl --help lists the options\n";
        return static_cast<int>(ExitCode::Usage);
    }
    if (values.count("words") == 0) {
        printHelp(commands, description);
        return static_cast<int>(values.count("help") > 0 ? ExitCode::Ok : ExitCode::Usage);
    }
    try {
        const auto words = values["words"].as<std::vector<std::string>>();
        return static_cast<int>(runCommand(commands, values, words));
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return static_cast<int>(ExitCode::Refused);
    }
}
