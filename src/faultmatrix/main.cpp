#include "faultmatrix/matrix.h"

#include <boost/program_options.hpp>

#include <chrono>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

using namespace gooseberrywall;
namespace options = boost::program_options;

namespace {

auto describe() -> options::options_description
{
    options::options_description description(
        "Tries every fault at every step of the core, in virtual time.\nOptions");
    auto add = description.add_options();
    add("help", "print this text");
    add("scenario", options::value<std::string>(), "run only this scenario");
    add("fault", options::value<std::string>(), "with --step: replay one case with its trace");
    add("step", options::value<std::uint64_t>(),
        "with --fault: number of the step at which the fault happens");
    add("second-fault", options::value<std::string>()->default_value("none"), "for pairs");
    add("second-step", options::value<std::uint64_t>()->default_value(0), "for pairs");
    add("seed", options::value<std::uint64_t>()->default_value(1),
        "seed of the world and of the pairs");
    add("upstreams-check-sender", options::value<bool>()->default_value(true),
        "whether upstreams check the sender of an order, 0 or 1");
    add("pairs", options::value<std::uint64_t>()->default_value(0),
        "number of pairs of faults per scenario");
    add("steps-only", "print the steps of the scenario without faults");
    add("threads", options::value<unsigned>()->default_value(8),
        "number of cases that run in parallel");
    add("compare", options::value<std::string>(),
        "fail if this file differs from the table of results");
    add("write", options::value<std::string>(), "write the table of results to this file");
    return description;
}

auto scenarioOf(const std::string &text) -> std::optional<ScenarioKind>
{
    for (int number = 0; number < scenarioKinds; ++number) {
        if (toString(static_cast<ScenarioKind>(number)) == text) {
            return static_cast<ScenarioKind>(number);
        }
    }
    return std::nullopt;
}

auto faultOf(const std::string &text) -> std::optional<FaultKind>
{
    for (int number = 0; number < faultKinds; ++number) {
        if (toString(static_cast<FaultKind>(number)) == text) {
            return static_cast<FaultKind>(number);
        }
    }
    return std::nullopt;
}

auto printResult(const CaseResult &result) -> void
{
    std::cout
        << "requests " << result.requests << ", answered " << result.answered << ", refused "
        << result.refused << ", unknown " << result.unknown << ", longest unavailability "
        << std::chrono::duration_cast<std::chrono::milliseconds>(result.unavailability).count()
        << " ms\n";
    for (const auto &violation : result.violations) {
        std::cout << "VIOLATION " << violation << '\n';
    }
}

/// Runs one case with its trace.
auto replay(ScenarioKind scenario, const WorldOptions &world, const options::variables_map &values)
    -> int
{
    std::vector<PlannedFault> faults;
    if (values.count("fault") > 0 && values.count("step") > 0) {
        const auto fault = faultOf(values["fault"].as<std::string>());
        const auto second = faultOf(values["second-fault"].as<std::string>());
        if (!fault || !second) {
            std::cerr << "unknown fault on the command line; docs/FAULTS.md lists the faults\n";
            return 2;
        }
        faults.push_back({*fault, values["step"].as<std::uint64_t>()});
        faults.push_back({*second, values["second-step"].as<std::uint64_t>()});
    }
    const auto result = runScenario(scenario, world, faults,
                                    [](const std::string &line) { std::cout << line << '\n'; });
    printResult(result);
    return result.violations.empty() ? 0 : 1;
}

/// @returns whether a file contains exactly the page of this run
auto isUpToDate(const std::string &fileName, const MatrixResult &result) -> bool
{
    std::ifstream file(fileName);
    const std::string content{std::istreambuf_iterator<char>(file), {}};
    if (content == faultsPage(result)) {
        return true;
    }
    std::cout << fileName
              << " differs from the results of this run; regenerate it with tools/faults.sh\n";
    return false;
}

} // namespace

auto main(int argc, char **argv) -> int
{
    const auto description = describe();
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
    } catch (const options::error &error) {
        std::cerr << error.what() << "; see --help\n";
        return 2;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    MatrixSettings settings;
    settings.world.seed = values["seed"].as<std::uint64_t>();
    settings.world.checksSender = values["upstreams-check-sender"].as<bool>();
    settings.pairs = values["pairs"].as<std::uint64_t>();
    settings.threads = values["threads"].as<unsigned>();
    if (values.count("scenario") > 0) {
        const auto scenario = scenarioOf(values["scenario"].as<std::string>());
        if (!scenario) {
            std::cerr << "--scenario is unknown; docs/FAULTS.md lists the scenarios\n";
            return 2;
        }
        if (values.count("fault") > 0 || values.count("steps-only") > 0) {
            return replay(*scenario, settings.world, values);
        }
        settings.scenarios = {*scenario};
    }
    const auto result = runMatrix(settings, std::cout);
    if (values.count("write") > 0) {
        std::ofstream(values["write"].as<std::string>()) << faultsPage(result);
    }
    if (values.count("compare") > 0 && !isUpToDate(values["compare"].as<std::string>(), result)) {
        return 1;
    }
    return result.violations.empty() ? 0 : 1;
}
