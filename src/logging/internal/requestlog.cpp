#include "logging/requestlog.h"

#include "common/hash.h"

namespace gooseberrywall {

RequestLog::RequestLog(Logger &logger, std::uint64_t sampleOneIn)
    : logger(logger)
    , sampleOneIn(sampleOneIn)
{
}

auto RequestLog::isSampled(const RequestId &request) const -> bool
{
    return this->sampleOneIn != 0 && stableHash(request.value) % this->sampleOneIn == 0;
}

} // namespace gooseberrywall
