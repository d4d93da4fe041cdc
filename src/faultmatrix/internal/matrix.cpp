#include "faultmatrix/matrix.h"

#include <atomic>
#include <mutex>
#include <ostream>
#include <random>
#include <set>
#include <thread>

namespace gooseberrywall {

namespace {

/// Limit until a key is served again after any single loss.
constexpr Duration unavailabilityBound = std::chrono::seconds{5};

struct MatrixCase
{
    ScenarioKind scenario = ScenarioKind::Transfer;
    std::string step;
    std::vector<PlannedFault> faults;
};

/// @returns whether a fault applies to a step
auto applies(FaultKind fault, StepTarget target, const std::string &what) -> bool
{
    switch (fault) {
    case FaultKind::None:
        return false;
    case FaultKind::ReceiverLost:
        return target == StepTarget::Peer;
    case FaultKind::StoreCallFails:
    case FaultKind::StoreSlow:
        return target == StepTarget::Store;
    case FaultKind::StoreAnswerLost:
        return what.starts_with("store write");
    case FaultKind::MessageDropped:
    case FaultKind::MessageLate:
    case FaultKind::MessageReordered:
        return target != StepTarget::Store;
    case FaultKind::MessageDoubled:
        // A call to an upstream is one HTTP exchange, which TCP delivers once and HttpPool never
        // repeats. Messages between daemons have no such guarantee.
        return target == StepTarget::Peer;
    default:
        return true;
    }
}

auto singleCases(ScenarioKind scenario, const std::vector<Step> &steps) -> std::vector<MatrixCase>
{
    std::vector<MatrixCase> cases;
    for (const auto &step : steps) {
        for (int number = 1; number < faultKinds; ++number) {
            const auto fault = static_cast<FaultKind>(number);
            if (applies(fault, step.target, step.what)) {
                cases.push_back({scenario, step.what, {{fault, step.number}}});
            }
        }
    }
    return cases;
}

auto pairCases(ScenarioKind scenario, const std::vector<Step> &steps, std::uint64_t count,
               std::uint64_t seed) -> std::vector<MatrixCase>
{
    std::mt19937_64 random(seed);
    std::vector<MatrixCase> cases;
    while (cases.size() < count && !steps.empty()) {
        const auto &first = steps[random() % steps.size()];
        const auto &second = steps[random() % steps.size()];
        const auto firstFault = static_cast<FaultKind>(1 + random() % (faultKinds - 1));
        const auto secondFault = static_cast<FaultKind>(1 + random() % (faultKinds - 1));
        if (applies(firstFault, first.target, first.what)
            && applies(secondFault, second.target, second.what)) {
            cases.push_back(
                {scenario, "pairs", {{firstFault, first.number}, {secondFault, second.number}}});
        }
    }
    return cases;
}

auto replayCommand(const MatrixCase &matrixCase, const WorldOptions &world) -> std::string
{
    std::string command = "gooseberrywall-faults --seed " + std::to_string(world.seed)
                          + " --upstreams-check-sender " + (world.checksSender ? "1" : "0")
                          + " --scenario " + std::string(toString(matrixCase.scenario))
                          + " --fault " + std::string(toString(matrixCase.faults[0].kind))
                          + " --step " + std::to_string(matrixCase.faults[0].step);
    if (matrixCase.faults.size() > 1) {
        command += " --second-fault " + std::string(toString(matrixCase.faults[1].kind))
                   + " --second-step " + std::to_string(matrixCase.faults[1].step);
    }
    return command;
}

auto hasOwnLoss(ScenarioKind scenario) -> bool
{
    return scenario == ScenarioKind::UpstreamLoss || scenario == ScenarioKind::CoordinatorTakeover
           || scenario == ScenarioKind::GrantorTakeover;
}

/// @returns whether the fault removes a process or an upstream, for good or temporarily
auto isLoss(FaultKind fault) -> bool
{
    return (fault >= FaultKind::ProcessLostBefore && fault <= FaultKind::CutFromUpstreams)
           || (fault >= FaultKind::ReceiverLost && fault <= FaultKind::UpstreamRestarted);
}

/// @returns whether the bound on unavailability applies: to a single loss while the store is
///          reachable
auto isBounded(const MatrixCase &matrixCase) -> bool
{
    if (matrixCase.faults.size() != 1 || isStoreAway(matrixCase.faults[0].kind)) {
        return false;
    }
    return !hasOwnLoss(matrixCase.scenario) || !isLoss(matrixCase.faults[0].kind);
}

/// Runs cases on several threads and collects their results.
class MatrixRun
{
public:
    MatrixRun(const MatrixSettings &settings, std::vector<MatrixCase> cases)
        : settings(settings)
        , cases(std::move(cases))
        , results(this->cases.size())
    {
    }

    auto run() -> void
    {
        std::vector<std::thread> threads;
        for (unsigned number = 0; number < this->settings.threads; ++number) {
            threads.emplace_back([this] { this->work(); });
        }
        for (auto &thread : threads) {
            thread.join();
        }
    }

    /// Adds all results in the order of the cases.
    auto collect(MatrixResult &result) const -> void
    {
        for (std::size_t index = 0; index < this->cases.size(); ++index) {
            this->add(this->cases[index], this->results[index], result);
        }
    }

private:
    auto work() -> void
    {
        while (true) {
            const auto index = this->next.fetch_add(1);
            if (index >= this->cases.size()) {
                return;
            }
            const auto &matrixCase = this->cases[index];
            auto caseResult =
                runScenario(matrixCase.scenario, this->settings.world, matrixCase.faults);
            if (isBounded(matrixCase) && caseResult.unavailability > unavailabilityBound) {
                const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                    caseResult.unavailability);
                caseResult.violations.push_back("a key was not served for "
                                                + std::to_string(millis.count()) + " ms");
            }
            caseResult.steps.clear();
            this->results[index] = std::move(caseResult);
        }
    }

    auto add(const MatrixCase &matrixCase, const CaseResult &caseResult, MatrixResult &result) const
        -> void
    {
        auto &cell =
            result.cells[{matrixCase.scenario, matrixCase.step, matrixCase.faults[0].kind}];
        ++cell.cases;
        ++result.cases;
        cell.unavailability = std::max(cell.unavailability, caseResult.unavailability);
        cell.unknown += caseResult.unknown;
        cell.refused += caseResult.refused;
        if (caseResult.violations.empty()) {
            return;
        }
        ++cell.failed;
        result.violations.push_back(caseResult.violations.front() + "\n    replay: "
                                    + replayCommand(matrixCase, this->settings.world));
    }

    const MatrixSettings &settings;
    std::vector<MatrixCase> cases;
    std::vector<CaseResult> results;
    std::atomic<std::size_t> next{0};
};

auto allScenarios() -> std::vector<ScenarioKind>
{
    std::vector<ScenarioKind> all;
    all.reserve(scenarioKinds);
    for (int number = 0; number < scenarioKinds; ++number) {
        all.push_back(static_cast<ScenarioKind>(number));
    }
    return all;
}

} // namespace

auto runMatrix(const MatrixSettings &settings, std::ostream &report) -> MatrixResult
{
    MatrixResult result;
    const auto scenarios = settings.scenarios.empty() ? allScenarios() : settings.scenarios;
    for (const auto scenario : scenarios) {
        const auto withoutFaults = runScenario(scenario, settings.world, {});
        for (const auto &violation : withoutFaults.violations) {
            result.violations.push_back(
                violation + "\n    without faults: " + std::string(toString(scenario)));
        }
        auto cases = singleCases(scenario, withoutFaults.steps);
        const auto pairs =
            pairCases(scenario, withoutFaults.steps, settings.pairs, settings.world.seed);
        cases.insert(cases.end(), pairs.begin(), pairs.end());
        const auto before = result.violations.size();
        MatrixRun run(settings, std::move(cases));
        run.run();
        const auto casesBefore = result.cases;
        run.collect(result);
        report << toString(scenario) << ": " << withoutFaults.steps.size() << " steps, "
               << result.cases - casesBefore << " cases, " << result.violations.size() - before
               << " failed\n"
               << std::flush;
    }
    for (const auto &violation : result.violations) {
        report << "FAILED " << violation << '\n';
    }
    report << result.cases << " cases, " << result.violations.size() << " failed\n";
    return result;
}

} // namespace gooseberrywall
