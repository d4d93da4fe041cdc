#pragma once

#include "placement/internal/loadhistory.h"
#include "placement/internal/servicelayout.h"
#include "placement/placementpolicy.h"
#include "placement/types/placementsettings.h"

#include <map>
#include <vector>

namespace gooseberrywall {

/// A key to pin or to unpin.
struct PinProposal
{
    PlannedPin pin;
    /// Place of the upstream that holds the key.
    std::optional<std::size_t> holder;
};

/// What HotKeyPins wants for one service.
struct PinProposals
{
    /// Hottest first.
    std::vector<PinProposal> pins;
    /// Pinned shards that are to join their range's owner before they are unpinned.
    std::vector<PlannedMove> movesBeforeUnpin;
};

/// Decides which keys become shards of their own: hot for a while to be pinned, cold for a longer
/// while to be unpinned.
class HotKeyPins
{
public:
    explicit HotKeyPins(const PlacementSettings &settings);

    /// Marks the shards that a hot key dominates.
    auto markHotShards(const ServiceEntry &service, const CellRecord &record,
                       const LoadHistory &history, ServiceLayout &layout) const -> void;

    [[nodiscard]] auto plan(Instant now, const ServiceEntry &service, const CellRecord &record,
                            const LoadHistory &history, const ServiceLayout &layout)
        -> PinProposals;

private:
    struct Thresholds
    {
        double pin = 0.0;
        double unpin = 0.0;
    };

    [[nodiscard]] auto thresholds(const ServiceLayout &layout) const -> Thresholds;
    [[nodiscard]] auto isHot(const ObservedKey &key, double pinThreshold,
                             const LoadHistory &history) const -> bool;
    auto planPins(Instant now, const std::vector<const PinnedKey *> &pinned,
                  const ServiceEntry &service, const LoadHistory &history,
                  const ServiceLayout &layout, PinProposals &proposals) -> void;
    auto planUnpins(Instant now, const std::vector<const PinnedKey *> &pinned,
                    const ServiceEntry &service, const LoadHistory &history,
                    const ServiceLayout &layout, PinProposals &proposals) -> void;

    PlacementSettings settings;
    std::map<ServiceName, std::map<Key, Instant>> hotSince;
    std::map<ShardId, Instant> coldSince;
};

} // namespace gooseberrywall
