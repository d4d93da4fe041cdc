#pragma once

#include "common/types/ids.h"
#include "logging/logger.h"

#include <cstdint>

namespace gooseberrywall {

/// Chooses which requests are logged: all unusual events, and everything of a sample of requests.
/// The sample is chosen by a hash of the request's id, so that all daemons choose the same ones.
class RequestLog
{
public:
    /// @param sampleOneIn each n-th request is logged whole; 0: none
    RequestLog(Logger &logger, std::uint64_t sampleOneIn);

    /// @returns whether the request belongs to the sample
    [[nodiscard]] auto isSampled(const RequestId &request) const -> bool;
    /// @param isUnusual logged for each request
    [[nodiscard]] auto shouldLog(const RequestId &request, bool isUnusual) const -> bool
    {
        return isUnusual || this->isSampled(request);
    }
    auto setSample(std::uint64_t oneIn) -> void { this->sampleOneIn = oneIn; }
    auto write(const LogLine &line) -> void { this->logger.write(LogLevel::Info, line.text()); }

private:
    Logger &logger;
    std::uint64_t sampleOneIn;
};

} // namespace gooseberrywall
