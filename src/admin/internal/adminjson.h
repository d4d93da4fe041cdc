#pragma once

#include "admin/types/adminmessages.h"

#include <string>

namespace gooseberrywall {

/// @param status the HTTP status
/// @param remedy what to do about the error, as one sentence
[[nodiscard]] auto errorReply(ExchangeId exchange, int status, const std::string &message,
                              const std::string &remedy) -> AdminReply;

/// @returns a reply with the descriptions of all keys of the operators' document
[[nodiscard]] auto keysReply(ExchangeId exchange) -> AdminReply;

} // namespace gooseberrywall
