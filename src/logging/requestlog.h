#pragma once

#include "common/types/ids.h"
#include "logging/logger.h"

#include <cstdint>

namespace gooseberrywall {

/// Selects which events of requests are logged: the unusual ones of all requests, and all of a
/// sample of requests. The sample is chosen by a hash of the request id, so that all daemons choose
/// the same requests.
class RequestLog
{
public:
    /// @param sampleOneIn one in this many requests belongs to the sample; 0: none
    RequestLog(Logger &logger, std::uint64_t sampleOneIn);

    /// @returns whether the request belongs to the sample
    [[nodiscard]] auto isSampled(const RequestId &request) const -> bool;
    /// @param isUnusual unusual events are logged for every request
    /// @returns whether an event of the request is to be logged
    [[nodiscard]] auto shouldLog(const RequestId &request, bool isUnusual) const -> bool
    {
        return isUnusual || this->isSampled(request);
    }
    /// @param oneIn one in this many requests belongs to the sample from now on; 0: none
    auto setSample(std::uint64_t oneIn) -> void { this->sampleOneIn = oneIn; }
    auto write(const LogLine &line) -> void { this->logger.writeOfRequest(line.text()); }

private:
    Logger &logger;
    std::uint64_t sampleOneIn;
};

} // namespace gooseberrywall
