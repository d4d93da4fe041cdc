#pragma once

#include "inidocument/types/inierror.h"
#include "inidocument/types/keydescription.h"
#include "settings/types/daemonsettings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// A value from the command line that overrides that of the settings file.
struct SettingsOverride
{
    std::string section;
    std::string key;
    std::string value;
    auto operator==(const SettingsOverride &) const -> bool = default;
};

/// @returns the descriptions of a daemon's settings; source of the reference page
[[nodiscard]] auto daemonSettingsDescription() -> std::vector<SectionDescription>;

/// Parses a daemon's settings. Settings with any error are rejected as a whole.
class SettingsLoader
{
public:
    /// @param text the content of the settings file
    /// @param fileName only used in errors
    /// @param overrides values from the command line; each must name a known section and key
    /// @returns the settings; nothing if they are rejected
    [[nodiscard]] auto load(std::string_view text, const std::string &fileName,
                            const std::vector<SettingsOverride> &overrides)
        -> std::optional<DaemonSettings>;

    /// @returns why the last settings were rejected
    [[nodiscard]] auto lastError() const -> const IniError & { return this->error; }

private:
    [[nodiscard]] auto applyOverrides(std::string_view text, const std::string &fileName,
                                      const std::vector<SettingsOverride> &overrides)
        -> std::optional<std::string>;
    [[nodiscard]] auto parseSeeds(const std::vector<std::string> &texts, DaemonSettings &settings,
                                  const std::string &fileName, int line) -> bool;

    IniError error;
};

} // namespace gooseberrywall
