#pragma once

#include "stubs/upstream/types/upstreammodelsettings.h"

#include <optional>

namespace gooseberrywall {

/// Settings of the upstream's stand-in program.
struct UpstreamProgramSettings
{
    UpstreamModelSettings model;
    ServiceName service;
    FailureDomain domain;
    Address listen;
    /// The platform's stand-in at which the upstream registers; without a value, it doesn't.
    std::optional<Address> platform;
    /// The file to which runs are written; without a value, none.
    std::optional<std::string> runLog;

    auto operator==(const UpstreamProgramSettings &) const -> bool = default;
};

/// Serves until SIGTERM or SIGINT, then drains: it registers as leaving, accepts no new shard and
/// ends when it has no grant and no active run, at the latest one second after `drainGrace`. A
/// second signal ends it at once.
/// @returns the process's exit status: 1 if it can't listen or write the run log, otherwise 0
auto runUpstreamProgram(const UpstreamProgramSettings &settings) -> int;

} // namespace gooseberrywall
