#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// An operation and its weight in the random choice of operations.
struct WeightedOperation
{
    std::string name;
    double weight = 1.0;
    auto operator==(const WeightedOperation &) const -> bool = default;
};

/// A period of the run in which the request rate is multiplied by a factor.
struct Surge
{
    Duration start{0};
    Duration duration{0};
    double factor = 1.0;
    auto operator==(const Surge &) const -> bool = default;
};

/// What a load run sends.
struct LoadSettings
{
    ServiceName service;
    /// Requests per second.
    double rate = 1000.0;
    Duration duration = std::chrono::seconds{10};
    Surge surge;
    /// Whether the gaps between requests are exponentially distributed instead of equal.
    bool poisson = false;
    /// The share of idempotent requests, from 0 to 1.
    double idempotentShare = 1.0;
    std::vector<WeightedOperation> operations{{"sleep-2", 1.0}};
    /// Number of distinct keys.
    std::uint32_t keys = 1000;
    /// Exponent of the Zipf distribution of keys; zero: uniform.
    double zipfExponent = 1.0;
    std::uint64_t seed = 1;
    std::vector<CallerId> callers{{"load"}};
    Duration deadline = std::chrono::seconds{2};
    std::size_t bodyBytes = 64;
    /// Maximal resends of a request that was not sent, or of a non-idempotent one without an
    /// answer.
    int resends = 3;
    /// Whether request ids contain their time of issue (UUID version 7).
    bool timedIds = true;

    auto operator==(const LoadSettings &) const -> bool = default;
};

} // namespace gooseberrywall
