#include "stubs/upstream/internal/upstreamprogram.h"

#include <boost/program_options.hpp>
#include <chrono>
#include <csignal>
#include <iostream>
#include <string>

namespace {

namespace options = boost::program_options;
using namespace gooseberrywall;

auto optionsDescription() -> options::options_description
{
    options::options_description description("Stand-in for an upstream");
    auto add = description.add_options();
    add("help", "print this help and exit");
    add("id", options::value<std::string>()->required(), "the upstream's id");
    add("service", options::value<std::string>()->required(),
        "the service that the upstream belongs to");
    add("domain", options::value<std::string>()->default_value("fd1"), "its failure domain");
    add("listen", options::value<std::string>()->default_value("127.0.0.1:0"), "IP:PORT");
    add("platform", options::value<std::string>(), "IP:PORT of the platform's stand-in");
    add("run-log", options::value<std::string>(), "file to which all runs are appended");
    add("slots", options::value<int>()->default_value(3));
    add("queue", options::value<std::size_t>()->default_value(8),
        "most runs that may wait for a slot");
    add("checks-sender", options::value<bool>()->default_value(true), "0 or 1");
    add("grants-expire", options::value<bool>()->default_value(true), "0 or 1");
    add("service-time-ms", options::value<double>()->default_value(2.0));
    add("cold-start-ms", options::value<int>()->default_value(0));
    add("cold-factor", options::value<double>()->default_value(4.0));
    add("drain-grace-ms", options::value<int>()->default_value(3000));
    add("report-lag-ms", options::value<int>()->default_value(0));
    return description;
}

auto millisecondsOf(const options::variables_map &values, const char *name) -> Duration
{
    return std::chrono::milliseconds{values[name].as<int>()};
}

auto modelSettings(const options::variables_map &values) -> UpstreamModelSettings
{
    UpstreamModelSettings model;
    model.id = {values["id"].as<std::string>()};
    model.checksSender = values["checks-sender"].as<bool>();
    model.grantsExpire = values["grants-expire"].as<bool>();
    model.slots = values["slots"].as<int>();
    model.queueLimit = values["queue"].as<std::size_t>();
    model.serviceTime = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double, std::milli>{values["service-time-ms"].as<double>()});
    model.coldStart = millisecondsOf(values, "cold-start-ms");
    model.coldStartFactor = values["cold-factor"].as<double>();
    model.drainGrace = millisecondsOf(values, "drain-grace-ms");
    model.reportLag = millisecondsOf(values, "report-lag-ms");
    return model;
}

auto programSettings(const options::variables_map &values) -> UpstreamProgramSettings
{
    UpstreamProgramSettings program;
    program.model = modelSettings(values);
    program.service = {values["service"].as<std::string>()};
    program.domain = {values["domain"].as<std::string>()};
    program.listen = {values["listen"].as<std::string>()};
    if (values.contains("platform")) {
        program.platform = Address{values["platform"].as<std::string>()};
    }
    if (values.contains("run-log")) {
        program.runLog = values["run-log"].as<std::string>();
    }
    return program;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto description = optionsDescription();
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << "; see --help\n";
        return 2;
    }
    return runUpstreamProgram(programSettings(values));
}
