#pragma once

#include "logging/logger.h"
#include "routing/types/routeconfiguration.h"
#include "storelink/types/storecalls.h"

namespace gooseberrywall {

/// Logs that a configuration is in force from now on.
auto logAdoptedConfiguration(Logger &logger, const RouteConfiguration &configuration,
                             StoreRevision revision) -> void;

/// Logs that a configuration was ignored.
/// @param isReadable it could be read, but its version isn't newer
/// @param knownVersion the version in force; zero where there is none
auto logIgnoredConfiguration(Logger &logger, bool isReadable, std::uint64_t knownVersion) -> void;

} // namespace gooseberrywall
