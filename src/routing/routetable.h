#pragma once

#include "routing/types/routeconfiguration.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// Finds a request's route by host and longest path prefix, and divides a route's requests among
/// its services by weight.
class RouteTable
{
public:
    explicit RouteTable(RouteConfiguration configuration);

    /// Finds the route of a request.
    /// @param host value of the Host header, with or without a port
    /// @param target request target: path and query
    /// @returns the route, or nullptr if none matches
    [[nodiscard]] auto match(std::string_view host, std::string_view target) const -> const Route *;

    /// Chooses a service of the route.
    /// @param point position in the cumulative weights, 0 to 1; evenly distributed points give each
    ///        service its share
    [[nodiscard]] static auto serviceAt(const Route &route, double point) -> const ServiceName &;

    /// @returns the service's settings, or nullptr if the configuration doesn't contain it
    [[nodiscard]] auto service(const ServiceName &name) const -> const ServiceSpec *;

    [[nodiscard]] auto configuration() const -> const RouteConfiguration &
    {
        return this->routeConfiguration;
    }

private:
    RouteConfiguration routeConfiguration;
    /// Indexes of each host's routes, the longest prefix first; host names are in lower case.
    std::map<std::string, std::vector<std::size_t>, std::less<>> byHost;
    /// Index of each service.
    std::map<ServiceName, std::size_t> byService;
};

/// Generates a low-discrepancy sequence between 0 and 1 for RouteTable::serviceAt(): unlike with
/// random numbers, even a few requests come close to the shares of their services.
class EvenSpread
{
public:
    /// @param start point before the first one, 0 to 1; differs between daemons
    explicit EvenSpread(double start)
        : point(start)
    {
    }
    /// @returns the next point
    [[nodiscard]] auto next() -> double;

private:
    double point;
};

} // namespace gooseberrywall
