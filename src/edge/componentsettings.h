#pragma once

#include "edge/configurationsource.h"
#include "edge/grantorrole.h"
#include "edge/grantorwatch.h"
#include "memory/types/memorybudget.h"
#include "settings/types/edgesettings.h"
#include "streams/frontlistener.h"
#include "streams/outboundpool.h"

#include <string>

/// The settings of the edge daemon's components, derived from those of the daemon.
namespace gooseberrywall {

/// @returns the budget for the requests and answers that the daemon holds
[[nodiscard]] auto memoryBudget(const EdgeSettings &settings) -> MemoryBudget;
/// @param echoHeader header in which upstreams repeat the id of a request
[[nodiscard]] auto upstreamPoolSettings(const std::string &echoHeader) -> OutboundPoolSettings;
[[nodiscard]] auto storePoolSettings() -> OutboundPoolSettings;
/// Settings of a pool for orders only: their answers carry no id, so they share no connection with
/// requests.
[[nodiscard]] auto orderPoolSettings() -> OutboundPoolSettings;
/// @param listen address of the readiness or the metrics page
[[nodiscard]] auto pageSettings(const Address &listen) -> FrontSettings;
/// @param doReleasesRaiseFences as in RangeGrantorSettings
[[nodiscard]] auto roleSettings(const EdgeSettings &settings, std::uint64_t incarnation,
                                bool doReleasesRaiseFences) -> GrantorRoleSettings;
[[nodiscard]] auto grantorWatchSettings(const EdgeSettings &settings) -> GrantorWatchSettings;
/// @param key the store key of the operators' configuration
/// @param prefix of all keys of the operators
[[nodiscard]] auto configurationSettings(const EdgeSettings &settings, const std::string &key,
                                         const std::string &prefix, std::uint64_t incarnation)
    -> ConfigurationSourceSettings;

} // namespace gooseberrywall
