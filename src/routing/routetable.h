#pragma once

#include "routing/types/routeconfiguration.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// Finds routes by host and longest prefix, and divides their requests among services.
class RouteTable
{
public:
    explicit RouteTable(RouteConfiguration configuration);

    /// @param host the Host header, with or without a port
    /// @param target path and query
    /// @returns nullptr where no route matches
    [[nodiscard]] auto match(std::string_view host, std::string_view target) const -> const Route *;

    /// @param point where the request falls, 0 to 1; evenly spread points give each service its
    ///        weight's share
    [[nodiscard]] static auto serviceAt(const Route &route, double point) -> const ServiceName &;

    /// @returns nullptr where the configuration doesn't name the service
    [[nodiscard]] auto service(const ServiceName &name) const -> const ServiceSpec *;

    [[nodiscard]] auto configuration() const -> const RouteConfiguration &
    {
        return this->document;
    }

private:
    RouteConfiguration document;
    /// Routes of each host, the longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> byHost;
    std::map<ServiceName, std::size_t> byService;
};

/// Spreads successive requests of a route evenly over 0 to 1, so that small numbers of requests
/// already come near their shares.
class EvenSpread
{
public:
    /// @param start first point, 0 to 1; differs between daemons
    explicit EvenSpread(double start)
        : point(start)
    {
    }
    [[nodiscard]] auto next() -> double;

private:
    double point;
};

} // namespace gooseberrywall
