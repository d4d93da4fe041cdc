#pragma once

#include "ownership/internal/planningcontext.h"

namespace gooseberrywall {

/// Applies crash reports, cleared suspects and operators' orders to the record. Applying one twice
/// has no effect.
/// @param record changed in place
auto applyOperations(const PlanningContext &context, CellRecord &record) -> void;

} // namespace gooseberrywall
