#pragma once

#include "inidocument/types/inierror.h"
#include "inidocument/types/inivalues.h"
#include "inidocument/types/keydescription.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberrywall {

inline constexpr std::int64_t maximumNameBytes = 64;
/// When a change of a value takes effect.
inline constexpr const char *takesEffectAtStart = "at the next start";
inline constexpr const char *takesEffectAtOnce = "at once";

/// @returns the description of a key that holds ip:port
[[nodiscard]] auto addressKey(const std::string &name, const std::string &text) -> KeyDescription;

/// @param log the section with the key "level"
/// @returns why the level is refused; nothing where it is known
[[nodiscard]] auto logLevelError(const IniSection &log, const std::string &fileName)
    -> std::optional<IniError>;

} // namespace gooseberrywall
