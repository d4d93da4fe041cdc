#pragma once

#include "common/types/ids.h"

#include <cstdint>
#include <optional>
#include <string>

namespace gooseberrywall {

/// A numeric IP address and a port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;
    auto operator==(const Endpoint &) const -> bool = default;
};

/// @param address "ip:port"; IPv6 as "[ip]:port". Names are not resolved.
/// @returns nothing if the address has another form
[[nodiscard]] auto parseEndpoint(const Address &address) -> std::optional<Endpoint>;

/// @returns the endpoint as "ip:port", IPv6 as "[ip]:port"
[[nodiscard]] auto toAddress(const Endpoint &endpoint) -> Address;

} // namespace gooseberrywall
