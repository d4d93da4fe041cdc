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

/// Whether a request is suspected of crashing upstreams.
enum class Suspicion : std::uint8_t {
    None,
    /// Was running when an upstream crashed: runs only while no other suspect runs.
    Suspect,
    /// Was running at as many crashes as its service's threshold, or is listed in the cell record's
    /// quarantine: isn't run any more.
    Quarantined,
};

/// Tracks which requests were running when upstreams were lost, on this daemon and, from the other
/// daemons' reports, in the whole cell. A suspect that later completes a run is cleared.
class CrashTracker
{
public:
    /// @param suspectRetention a suspect is forgotten this long after its last crash
    explicit CrashTracker(Duration suspectRetention);

    /// @param crashes number of crashes after which a request of the service is quarantined
    auto setThreshold(const ServiceName &service, int crashes) -> void;

    /// Records the requests that were running when this incarnation of an upstream was lost. A
    /// crash that is reported repeatedly counts once.
    auto onCrash(Instant now, const CrashSuspects &crash) -> void;

    /// Takes over the record's quarantined requests, and forgets the crashes of those whose
    /// quarantine an operator has lifted.
    auto onTable(const TablePointer &table) -> void;

    /// Clears a request that completed a run.
    /// @returns whether it was a suspect
    auto onCompleted(const QuarantinedRequest &request) -> bool;

    /// Clears suspects that completed a run on another daemon.
    auto onCleared(const SuspectsCleared &message) -> void;

    [[nodiscard]] auto suspicionOf(const QuarantinedRequest &request) const -> Suspicion;

    /// Forgets suspects whose retention has passed.
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
