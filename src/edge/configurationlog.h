#pragma once

#include "edge/types/configurationconfirmation.h"
#include "logging/logger.h"
#include "routing/types/routeconfiguration.h"
#include "storelink/types/storecalls.h"
#include "streams/types/outboundmessages.h"

#include <optional>
#include <string_view>

namespace gooseberrywall {

/// Logs that a text of the configuration of a newer revision has arrived.
/// @param from the daemon that it was fetched from, or "store"
/// @param by the call: "view", "stale_read" or "fetch"
/// @param bytes size of the text
auto logReceivedConfiguration(Logger &logger, StoreRevision revision, std::string_view from,
                              std::string_view by, std::size_t bytes) -> void;

/// Logs that a configuration was fetched from another daemon.
/// @param time since the fetch began
auto logFetchedConfiguration(Logger &logger, const Address &from, const OutboundResult &result,
                             Duration time) -> void;

/// Logs that a configuration couldn't be fetched from another daemon.
/// @param time since the fetch began
auto logFailedFetch(Logger &logger, const Address &from, const OutboundResult &result,
                    Duration time) -> void;

/// Logs that this daemon has begun or ceased to follow the store itself.
/// @param why the reason
/// @param confirmation the newest one by a grantor; empty where there is none
auto logConfigurationMode(Logger &logger, bool isFollowingStore, std::string_view why,
                          StoreRevision revision,
                          const std::optional<ConfigurationConfirmation> &confirmation, Instant now)
    -> void;

/// Logs that a configuration is in force from now on.
auto logAdoptedConfiguration(Logger &logger, const RouteConfiguration &configuration,
                             StoreRevision revision) -> void;

/// Logs how long it took to read a text of the configuration and to apply it.
auto logConfigurationTime(Logger &logger, StoreRevision revision, Duration time) -> void;

/// Logs that a configuration was ignored.
/// @param isReadable it could be read, but its version isn't newer
/// @param knownVersion the version in force; zero where there is none
auto logIgnoredConfiguration(Logger &logger, bool isReadable, std::uint64_t knownVersion) -> void;

} // namespace gooseberrywall
