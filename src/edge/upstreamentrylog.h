#pragma once

#include "dispatch/types/upstreamentry.h"
#include "logging/logger.h"
#include "storelink/types/storecalls.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// How a daemon has learned of a change of the upstreams' entries.
struct UpstreamEntryOrigin
{
    /// "list", "watch", "confirmation", "statement", "answer", "evacuation" or "time".
    std::string_view cause;
    /// The last one of the store that the daemon has read.
    StoreRevision revision;
    /// Since the last call of the daemon's copy of the entries was sent.
    Duration sinceCall{0};
    /// Since the last read of all entries began.
    Duration sinceRead{0};
    /// Since a call to the store last failed.
    Duration sinceFailure{0};
    auto operator==(const UpstreamEntryOrigin &) const -> bool = default;
};

/// Logs which process and state the store shows of each upstream, whenever that changes, and how
/// the daemon learned of it.
class UpstreamEntryLog
{
public:
    explicit UpstreamEntryLog(Logger &logger);

    /// @param entries those in use now
    auto update(const std::vector<UpstreamEntry> &entries, const UpstreamEntryOrigin &origin)
        -> void;

private:
    enum class State : std::uint8_t { Ready, Draining, Missing, Dropped };
    struct Logged
    {
        Incarnation incarnation;
        State state = State::Ready;
        auto operator==(const Logged &) const -> bool = default;
    };

    [[nodiscard]] static auto toString(State state) -> std::string_view;
    auto write(const UpstreamId &upstream, const Logged &row, const UpstreamEntryOrigin &origin)
        -> void;

    Logger &logger;
    std::map<UpstreamId, Logged> rows;
};

} // namespace gooseberrywall
