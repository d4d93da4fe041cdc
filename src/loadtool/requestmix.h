#pragma once

#include "loadtool/types/loadsettings.h"
#include "loadtool/types/plannedrequest.h"
#include "loadtool/zipfkeys.h"

#include <optional>
#include <random>

namespace gooseberrywall {

/// Plans the requests of a load run one by one. Equal settings and start times give equal requests.
class RequestMix
{
public:
    /// @param started start time of the run, for request ids that contain their time of issue
    RequestMix(LoadSettings settings, UnixMillis started);

    /// @returns the next request, or nothing after the end of the run
    [[nodiscard]] auto next() -> std::optional<PlannedRequest>;

private:
    [[nodiscard]] auto gap() -> Duration;
    [[nodiscard]] auto rateNow() const -> double;
    [[nodiscard]] auto makeId() -> RequestId;
    [[nodiscard]] auto uniform() -> double;

    LoadSettings settings;
    UnixMillis started;
    ZipfKeys keys;
    std::mt19937_64 random;
    std::discrete_distribution<std::size_t> operationChoice;
    Duration at{0};
    std::uint64_t count = 0;
};

} // namespace gooseberrywall
