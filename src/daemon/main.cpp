#include "common/exitcodes.h"
#include "common/textfile.h"
#include "daemon/daemon.h"
#include "settings/settingsloader.h"

#include <boost/program_options.hpp>
#include <pthread.h>

#include <csignal>
#include <iostream>
#include <thread>

using namespace gooseberrywall;
namespace options = boost::program_options;

namespace {

/// @returns the override in a text "section.key=value"; std::nullopt if it has another form
auto parseOverride(const std::string &text) -> std::optional<SettingsOverride>
{
    const auto dot = text.find('.');
    const auto equals = text.find('=');
    if (dot == std::string::npos || equals == std::string::npos || dot > equals) {
        return std::nullopt;
    }
    return SettingsOverride{text.substr(0, dot), text.substr(dot + 1, equals - dot - 1),
                            text.substr(equals + 1)};
}

auto describeOptions() -> options::options_description
{
    options::options_description description(
        "gooseberrywalld routes requests to the upstreams that own their keys.\n"
        "Usage: gooseberrywalld --config FILE [--set section.key=value]...\n\nOptions");
    auto add = description.add_options();
    add("help", "print this text");
    add("config", options::value<std::string>(), "the settings file (INI)");
    add("set", options::value<std::vector<std::string>>(),
        "section.key=value: a setting that overrides the file's; may be repeated");
    add("check", "check the settings and exit");
    return description;
}

auto loadSettings(const options::variables_map &values) -> std::optional<DaemonSettings>
{
    const auto fileName = values["config"].as<std::string>();
    const auto text = readTextFile(fileName);
    if (!text) {
        std::cerr << fileName << ": can't be read; check the path and its permissions\n";
        return std::nullopt;
    }
    std::vector<SettingsOverride> overrides;
    if (values.count("set") > 0) {
        for (const auto &argument : values["set"].as<std::vector<std::string>>()) {
            const auto parsed = parseOverride(argument);
            if (!parsed) {
                std::cerr << "--set " << argument << ": is not of the form section.key=value\n";
                return std::nullopt;
            }
            overrides.push_back(*parsed);
        }
    }
    SettingsLoader loader;
    auto settings = loader.load(*text, fileName, overrides);
    if (!settings) {
        std::cerr << loader.lastError().text() << '\n';
    }
    return settings;
}

/// Runs a daemon until SIGTERM or SIGINT, and through the graceful shutdown that follows.
auto runDaemon(const DaemonSettings &settings) -> void
{
    // The signals are blocked in all threads, so that signalThread can wait for them.
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    Daemon daemon(settings);
    daemon.start();
    std::thread signalThread([&signals, &daemon] {
        int signal = 0;
        sigwait(&signals, &signal);
        daemon.requestShutdown();
    });
    daemon.run();
    signalThread.join();
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto description = describeOptions();
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << error.what() << "; gooseberrywalld --help lists the options\n";
        return exitUsage;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return exitOk;
    }
    if (values.count("config") == 0) {
        std::cerr << "--config FILE is missing; gooseberrywalld --help lists the options\n";
        return exitUsage;
    }
    const auto settings = loadSettings(values);
    if (!settings) {
        return exitUsage;
    }
    if (values.count("check") > 0) {
        std::cout << "the settings are valid\n";
        return exitOk;
    }
    try {
        runDaemon(*settings);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return exitFailed;
    }
    return exitOk;
}
