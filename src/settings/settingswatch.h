#pragma once

#include "settings/edgesettingsloader.h"
#include "settings/types/edgesettings.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace gooseberrywall {

/// The result of checking the settings file for changes.
struct SettingsCheck
{
    enum class Kind : std::uint8_t {
        /// The file has the same content as at the last check.
        Unchanged,
        Changed,
        /// The file can't be read or its settings are invalid; the settings in force stay.
        Refused,
    };

    Kind kind = Kind::Unchanged;
    /// Changed: the new settings.
    std::optional<EdgeSettings> settings;
    /// Refused: the error and its remedy.
    std::string problem;
    auto operator==(const SettingsCheck &) const -> bool = default;
};

/// Detects changes of the settings file by comparing its content, so that no signal is needed.
/// Performs no I/O itself, except through the given function.
class SettingsWatch
{
public:
    /// @param fileName only used in errors
    /// @param readFile returns the content of the file; nothing if it can't be read
    SettingsWatch(std::string fileName, std::function<std::optional<std::string>()> readFile);

    /// @returns the change since the last call. The first call reports the first settings as a
    ///          change; a file that stays invalid is reported once.
    [[nodiscard]] auto check() -> SettingsCheck;

private:
    std::string fileName;
    std::function<std::optional<std::string>()> readFile;
    /// Content at the last call, empty if the file couldn't be read; nothing before the first call.
    std::optional<std::optional<std::string>> lastText;
    EdgeSettingsLoader loader;
};

} // namespace gooseberrywall
