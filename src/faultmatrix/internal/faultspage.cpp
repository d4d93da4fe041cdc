#include "faultmatrix/matrix.h"

#include <set>
#include <sstream>

namespace gooseberrywall {

namespace {

auto millis(Duration time) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

auto cellText(const MatrixResult &result, const MatrixCellKey &key) -> std::string
{
    const auto found = result.cells.find(key);
    if (found == result.cells.end()) {
        return "-";
    }
    const auto &cell = found->second;
    std::string text = cell.failed == 0 ? "kept" : std::to_string(cell.failed) + " BROKEN";
    return text + ", " + std::to_string(cell.cases) + ", "
           + std::to_string(millis(cell.unavailability)) + " ms";
}

auto writeScenario(const MatrixResult &result, ScenarioKind scenario, std::ostream &page) -> void
{
    std::set<std::string> steps;
    for (const auto &[key, cell] : result.cells) {
        if (key.scenario == scenario) {
            steps.insert(key.step);
        }
    }
    if (steps.empty()) {
        return;
    }
    page << "\n## " << toString(scenario) << "\n\n| fault |";
    for (const auto &step : steps) {
        page << ' ' << step << " |";
    }
    page << "\n|---|";
    for (std::size_t column = 0; column < steps.size(); ++column) {
        page << "---|";
    }
    page << '\n';
    for (int number = 1; number < faultKinds; ++number) {
        const auto fault = static_cast<FaultKind>(number);
        page << "| " << toString(fault) << " |";
        for (const auto &step : steps) {
            page << ' ' << cellText(result, {scenario, step, fault}) << " |";
        }
        page << '\n';
    }
}

} // namespace

auto faultsPage(const MatrixResult &result) -> std::string
{
    std::ostringstream page;
    page
        << "# The fault matrix\n\n"
           "Written by `tools/faults.sh`; a test fails where this page differs from what the run\n"
           "shows. Each fault is tried at every step: each message, store call and upstream call\n"
           "that belongs to the scenario, in virtual time, with requests of both kinds under way\n"
           "(of the steps that each request repeats, every eighth; in the scenario of the "
           "requests\n"
           "themselves, every fourth). Pauses last 6 s, cuts, freezes and outages 4 s; a lost "
           "daemon\n"
           "is replaced after 4 s. A cell says whether every promise was kept, in how many cases,\n"
           "and the longest time without an answer for a key. Its bound is 5,000 ms for a single\n"
           "loss; none where the scenario itself has a loss and the fault adds another, or while "
           "the\n"
           "store is away: then ownership can't change, and a leaving upstream may get work for "
           "as\n"
           "much longer. After all faults every key must be served again. `-`: the fault does not\n"
           "apply to the step. The column `pairs` has two faults at steps chosen by the seed.\n\n"
           "Promises checked after each event: at most one owner a key; what the store "
           "acknowledged\n"
           "stays; no daemon goes back to an older table or document, or has one that was not\n"
           "stored or accepted. At the end: each request ended once, in time, with its own whole\n"
           "answer; refused means not run; requests that are not idempotent ran at most once; a\n"
           "leaving upstream got no new work after 5 s; the accepted document is in force.\n\n"
           "`gooseberrywall-faults --scenario S --fault F --step N` replays a case with its "
           "trace.\n\n"
        << result.cases << " cases, " << result.violations.size() << " with a broken promise.\n";
    for (int number = 0; number < scenarioKinds; ++number) {
        writeScenario(result, static_cast<ScenarioKind>(number), page);
    }
    return page.str();
}

} // namespace gooseberrywall
