#pragma once

#include <array>
#include <cstdint>
#include <string_view>

namespace gooseberrywall {

/// A kind of fault at a step. A step is one message, store call or upstream call of a daemon;
/// "Process" stands for the daemon that sends it.
enum class FaultKind : std::uint8_t {
    None,
    ProcessLostBefore,
    ProcessLostAfter,
    ProcessPaused,
    ProcessPausedWithClock,
    CutFromPeers,
    CutFromPeersOutward,
    CutFromPeersInward,
    CutFromStore,
    CutFromUpstreams,
    MessageDropped,
    MessageDoubled,
    MessageLate,
    MessageReordered,
    ReceiverLost,
    UpstreamCrashed,
    UpstreamFrozen,
    UpstreamRestarted,
    StoreCallFails,
    StoreAnswerLost,
    StoreSlow,
    StoreDown,
};

inline constexpr int faultKinds = static_cast<int>(FaultKind::StoreDown) + 1;

/// @returns the fault's name in docs/FAULTS.md and on the command line
[[nodiscard]] constexpr auto toString(FaultKind kind) -> std::string_view
{
    constexpr std::array<std::string_view, faultKinds> names{
        "none",
        "process-lost-before",
        "process-lost-after",
        "process-paused",
        "process-paused-with-clock",
        "cut-from-peers",
        "cut-from-peers-outward",
        "cut-from-peers-inward",
        "cut-from-store",
        "cut-from-upstreams",
        "message-dropped",
        "message-doubled",
        "message-late",
        "message-reordered",
        "receiver-lost",
        "upstream-crashed",
        "upstream-frozen",
        "upstream-restarted",
        "store-call-fails",
        "store-answer-lost",
        "store-slow",
        "store-down",
    };
    return names.at(static_cast<std::size_t>(kind));
}

/// @returns whether the fault makes the store unavailable or slow, so that ownership can't change
[[nodiscard]] constexpr auto isStoreAway(FaultKind kind) -> bool
{
    return kind == FaultKind::StoreDown || kind == FaultKind::StoreSlow
           || kind == FaultKind::CutFromStore;
}

/// A fault at the step with a number, counted from the start of the scenario's window.
struct PlannedFault
{
    FaultKind kind = FaultKind::None;
    std::uint64_t step = 0;
    auto operator==(const PlannedFault &) const -> bool = default;
};

} // namespace gooseberrywall
