#pragma once

#include "loadtool/loadreport.h"
#include "loadtool/types/loadsettings.h"

#include <vector>

namespace gooseberrywall {

/// Settings of the load tool.
struct LoadProgramSettings
{
    LoadSettings load;
    std::vector<Address> targets;
    /// Whether the targets are upstream stand-ins instead of daemons.
    bool direct = false;
    /// Upstream stand-ins whose runs are audited.
    std::vector<Address> upstreams;
    /// The directory of the stand-ins' run logs; empty: none. Run logs keep the audit complete when
    /// a stand-in is killed.
    std::string runLogDirectory;
    /// How often runs are fetched during the load run; zero: only after it.
    Duration auditInterval{0};
    /// Maximal connections to each target.
    std::size_t connections = 64;
    /// Whether unknown outcomes of requests are queried after the run.
    bool queriesOutcomes = false;

    auto operator==(const LoadProgramSettings &) const -> bool = default;
};

/// Performs one load run on an event loop of its own.
[[nodiscard]] auto runLoad(const LoadProgramSettings &settings) -> LoadRunReport;

} // namespace gooseberrywall
