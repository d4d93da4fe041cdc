#include "common/exitcodes.h"
#include "soak/soakcell.h"

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

using namespace gooseberrywall;
namespace options = boost::program_options;

namespace {

auto seedsOf(const options::variables_map &values) -> std::vector<std::uint64_t>
{
    std::vector<std::uint64_t> seeds;
    if (values.count("seed-file") > 0) {
        std::ifstream file(values["seed-file"].as<std::string>());
        for (std::string line; std::getline(file, line);) {
            seeds.push_back(std::strtoull(line.c_str(), nullptr, 10));
        }
        return seeds;
    }
    const auto first = values["first-seed"].as<std::uint64_t>();
    for (auto index = 0; index < values["seeds"].as<int>(); ++index) {
        seeds.push_back(first + static_cast<std::uint64_t>(index));
    }
    return seeds;
}

/// @returns whether the run had no violations
auto runSeed(const options::variables_map &values, std::uint64_t seed) -> bool
{
    SoakSettings settings;
    settings.program = values["program"].as<std::string>();
    settings.seed = seed;
    settings.daemons = values["daemons"].as<int>();
    settings.hasAnswerFaults = values.count("answer-faults") > 0;
    settings.hasOnlyStops = values.count("only-stops") > 0;
    settings.hasLeaves = values.count("leaves") > 0;
    settings.hasOnlyCuts = values.count("cuts") > 0;
    settings.faultTime = std::chrono::seconds{values["seconds"].as<int>()};
    settings.folder = std::filesystem::path(values["folder"].as<std::string>())
                      / ("seed-" + std::to_string(seed));
    std::filesystem::remove_all(settings.folder);
    std::filesystem::create_directories(settings.folder);
    SoakCell cell(settings);
    const auto report = cell.run();
    std::cout << "seed " << seed << ": sent " << report.sent << ", served " << report.served
              << ", refused " << report.refused << ", unknown " << report.unknown << ", faults "
              << report.faults.size() << ", violations " << report.violations.size() << std::endl;
    for (const auto &violation : report.violations) {
        std::cout << "  " << violation << std::endl;
    }
    for (const auto &fault : report.faults) {
        if (!report.violations.empty()) {
            std::cout << "    " << fault << std::endl;
        }
    }
    return report.violations.empty();
}

} // namespace

auto main(int argc, char *argv[]) -> int
{
    options::options_description description("gooseberrywall-soak runs edge daemons as processes "
                                             "and injects faults from outside.\n\nOptions");
    auto add = description.add_options();
    add("help", "print this text");
    add("program", options::value<std::string>()->required(), "the daemon's binary");
    add("folder", options::value<std::string>()->required(),
        "directory for settings and logs of the daemons");
    add("first-seed", options::value<std::uint64_t>()->default_value(1), "the first seed");
    add("seeds", options::value<int>()->default_value(1), "number of seeds, run one by one");
    add("seed-file", options::value<std::string>(),
        "file with a seed at the start of each line; replaces the numbered seeds");
    add("seconds", options::value<int>()->default_value(10),
        "duration of fault injection in seconds");
    add("answer-faults", "upstreams also write answers twice, cut off or without end");
    add("only-stops", "inject planned stops only, and check that they cut off no request");
    add("cuts", "only cut daemons off from all upstreams and from nothing else, and compare how "
                "often first tries are served there");
    add("leaves", "upstreams leave and pause, beside outages of the store and lost and stopped "
                  "daemons; check that requests keep away from them");
    add("daemons", options::value<int>()->default_value(3), "number of daemons");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        if (values.count("help") > 0) {
            std::cout << description;
            return exitOk;
        }
        options::notify(values);
    } catch (const options::error &error) {
        std::cerr << error.what() << "; --help lists the options\n";
        return exitUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const auto seeds = seedsOf(values);
    const auto count = seeds.size();
    std::size_t failed = 0;
    for (const auto seed : seeds) {
        failed += runSeed(values, seed) ? 0 : 1;
    }
    std::cout << count - failed << " passed, " << failed << " failed" << std::endl;
    return failed == 0 ? exitOk : exitFailed;
}
