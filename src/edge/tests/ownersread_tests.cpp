#include "edge/tests/textwire.h"
#include "edge/upstreamwatch.h"

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <utility>
#include <vector>

using namespace gooseberrywall;
using std::chrono::seconds;

namespace {

/// Reads key owners of a store that answers when it is told to.
struct OwnersTrial
{
    auto read(const std::string &key) -> void
    {
        this->watch.readOwners(TextWire::service(), key, seconds{2});
    }

    TextWire wire;
    Logger logger{"error", 1};
    Evacuations evacuations{this->logger};
    UpstreamStatements statements{UpstreamStatementSettings{}};
    DirectChoice direct{1, this->statements};
    std::vector<std::function<void(StoreAnswer)>> openCalls;
    UpstreamWatch<TextWire> watch{
        this->wire,
        UpstreamWatchSettings{},
        [this](const StoreCall &, Duration, const auto &done) { this->openCalls.push_back(done); },
        [] { return Instant{seconds{10}}; },
        this->logger,
        this->evacuations,
        this->direct,
        [](const std::vector<UpstreamEntry> &) {}};
};

} // namespace

// Guards against a link on which the same record arrives several times at once, since it takes
// longer than the time between two reads.
SCENARIO("UpstreamWatch: given a read of key owners that is open, no further one is sent",
         "[edge][largeconfiguration]")
{
    OwnersTrial trial;
    trial.read("owners/1");
    trial.read("owners/1");
    REQUIRE(trial.openCalls.size() == 1);
    THEN("owners under another key are read meanwhile, as those of a later era are")
    {
        trial.read("owners/2");
        CHECK(trial.openCalls.size() == 2);
    }
    THEN("they are read again after the answer, also after a failure")
    {
        trial.openCalls.front()(StoreAnswer{});
        trial.read("owners/1");
        CHECK(trial.openCalls.size() == 2);
    }
}
