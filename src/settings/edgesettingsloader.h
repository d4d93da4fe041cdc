#pragma once

#include "inidocument/types/inierror.h"
#include "inidocument/types/keydescription.h"
#include "settings/types/edgesettings.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// @returns the sections and keys of an edge daemon's settings; also the source of their page
[[nodiscard]] auto edgeSettingsDescription() -> std::vector<SectionDescription>;

/// Reads an edge daemon's settings. They are refused whole where anything is wrong.
class EdgeSettingsLoader
{
public:
    /// @param text the file's content
    /// @param fileName stands in errors
    [[nodiscard]] auto load(std::string_view text, const std::string &fileName)
        -> std::optional<EdgeSettings>;

    /// @returns why the last settings were refused
    [[nodiscard]] auto lastError() const -> const IniError & { return this->error; }

private:
    IniError error;
};

} // namespace gooseberrywall
