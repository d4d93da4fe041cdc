#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywall {

/// A service that gets a share of a route's requests.
struct WeightedService
{
    ServiceName service;
    /// Share of the requests, relative to the other weights of the route.
    double weight = 1;
    auto operator==(const WeightedService &) const -> bool = default;
};

/// Maps the requests to a host and path prefix to services, and says how they are handled.
struct Route
{
    std::string name;
    /// Host name without a port; matched regardless of case.
    std::string host;
    /// Prefix of the path; begins and ends with a slash.
    std::string prefix;
    std::vector<WeightedService> services;
    /// A request may run more than once.
    bool isIdempotent = false;
    /// Time from a request's arrival within which it is answered.
    Duration timeout{0};
    /// Answers should arrive within this time; later ones are worth less to callers.
    Duration targetLatency{0};
    /// 0 is the most urgent.
    int priority = 0;
    /// Maximum number of attempts that reach an upstream, the first one included; attempts whose
    /// connection can't be opened don't count.
    int maximalAttempts = 1;
    auto operator==(const Route &) const -> bool = default;
};

/// Settings of a service in the operators' configuration.
struct ServiceSpec
{
    ServiceName name;
    /// Its upstreams own ranges of keys, and requests carry a key.
    bool isSharded = false;
    /// Maximum number of connections that an upstream accepts from all daemons together.
    int maximalConnections = 0;
    /// Time for which an upstream is slow on keys that it got without a handover from the last
    /// owner.
    Duration warmUp{0};
    /// Requests per second that an upstream takes from all daemons together while it is cold; 0: no
    /// bound.
    double warmUpPerSecond = 0;
    /// Path of the upstreams' health check.
    std::string healthPath;
    auto operator==(const ServiceSpec &) const -> bool = default;
};

/// Limits on requests and connections of callers.
struct CallerLimits
{
    /// Maximum size of a request's header.
    std::size_t headerBytes = std::size_t{16} * 1024;
    /// Maximum size of a request's body.
    std::size_t bodyBytes = std::size_t{16} * 1024 * 1024;
    /// Time within which a request's header must arrive.
    Duration headerTimeout = std::chrono::seconds{10};
    /// Time after which an unused connection is closed.
    Duration idleTimeout = std::chrono::seconds{60};
    auto operator==(const CallerLimits &) const -> bool = default;
};

/// One version of the operators' routing configuration.
struct RouteConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    /// Number of routes that were left out because they couldn't be read.
    std::size_t malformedRoutes = 0;
    std::vector<ServiceSpec> services;
    /// Fields of services that have impossible values and count as missing, as "SERVICE.FIELD".
    std::vector<std::string> malformedServiceFields;
    CallerLimits limits;
    auto operator==(const RouteConfiguration &) const -> bool = default;
};

} // namespace gooseberrywall
