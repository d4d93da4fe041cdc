#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywall {

/// One of the services among which a route's requests are divided.
struct WeightedService
{
    ServiceName service;
    /// Share of the requests, relative to the other weights of the route.
    double weight = 1;
    auto operator==(const WeightedService &) const -> bool = default;
};

/// Which requests go where, and how they are treated.
struct Route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<WeightedService> services;
    /// Idempotent: may run more than once for one request.
    bool isIdempotent = false;
    /// A request is answered by then, counted from its arrival.
    Duration timeout{0};
    /// Answers within this time are worth most to callers.
    Duration targetLatency{0};
    /// 0 is the most urgent.
    int priority = 0;
    /// Upstreams to which one request may be sent.
    int maximalAttempts = 1;
    auto operator==(const Route &) const -> bool = default;
};

/// What the operators' configuration says of a service.
struct ServiceSpec
{
    ServiceName name;
    /// Its upstreams own ranges of keys; requests carry a key.
    bool isSharded = false;
    /// Connections that one upstream accepts from all daemons together.
    int maximalConnections = 0;
    /// Keys that arrive without their last owner's handover are slow for this time.
    Duration warmUp{0};
    std::string healthPath;
    auto operator==(const ServiceSpec &) const -> bool = default;
};

/// Bounds on what a client may send.
struct CallerLimits
{
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{16} * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds{10};
    Duration idleTimeout = std::chrono::seconds{60};
    auto operator==(const CallerLimits &) const -> bool = default;
};

/// A version of the operators' routing configuration.
struct RouteConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<ServiceSpec> services;
    CallerLimits limits;
    auto operator==(const RouteConfiguration &) const -> bool = default;
};

} // namespace gooseberrywall
