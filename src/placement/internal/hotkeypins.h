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
    /// Index of the upstream that holds the key, in ServiceLayout::upstreams.
    std::optional<std::size_t> holder;
};

/// Changes that HotKeyPins proposes for one service.
struct PinProposals
{
    /// Keys to pin, hottest first, then keys to unpin.
    std::vector<PinProposal> pins;
    /// Moves of pinned shards to the owner of their range, which must precede unpinning.
    std::vector<PlannedMove> movesBeforeUnpin;
};

/// Decides which keys become shards of their own. A key is pinned after it was hot for a while and
/// unpinned after it was cold for longer.
class HotKeyPins
{
public:
    explicit HotKeyPins(const PlacementSettings &settings);

    /// Marks the shards that contain a hot key or consist of a pinned one.
    auto markHotShards(const ServiceEntry &service, const CellRecord &record,
                       const LoadHistory &history, ServiceLayout &layout) const -> void;

    [[nodiscard]] auto plan(Instant now, const ServiceEntry &service, const CellRecord &record,
                            const LoadHistory &history, const ServiceLayout &layout)
        -> PinProposals;

private:
    /// Loads in busy slots.
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
