#pragma once

#include "ownership/table.h"
#include "protocol/types/peermessages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// How a request stands with regard to crashes of upstreams.
enum class Suspicion : std::uint8_t {
    None,
    /// Was running at a crash: runs only while no other suspect runs.
    Suspect,
    /// Was running at as many crashes as its service allows: not run any more.
    Quarantined,
};

/// Remembers which requests were running when upstreams were lost, here and, by the other daemons'
/// reports, in the cell. A request that later completes a run without a crash is cleared.
class CrashTracker
{
public:
    /// @param suspectTime suspects are forgotten after this time
    explicit CrashTracker(Duration suspectRetention);

    /// @param crashes the number of crashes that quarantines a request of the service
    auto setThreshold(const ServiceName &service, int crashes) -> void;

    /// Requests were running when this incarnation of an upstream was lost; counted once each.
    auto onCrash(Instant now, const CrashSuspects &crash) -> void;

    /// Takes over the quarantined requests; forgets those that an operator has lifted.
    auto onTable(const TablePointer &table) -> void;

    /// @returns whether the request was a suspect and is cleared now
    auto onCompleted(const QuarantinedRequest &request) -> bool;

    auto onCleared(const SuspectsCleared &message) -> void;

    [[nodiscard]] auto suspicionOf(const QuarantinedRequest &request) const -> Suspicion;

    auto expire(Instant now) -> void;

private:
    struct Identity
    {
        ServiceName service;
        Key key;
        RequestId id;
        auto operator<=>(const Identity &) const = default;
    };
    struct Crash
    {
        UpstreamId upstream;
        Incarnation incarnation;
        auto operator<=>(const Crash &) const = default;
    };
    struct Suspect
    {
        Instant lastCrashAt{};
        std::set<Crash> crashes;
    };

    [[nodiscard]] static auto identityOf(const QuarantinedRequest &request) -> Identity;
    [[nodiscard]] auto thresholdOf(const ServiceName &service) const -> int;

    Duration suspectRetention;
    std::map<ServiceName, int> thresholds;
    std::map<Identity, Suspect> suspects;
    std::set<Identity> quarantined;
};

} // namespace gooseberrywall
