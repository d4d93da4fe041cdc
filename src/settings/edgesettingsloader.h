#pragma once

#include "inidocument/types/inierror.h"
#include "inidocument/types/keydescription.h"
#include "settings/types/edgesettings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// @returns the descriptions of an edge daemon's settings; source of the reference page
[[nodiscard]] auto edgeSettingsDescription() -> std::vector<SectionDescription>;

/// Parses an edge daemon's settings. Settings with any error are rejected as a whole.
class EdgeSettingsLoader
{
public:
    /// @param text the content of the settings file
    /// @param fileName only used in errors
    /// @returns the settings; nothing if they are rejected
    [[nodiscard]] auto load(std::string_view text, const std::string &fileName)
        -> std::optional<EdgeSettings>;

    /// @returns why the last settings were rejected
    [[nodiscard]] auto lastError() const -> const IniError & { return this->error; }

private:
    IniError error;
};

} // namespace gooseberrywall
