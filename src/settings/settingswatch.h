#pragma once

#include "settings/edgesettingsloader.h"
#include "settings/types/edgesettings.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace gooseberrywall {

/// What became of a look at the settings file.
struct SettingsCheck
{
    enum class Kind : std::uint8_t {
        /// The file says what it said before.
        Unchanged,
        Changed,
        /// It can't be read, or what it says is refused; the settings in force stay.
        Refused,
    };

    Kind kind = Kind::Unchanged;
    /// Changed: the new settings.
    std::optional<EdgeSettings> settings;
    /// Refused: why, and what to do.
    std::string problem;
    auto operator==(const SettingsCheck &) const -> bool = default;
};

/// Notices that the settings file has changed, whether or not anybody says so. Without input or
/// output of its own.
class SettingsWatch
{
public:
    /// @param fileName stands in errors
    /// @param read returns the file's text; nothing where it can't be read
    SettingsWatch(std::string fileName, std::function<std::optional<std::string>()> readFile);

    /// @returns the change since the last call; the same refusal is told once. The first call tells
    /// the first settings.
    [[nodiscard]] auto check() -> SettingsCheck;

private:
    std::string fileName;
    std::function<std::optional<std::string>()> readFile;
    /// Of the last call; empty where the file couldn't be read.
    std::optional<std::optional<std::string>> lastText;
    EdgeSettingsLoader loader;
};

} // namespace gooseberrywall
