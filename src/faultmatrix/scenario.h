#pragma once

#include "faultmatrix/types/fault.h"
#include "faultmatrix/types/step.h"
#include "faultmatrix/types/worldoptions.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// The activity during which faults happen.
enum class ScenarioKind : std::uint8_t {
    /// A shard moves from a leaving upstream.
    Transfer,
    /// An upstream crashes and its shards move to others.
    UpstreamLoss,
    /// The coordinator's daemon is lost and another takes over.
    CoordinatorTakeover,
    /// A grantor's daemon is lost and its stand-by takes over.
    GrantorTakeover,
    /// Idempotent and non-idempotent requests, and nothing else.
    Request,
    /// A section of the operators' document is edited.
    ConfigurationChange,
    /// A daemon is shut down gracefully.
    Shutdown,
};

inline constexpr int scenarioKinds = static_cast<int>(ScenarioKind::Shutdown) + 1;

/// @returns the scenario's name in docs/FAULTS.md and on the command line
[[nodiscard]] auto toString(ScenarioKind kind) -> std::string_view;

/// Results of one run of a scenario.
struct CaseResult
{
    std::vector<Step> steps;
    /// Broken promises; empty if all were kept.
    std::vector<std::string> violations;
    /// The longest time for which a key was not answered.
    Duration unavailability{0};
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
};

/// Receives each line of a trace.
using TraceFunction = std::function<void(const std::string &line)>;

/// Runs a scenario with faults in a new world.
/// @param trace may be empty
[[nodiscard]] auto runScenario(ScenarioKind kind, const WorldOptions &options,
                               const std::vector<PlannedFault> &faults,
                               const TraceFunction &trace = {}) -> CaseResult;

} // namespace gooseberrywall
