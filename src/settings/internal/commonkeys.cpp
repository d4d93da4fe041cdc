#include "settings/internal/commonkeys.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace gooseberrywall {

namespace {

constexpr std::int64_t maximumAddressBytes = 64;
constexpr std::array<std::string_view, 4> logLevels{"debug", "info", "warning", "error"};

} // namespace

auto addressKey(const std::string &name, const std::string &text) -> KeyDescription
{
    return {name,         ValueKind::Text,    "ip:port", 3, maximumAddressBytes,
            std::nullopt, takesEffectAtStart, text};
}

auto logLevelError(const IniSection &log, const std::string &fileName) -> std::optional<IniError>
{
    const auto level = log.text("level");
    if (std::find(logLevels.begin(), logLevels.end(), level) != logLevels.end()) {
        return std::nullopt;
    }
    return IniError{IniErrorKind::BadValue,
                    fileName,
                    log.lineOf("level"),
                    "log",
                    "level",
                    "\"" + level + "\" is not a log level",
                    "Write debug, info, warning or error."};
}

} // namespace gooseberrywall
