#include "http/endpoint.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <netinet/in.h>
#include <string_view>

namespace gooseberrywall {

namespace {

auto isNumericHost(const std::string &host) -> bool
{
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(AF_INET, host.c_str(), parsed.data()) == 1
           || inet_pton(AF_INET6, host.c_str(), parsed.data()) == 1;
}

} // namespace

auto parseEndpoint(const Address &address) -> std::optional<Endpoint>
{
    const std::string_view text = address.value;
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const auto port = text.substr(colon + 1);
    Endpoint endpoint{std::string(host), 0};
    const auto [end, error] =
        std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    const auto hasWrittenAll = error == std::errc{} && end == port.data() + port.size();
    if (!hasWrittenAll || !isNumericHost(endpoint.host)) {
        return std::nullopt;
    }
    return endpoint;
}

auto toAddress(const Endpoint &endpoint) -> Address
{
    const auto isIpv6 = endpoint.host.find(':') != std::string::npos;
    const auto host = isIpv6 ? '[' + endpoint.host + ']' : endpoint.host;
    return Address{host + ':' + std::to_string(endpoint.port)};
}

} // namespace gooseberrywall
