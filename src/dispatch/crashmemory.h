#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// Recognises a request by its content, whatever id its caller gives it.
using RequestPrint = Number<struct RequestPrintTag>;

struct CrashMemorySettings
{
    /// Upstreams that a request may crash before it isn't run any more.
    std::size_t crashLimit = 3;
    /// An attempt without an answer counts as a crash if its upstream is lost within this time.
    Duration lossTime = std::chrono::seconds{3};
    /// Suspects are forgotten after this time without a further crash.
    Duration memory = std::chrono::minutes{10};
    /// Suspects remembered at most; the oldest are forgotten first.
    std::size_t suspectLimit = 10'000;
    auto operator==(const CrashMemorySettings &) const -> bool = default;
};

/// Remembers which requests were running when upstreams were lost. A request is innocent again once
/// it has been answered; companions of a crash are answered elsewhere, the cause never is.
class CrashMemory
{
public:
    explicit CrashMemory(CrashMemorySettings settings);

    /// The request got no answer from this life of an upstream.
    auto onUnanswered(RequestPrint print, const UpstreamId &upstream, Incarnation life, Instant now)
        -> void;
    /// This life of an upstream has ended, or it takes no connections.
    auto onLost(const UpstreamId &upstream, Incarnation life, Instant now) -> void;
    auto onAnswered(RequestPrint print) -> void;

    /// @returns whether the request has crashed too many upstreams to be run again
    [[nodiscard]] auto isQuarantined(RequestPrint print, Instant now) const -> bool;

private:
    struct Unanswered
    {
        RequestPrint print;
        UpstreamId upstream;
        Incarnation life;
        Instant at;
    };
    struct Suspect
    {
        std::set<std::pair<UpstreamId, Incarnation>> crashes;
        Instant last;
    };

    auto forgetOldest() -> void;

    CrashMemorySettings settings;
    std::vector<Unanswered> unanswered;
    std::map<RequestPrint, Suspect> suspects;
};

} // namespace gooseberrywall
