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

/// Daemons to which each daemon of the distribution tree passes a new table on.
inline constexpr std::size_t tableFanOut = 4;

/// The least time between two requests for the table to the same daemon.
inline constexpr Duration tableRequestInterval = std::chrono::milliseconds{100};

/// Holds the newest stored version of the cell's record that this daemon knows, and passes it on.
/// New versions go down a tree of fixed fan-out; what gets lost there is fetched from any daemon
/// whose heartbeat names a newer version.
class TableKeeper
{
public:
    explicit TableKeeper(DaemonIdentity self);

    /// Takes a version that is surely in the store.
    /// @returns whether it is newer than the known one; older ones have no effect
    auto adopt(CellRecord record) -> bool;

    /// @returns the newest known version; nullptr where none is known yet
    [[nodiscard]] auto table() const -> TablePointer { return this->newestTable; }

    /// @returns the newest known version; zero where none is known
    [[nodiscard]] auto version() const -> RecordVersion;

    /// Handles TableRequest and TableUpdate, ignores other messages.
    /// @returns whether the table became newer; then call publish()
    auto onMessage(Instant now, const DaemonId &from, const PeerMessage &message, Outbox &out)
        -> bool;

    /// Asks a daemon for its table where its version is newer.
    /// @param theirs the version in the daemon's heartbeat
    auto onPeerVersion(Instant now, const DaemonId &peer, RecordVersion peerVersion, Outbox &out)
        -> void;

    /// Sends the newest version to this daemon's children in the tree, once a version.
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
