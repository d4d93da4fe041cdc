#pragma once

#include "membership/types/membershipview.h"
#include "ownership/recordcodec.h"
#include "ownership/table.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace gooseberrywall {

/// Maximum number of daemons to which a daemon of the distribution tree forwards a new table.
inline constexpr std::size_t tableFanOut = 4;

/// Minimum time between two requests for the table to the same daemon.
inline constexpr Duration tableRequestInterval = std::chrono::milliseconds{100};

/// Number of earlier versions that are kept to derive changes from.
inline constexpr std::size_t keptTableVersions = 6;

/// Holds the newest stored version of the cell's record that this daemon knows, and forwards it.
/// New versions are sent along a tree with a fixed fan-out, as changes of an earlier version where
/// that is possible. A daemon that missed a version requests it from any daemon whose heartbeat
/// states a newer one.
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

    /// Sends the newest version to this daemon's children in the distribution tree, as changes of
    /// the version before. Each version is published once, and not sent to children that are known
    /// to have it.
    auto publish(Instant now, const MembershipView &view, Outbox &out) -> void;

    /// @returns the bytes of encoded records sent since the start
    [[nodiscard]] auto bytesSent() const -> std::uint64_t { return this->sentBytes; }

private:
    struct Peer
    {
        RecordVersion version;
        std::optional<Instant> requestedAt;
    };

    auto onUpdate(Instant now, const DaemonId &from, const TableUpdate &update, Outbox &out)
        -> bool;
    /// Takes in changes of a version; requests what is missing where this daemon doesn't have it.
    auto onChanges(Instant now, const DaemonId &from, const TableUpdate &update,
                   const CellRecord &changes, Outbox &out) -> bool;
    auto request(Instant now, const DaemonId &from, RecordVersion known, Outbox &out) -> void;
    /// @param base the version that the peer has, if known; the whole record is sent where no
    ///        changes of it can be derived
    auto send(const DaemonId &peer, RecordVersion base, Outbox &out) -> void;
    /// @returns the encoded changes from `base` to the newest version; empty where there are none
    /// or they aren't smaller than the whole record
    [[nodiscard]] auto encodedChanges(RecordVersion base) -> const std::string &;

    DaemonIdentity self;
    TablePointer newestTable;
    std::string encodedRecord;
    /// Earlier versions, the latest last.
    std::deque<TablePointer> earlierTables;
    /// Encoded changes of earlier versions to the newest one.
    std::map<RecordVersion, std::string> changes;
    RecordDecoder decoder;
    std::map<DaemonId, Peer> peers;
    RecordVersion publishedVersion;
    std::uint64_t sentBytes = 0;
};

} // namespace gooseberrywall
