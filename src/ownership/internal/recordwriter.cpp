#include "ownership/internal/recordwriter.h"

#include "common/logline.h"
#include "common/mutation.h"

#include <utility>

namespace gooseberrywall {

namespace {

constexpr Duration retryInterval = std::chrono::milliseconds{100};

} // namespace

RecordWriter::RecordWriter(const DaemonIdentity &self, const CoordinatorSettings &settings,
                           std::uint64_t seed)
    : settings(settings)
    , key("cell/" + settings.cell + "/record")
    , operationPrefix(self.id.value + "/" + std::to_string(self.incarnation.value) + "/"
                      + std::to_string(seed) + "/")
{
}

auto RecordWriter::tick(Instant now, Outbox &out) -> void
{
    if (this->isStoredKnown || this->readCall || this->writeCall || now < this->earliestCallAt) {
        return;
    }
    this->readCall = out.toStore(StoreGet{this->key}, this->settings.storeTimeout);
}

auto RecordWriter::isReady(Instant now) const -> bool
{
    return this->isStoredKnown && !this->readCall && !this->writeCall
           && now >= this->earliestCallAt;
}

auto RecordWriter::write(Instant now, CellRecord draft, Outbox &out) -> void
{
    ++this->writeCount;
    draft.version = this->storedRecord.version.next();
    draft.operation = OperationId{this->operationPrefix + std::to_string(this->writeCount)};
    auto value = encodeRecord(draft);
    if (value.size() > recordLimitBytes) {
        out.log(LogLine("record_too_large")
                    .with("bytes", static_cast<std::int64_t>(value.size()))
                    .with("remedy", "Split the cell, or lower shard_count of its services.")
                    .text());
        this->earliestCallAt = now + this->settings.storeBackoffLimit;
        return;
    }
    this->pendingRecord = std::move(draft);
    if (isMutated(Mutation::AdoptBeforeWrite)) {
        this->accept(*this->pendingRecord, this->storeVersion);
    }
    this->writeCall =
        out.toStore(StoreCompareAndSwap{this->key, std::move(value), this->storeVersion},
                    this->settings.storeTimeout);
}

auto RecordWriter::onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer, Outbox &out)
    -> std::optional<WriterEvent>
{
    if (this->readCall == call) {
        this->readCall.reset();
        return this->onRead(now, answer, out);
    }
    if (this->writeCall == call) {
        this->writeCall.reset();
        return this->onWritten(now, answer);
    }
    return std::nullopt;
}

auto RecordWriter::onRead(Instant now, const StoreAnswer &answer, Outbox &out) -> WriterEvent
{
    const auto isMissing = answer.status == StoreStatus::Conflict
                           || (answer.status == StoreStatus::Ok && answer.items.empty());
    if (isMissing && this->storedRecord.version.value > 0) {
        out.log(LogLine("record_missing")
                    .with("remedy", "The store no longer has the cell's record: restore it.")
                    .text());
        this->postpone(now);
        return WriterEvent::None;
    }
    if (isMissing) {
        this->accept(CellRecord{}, StoreVersion{});
        this->pendingRecord.reset();
        return WriterEvent::Read;
    }
    if (answer.status != StoreStatus::Ok) {
        this->postpone(now);
        return WriterEvent::None;
    }
    const auto &item = answer.items.front();
    auto record = this->decoder.decode(item.value);
    if (!record) {
        out.log(
            LogLine("record_unreadable").with("remedy", remedy(this->decoder.lastError())).text());
        this->postpone(now);
        return WriterEvent::None;
    }
    const auto isOwn = this->pendingRecord && this->pendingRecord->operation == record->operation;
    this->accept(std::move(*record), item.version);
    this->pendingRecord.reset();
    return isOwn ? WriterEvent::Written : WriterEvent::Read;
}

auto RecordWriter::onWritten(Instant now, const StoreAnswer &answer) -> WriterEvent
{
    if (answer.status == StoreStatus::Ok && !answer.items.empty()) {
        this->accept(std::move(*this->pendingRecord), answer.items.front().version);
        this->pendingRecord.reset();
        return WriterEvent::Written;
    }
    if (answer.status == StoreStatus::Unavailable) {
        this->pendingRecord.reset();
        this->postpone(now);
        return WriterEvent::None;
    }
    this->isStoredKnown = false;
    return WriterEvent::None;
}

auto RecordWriter::postpone(Instant now) -> void
{
    this->earliestCallAt = now + retryInterval;
}

auto RecordWriter::accept(CellRecord record, StoreVersion version) -> void
{
    this->storedRecord = std::move(record);
    this->storeVersion = version;
    this->isStoredKnown = true;
    this->hasNewRecord = this->storedRecord.version > this->lastTakenVersion;
}

auto RecordWriter::invalidate() -> void
{
    this->isStoredKnown = false;
}

auto RecordWriter::takeNewRecord() -> std::optional<CellRecord>
{
    if (!this->hasNewRecord) {
        return std::nullopt;
    }
    this->hasNewRecord = false;
    this->lastTakenVersion = this->storedRecord.version;
    return this->storedRecord;
}

} // namespace gooseberrywall
