#include "ownership/tablekeeper.h"

#include "common/hash.h"
#include "common/logline.h"
#include "common/mutation.h"
#include "ownership/internal/distributiontree.h"
#include "ownership/recorddelta.h"

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
    if (this->newestTable != nullptr) {
        this->earlierTables.push_back(this->newestTable);
        if (this->earlierTables.size() > keptTableVersions) {
            this->earlierTables.pop_front();
        }
    }
    this->changes.clear();
    this->newestTable = std::make_shared<const Table>(std::move(record));
    this->encodedRecord = encodeRecord(this->newestTable->record());
    return true;
}

auto TableKeeper::onMessage(Instant now, const DaemonId &from, const PeerMessage &message,
                            Outbox &out) -> bool
{
    if (const auto *request = std::get_if<TableRequest>(&message)) {
        this->peers[from].version = request->knownVersion;
        if (request->knownVersion < this->version()) {
            this->send(from, request->knownVersion, out);
        }
        return false;
    }
    if (const auto *update = std::get_if<TableUpdate>(&message)) {
        return this->onUpdate(now, from, *update, out);
    }
    return false;
}

auto TableKeeper::onUpdate(Instant now, const DaemonId &from, const TableUpdate &update,
                           Outbox &out) -> bool
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
    if (update.base.value != 0) {
        return this->onChanges(now, from, update, *record, out);
    }
    return this->adopt(std::move(*record));
}

auto TableKeeper::onChanges(Instant now, const DaemonId &from, const TableUpdate &update,
                            const CellRecord &changes, Outbox &out) -> bool
{
    auto base = this->newestTable;
    if (isMutated(Mutation::ApplyOlderTable)) {
        const auto found = std::find_if(
            this->earlierTables.begin(), this->earlierTables.end(),
            [&](const TablePointer &table) { return table->version() == update.base; });
        base = found == this->earlierTables.end() ? base : *found;
    }
    if (base == nullptr || base->version() != update.base) {
        this->request(now, from, this->version(), out);
        return false;
    }
    auto record = applyDelta(base->record(), changes);
    if (stableHash(encodeRecord(record)) != update.digest) {
        out.log(LogLine("table_changes_rejected")
                    .with("from", from.value)
                    .with("base", static_cast<std::int64_t>(update.base.value))
                    .with("remedy", "the whole table is requested")
                    .text());
        this->request(now, from, RecordVersion{}, out);
        return false;
    }
    return this->adopt(std::move(record));
}

auto TableKeeper::request(Instant now, const DaemonId &from, RecordVersion known, Outbox &out)
    -> void
{
    this->peers[from].requestedAt = now;
    out.toPeer(from, TableRequest{known});
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
    this->request(now, peer, this->version(), out);
}

auto TableKeeper::publish(Instant, const MembershipView &view, Outbox &out) -> void
{
    if (this->newestTable == nullptr || this->publishedVersion >= this->version()) {
        return;
    }
    this->publishedVersion = this->version();
    // A daemon that has another version requests what it lacks.
    const auto base =
        this->earlierTables.empty() ? RecordVersion{} : this->earlierTables.back()->version();
    const auto order =
        distributionOrder(view, this->newestTable->record().coordinator, this->version());
    for (const auto &child : childrenOf(order, this->self.id, tableFanOut)) {
        if (this->peers[child].version < this->version()) {
            this->send(child, base, out);
        }
    }
}

auto TableKeeper::send(const DaemonId &peer, RecordVersion base, Outbox &out) -> void
{
    const auto &encoded = this->encodedChanges(base);
    if (encoded.empty()) {
        this->sentBytes += this->encodedRecord.size();
        out.toPeer(peer, TableUpdate{this->version(), this->encodedRecord});
        return;
    }
    this->sentBytes += encoded.size();
    out.toPeer(peer, TableUpdate{this->version(), encoded, base, stableHash(this->encodedRecord)});
}

auto TableKeeper::encodedChanges(RecordVersion base) -> const std::string &
{
    const auto [entry, isNew] = this->changes.try_emplace(base);
    const auto table =
        std::find_if(this->earlierTables.begin(), this->earlierTables.end(),
                     [&](const TablePointer &each) { return each->version() == base; });
    if (!isNew || table == this->earlierTables.end()) {
        return entry->second;
    }
    if (const auto delta = recordDelta((*table)->record(), this->newestTable->record())) {
        auto encoded = encodeRecord(*delta);
        entry->second = encoded.size() < this->encodedRecord.size() ? std::move(encoded) : "";
    }
    return entry->second;
}

} // namespace gooseberrywall
