#pragma once

#include "admin/types/adminmessages.h"
#include "configuration/types/editmessages.h"

#include <optional>
#include <variant>
#include <vector>

namespace gooseberrywall {

/// Translates between the administration interface and the configuration's core: which edit a
/// request stands for, and which reply a result makes. docs/ADMIN-API.md describes both.

/// What a request stands for: an edit, a wait, or a reply that can be given at once.
using ConfigCall = std::variant<EditRequest, WaitRequest, AdminReply>;

/// @returns nothing where the path is none of the configuration's
[[nodiscard]] auto readConfigRequest(const AdminRequest &request) -> std::optional<ConfigCall>;

/// @returns the reply that an edit's end makes
[[nodiscard]] auto editReply(ExchangeId exchange, const EditResult &result) -> AdminReply;

/// @param lagging the daemons that have not reached the generation; empty: done
[[nodiscard]] auto waitReply(ExchangeId exchange, std::uint64_t generation,
                             const std::vector<DaemonId> &laggingDaemons) -> AdminReply;

} // namespace gooseberrywall
