#include "ownership/tablekeeper.h"

#include "common/logline.h"
#include "common/mutation.h"
#include "ownership/internal/distributiontree.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

TableKeeper::TableKeeper(DaemonIdentity self)
    : self(std::move(self))
{
}

auto TableKeeper::version() const -> RecordVersion
{
    return this->newestTable == nullptr ? RecordVersion{} : this->newestTable->version();
}

auto TableKeeper::adopt(CellRecord record) -> bool
{
    if (record.version <= this->version() && !isMutated(Mutation::ApplyOlderTable)) {
        return false;
    }
    this->newestTable = std::make_shared<const Table>(std::move(record));
    this->encodedRecord = encodeRecord(this->newestTable->record());
    return true;
}

auto TableKeeper::onMessage(Instant, const DaemonId &from, const PeerMessage &message, Outbox &out)
    -> bool
{
    if (const auto *request = std::get_if<TableRequest>(&message)) {
        this->peers[from].version = request->knownVersion;
        if (request->knownVersion < this->version()) {
            this->send(from, out);
        }
        return false;
    }
    if (const auto *update = std::get_if<TableUpdate>(&message)) {
        return this->onUpdate(from, *update, out);
    }
    return false;
}

auto TableKeeper::onUpdate(const DaemonId &from, const TableUpdate &update, Outbox &out) -> bool
{
    auto &peer = this->peers[from];
    peer.version = std::max(peer.version, update.version);
    if (update.version <= this->version() && !isMutated(Mutation::ApplyOlderTable)) {
        return false;
    }
    auto record = this->decoder.decode(update.encodedRecord);
    if (!record || record->version != update.version) {
        out.log(LogLine("table_rejected")
                    .with("from", from.value)
                    .with("remedy", remedy(this->decoder.lastError()))
                    .text());
        return false;
    }
    return this->adopt(std::move(*record));
}

auto TableKeeper::onPeerVersion(Instant now, const DaemonId &peer, RecordVersion peerVersion,
                                Outbox &out) -> void
{
    auto &entry = this->peers[peer];
    entry.version = peerVersion;
    if (peerVersion <= this->version()) {
        return;
    }
    if (entry.requestedAt && now - *entry.requestedAt < tableRequestInterval) {
        return;
    }
    entry.requestedAt = now;
    out.toPeer(peer, TableRequest{this->version()});
}

auto TableKeeper::publish(Instant, const MembershipView &view, Outbox &out) -> void
{
    if (this->newestTable == nullptr || this->publishedVersion >= this->version()) {
        return;
    }
    this->publishedVersion = this->version();
    const auto order =
        distributionOrder(view, this->newestTable->record().coordinator, this->version());
    for (const auto &child : childrenOf(order, this->self.id, tableFanOut)) {
        if (this->peers[child].version < this->version()) {
            this->send(child, out);
        }
    }
}

auto TableKeeper::send(const DaemonId &peer, Outbox &out) -> void
{
    this->sentBytes += this->encodedRecord.size();
    out.toPeer(peer, TableUpdate{this->version(), this->encodedRecord});
}

} // namespace gooseberrywall
