#pragma once

#include "protocol/outbox.h"

#include <string>

namespace gooseberrywall {

/// @returns the step name of a message or call. A name without a space marks background traffic,
///          which is sent at all times and is not a step of a scenario
[[nodiscard]] auto stepName(const PeerMessage &message) -> std::string;
[[nodiscard]] auto stepName(const StoreRequest &request) -> std::string;
[[nodiscard]] auto stepName(const UpstreamRequest &request) -> std::string;

/// @returns whether the name marks background traffic
[[nodiscard]] auto isBackground(const std::string &name) -> bool;

/// @returns whether the name is that of a step that each request repeats
[[nodiscard]] auto isRequestStep(const std::string &name) -> bool;

} // namespace gooseberrywall
