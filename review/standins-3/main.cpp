#include "scenario.h"

#include <csignal>
#include <exception>
#include <iostream>

using namespace gooseberrywall::review;

/// Runs one scenario of the review: SCENARIO PROGRAM FOLDER RECORD TROUBLE, where TROUBLE is 0
/// or 1.
auto main(int argc, char *argv[]) -> int
{
    constexpr auto argumentCount = 6;
    if (argc != argumentCount) {
        std::cerr << "usage: " << argv[0] << " poison|lost-watch PROGRAM FOLDER RECORD TROUBLE\n";
        return couldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::string scenario = argv[1];
    const Options options{argv[2], argv[3], argv[4], std::string(argv[5]) != "0"};
    try {
        if (scenario == "poison") {
            return runPoison(options);
        }
        if (scenario == "lost-watch") {
            return runLostWatch(options);
        }
    } catch (const std::exception &failure) {
        std::cerr << failure.what() << '\n';
        return couldNotRun;
    }
    std::cerr << "unknown scenario " << scenario << '\n';
    return couldNotRun;
}
