#pragma once

#include "admin/types/adminmessages.h"
#include "configuration/types/editmessages.h"

#include <optional>
#include <variant>
#include <vector>

namespace gooseberrywall {

/// Conversion of requests to the administration interface into edits, and of their results into
/// replies. docs/ADMIN-API.md describes both.

/// A decoded request: an edit, a wait, or the reply to a request that needs neither.
using ConfigCall = std::variant<EditRequest, WaitRequest, AdminReply>;

/// @returns the decoded request, or an error reply if it is malformed; nothing if its path doesn't
///          belong to the configuration
[[nodiscard]] auto readConfigRequest(const AdminRequest &request) -> std::optional<ConfigCall>;

/// @returns the reply with the result of an edit
[[nodiscard]] auto editReply(ExchangeId exchange, const EditResult &result) -> AdminReply;

/// @param laggingDaemons the daemons that have not reached the generation yet
/// @returns the reply to a wait: success if no daemon lags, else a timeout
[[nodiscard]] auto waitReply(ExchangeId exchange, std::uint64_t generation,
                             const std::vector<DaemonId> &laggingDaemons) -> AdminReply;

} // namespace gooseberrywall
