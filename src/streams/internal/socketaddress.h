#pragma once

#include "http/endpoint.h"

#include <netinet/in.h>

namespace gooseberrywall {

/// @returns the IPv4 address for socket calls; all zero if it isn't a numeric "ip:port"
[[nodiscard]] auto toSocketAddress(const Address &address) -> sockaddr_in;

} // namespace gooseberrywall
