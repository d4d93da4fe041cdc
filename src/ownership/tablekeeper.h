#pragma once

#include "membership/types/membershipview.h"
#include "ownership/recordcodec.h"
#include "ownership/table.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"

#include <cstdint>
#include <map>
#include <optional>

namespace gooseberrywall {

/// Maximum number of daemons to which a daemon of the distribution tree forwards a new table.
inline constexpr std::size_t tableFanOut = 4;

/// Minimum time between two requests for the table to the same daemon.
inline constexpr Duration tableRequestInterval = std::chrono::milliseconds{100};

/// Holds the newest stored version of the cell's record that this daemon knows, and forwards it.
/// New versions are sent along a tree with a fixed fan-out. A daemon that missed a version requests
/// it from any daemon whose heartbeat states a newer one.
class TableKeeper
{
public:
    explicit TableKeeper(DaemonIdentity self);

    /// Takes a version that is known to be stored.
    /// @returns whether it is newer than the held one; other versions have no effect
    auto adopt(CellRecord record) -> bool;

    /// @returns the newest known version; nullptr if none is known
    [[nodiscard]] auto table() const -> TablePointer { return this->newestTable; }

    /// @returns the newest known version; zero if none is known
    [[nodiscard]] auto version() const -> RecordVersion;

    /// Handles TableRequest and TableUpdate, ignores other messages.
    /// @returns whether a newer table was adopted, which is to be published next
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message, Outbox &out)
        -> bool;

    /// Requests a peer's table if it is newer, at most once in tableRequestInterval.
    /// @param peerVersion the version in the peer's heartbeat
    auto onPeerVersion(Instant now, const DaemonId &peer, RecordVersion peerVersion, Outbox &out)
        -> void;

    /// Sends the newest version to this daemon's children in the distribution tree. Each version is
    /// published once, and not sent to children that are known to have it.
    auto publish(Instant now, const MembershipView &view, Outbox &out) -> void;

    /// @returns the bytes of encoded records sent since the start
    [[nodiscard]] auto bytesSent() const -> std::uint64_t { return this->sentBytes; }

private:
    struct Peer
    {
        RecordVersion version;
        std::optional<Instant> requestedAt;
    };

    auto onUpdate(const DaemonId &from, const TableUpdate &update, Outbox &out) -> bool;
    auto send(const DaemonId &peer, Outbox &out) -> void;

    DaemonIdentity self;
    TablePointer newestTable;
    std::string encodedRecord;
    RecordDecoder decoder;
    std::map<DaemonId, Peer> peers;
    RecordVersion publishedVersion;
    std::uint64_t sentBytes = 0;
};

} // namespace gooseberrywall
