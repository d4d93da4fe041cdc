#include "loadtool/internal/loadprogram.h"

#include <boost/program_options.hpp>
#include <charconv>
#include <iostream>
#include <sstream>
#include <string>

namespace {

namespace options = boost::program_options;
using namespace gooseberrywall;

auto describe() -> options::options_description
{
    options::options_description description("Sends load to daemons or upstreams' stand-ins");
    auto add = description.add_options();
    add("help", "shows this");
    add("targets", options::value<std::string>()->required(), "IP:PORT,... of daemons");
    add("direct", options::bool_switch(), "the targets are upstreams' stand-ins");
    add("upstreams", options::value<std::string>()->default_value(""),
        "IP:PORT,... of stand-ins to audit after the run");
    add("run-logs", options::value<std::string>()->default_value(""),
        "directory of the stand-ins' --run-log files, NAME.runs, to audit after the run");
    add("audit-interval-ms", options::value<int>()->default_value(0),
        "interval of audits during the run; 0: only afterwards");
    add("service", options::value<std::string>()->default_value("fitment"));
    add("rate", options::value<double>()->default_value(1000), "requests per second");
    add("duration-s", options::value<double>()->default_value(10));
    add("poisson", options::bool_switch(), "random gaps");
    add("surge-at-s", options::value<double>()->default_value(0));
    add("surge-for-s", options::value<double>()->default_value(0));
    add("surge-factor", options::value<double>()->default_value(1));
    add("idempotent-share", options::value<double>()->default_value(1));
    add("operations", options::value<std::string>()->default_value("sleep-2=1"),
        "NAME=WEIGHT,... such as sleep-2=99,sleep-200=1");
    add("keys", options::value<std::uint32_t>()->default_value(1000));
    add("zipf", options::value<double>()->default_value(1), "exponent; 0: all keys alike");
    add("seed", options::value<std::uint64_t>()->default_value(1));
    add("callers", options::value<std::string>()->default_value("load"), "NAME,...");
    add("deadline-ms", options::value<int>()->default_value(2000));
    add("body-bytes", options::value<std::size_t>()->default_value(64));
    add("resends", options::value<int>()->default_value(3));
    add("plain-ids", options::bool_switch(), "request ids without a time of issue");
    add("ask-outcomes", options::bool_switch(),
        "asks after the run how requests ended whose outcome is unknown");
    add("connections", options::value<std::size_t>()->default_value(64), "to each target");
    add("json", options::bool_switch());
    return description;
}

auto split(const std::string &list) -> std::vector<std::string>
{
    std::vector<std::string> items;
    std::istringstream stream(list);
    for (std::string item; std::getline(stream, item, ',');) {
        items.push_back(item);
    }
    return items;
}

template<typename Named>
auto namesOf(const std::string &list) -> std::vector<Named>
{
    std::vector<Named> names;
    for (auto &item : split(list)) {
        names.push_back({std::move(item)});
    }
    return names;
}

auto operationsOf(const std::string &list) -> std::vector<WeightedOperation>
{
    std::vector<WeightedOperation> operations;
    for (const auto &item : split(list)) {
        const auto equals = item.find('=');
        WeightedOperation operation{item.substr(0, equals), 1.0};
        if (equals != std::string::npos) {
            operation.weight = std::stod(item.substr(equals + 1));
        }
        operations.push_back(std::move(operation));
    }
    return operations;
}

auto seconds(double value) -> Duration
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>{value});
}

auto loadSettings(const options::variables_map &values) -> LoadSettings
{
    LoadSettings load;
    load.service = {values["service"].as<std::string>()};
    load.rate = values["rate"].as<double>();
    load.duration = seconds(values["duration-s"].as<double>());
    load.poisson = values["poisson"].as<bool>();
    load.surge = {seconds(values["surge-at-s"].as<double>()),
                  seconds(values["surge-for-s"].as<double>()), values["surge-factor"].as<double>()};
    load.idempotentShare = values["idempotent-share"].as<double>();
    load.operations = operationsOf(values["operations"].as<std::string>());
    load.keys = values["keys"].as<std::uint32_t>();
    load.zipfExponent = values["zipf"].as<double>();
    load.seed = values["seed"].as<std::uint64_t>();
    load.callers = namesOf<CallerId>(values["callers"].as<std::string>());
    load.deadline = std::chrono::milliseconds{values["deadline-ms"].as<int>()};
    load.bodyBytes = values["body-bytes"].as<std::size_t>();
    load.resends = values["resends"].as<int>();
    load.timedIds = !values["plain-ids"].as<bool>();
    return load;
}

auto programSettings(const options::variables_map &values) -> LoadProgramSettings
{
    LoadProgramSettings program;
    program.load = loadSettings(values);
    program.targets = namesOf<Address>(values["targets"].as<std::string>());
    program.direct = values["direct"].as<bool>();
    program.upstreams = namesOf<Address>(values["upstreams"].as<std::string>());
    program.runLogDirectory = values["run-logs"].as<std::string>();
    program.auditInterval = std::chrono::milliseconds{values["audit-interval-ms"].as<int>()};
    program.queriesOutcomes = values["ask-outcomes"].as<bool>();
    program.connections = values["connections"].as<std::size_t>();
    return program;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto description = describe();
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.contains("help")) {
            std::cout << description;
            return 0;
        }
        options::notify(values);
        const auto report = runLoad(programSettings(values));
        if (report.tally.total() == 0) {
            std::cerr
                << "no request was sent: the targets did not accept their grants "
                   "(check that they run and hold no higher fence), or the run is too short\n";
            return 1;
        }
        std::cout << (values["json"].as<bool>() ? toJsonText(report) + '\n' : toText(report));
    } catch (const options::error &error) {
        std::cerr << error.what() << "; see --help\n";
        return 2;
    } catch (const std::invalid_argument &) {
        std::cerr
            << "WEIGHT in NAME=WEIGHT is not a number; give one, as in sleep-2=99; see --help\n";
        return 2;
    }
    return 0;
}
