#pragma once

#include "inidocument/types/keydescription.h"

#include <string>
#include <vector>

namespace gooseberrywall {

/// @returns a Markdown page with a table of keys for each section
[[nodiscard]] auto describeSections(const std::vector<SectionDescription> &sections) -> std::string;

} // namespace gooseberrywall
