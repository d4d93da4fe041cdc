#pragma once

#include "inidocument/types/inivalues.h"
#include "inidocument/types/keydescription.h"
#include "protocol/types/servicepolicy.h"

#include <vector>

namespace gooseberrywall {

/// @returns the descriptions of all section kinds and keys of the operators' document; documents
///          are parsed by them and the reference page is generated from them
[[nodiscard]] auto documentSchema() -> const std::vector<SectionDescription> &;

/// @param section a checked `[service NAME]` section
/// @returns the service's policy, without callers
[[nodiscard]] auto policyFromSection(const IniSection &section) -> ServicePolicy;

} // namespace gooseberrywall
