#pragma once

#include "inidocument/types/inierror.h"
#include "inidocument/types/inivalues.h"
#include "inidocument/types/keydescription.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberrywall {

inline constexpr std::int64_t maximumNameBytes = 64;
/// Values of KeyDescription::takesEffect.
inline constexpr const char *takesEffectAtStart = "at the next start";
inline constexpr const char *takesEffectAtOnce = "at once";

/// @returns the description of a required key whose value is an address "ip:port"
[[nodiscard]] auto addressKey(const std::string &name, const std::string &text) -> KeyDescription;

/// @param log the section with the key "level"
/// @param fileName only used in the error
/// @returns the error if the level is unknown; nothing if it is valid
[[nodiscard]] auto logLevelError(const IniSection &log, const std::string &fileName)
    -> std::optional<IniError>;

} // namespace gooseberrywall
