#pragma once

#include "http/endpoint.h"

#include <netinet/in.h>

namespace gooseberrywall {

/// @returns the address as the socket calls take it; all zero where it isn't numeric
[[nodiscard]] auto toSocketAddress(const Address &address) -> sockaddr_in;

} // namespace gooseberrywall
