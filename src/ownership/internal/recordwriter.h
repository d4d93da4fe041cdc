#pragma once

#include "ownership/recordcodec.h"
#include "ownership/types/coordinatorsettings.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"

#include <cstdint>
#include <optional>

namespace gooseberrywall {

/// What became of the writer's last call.
enum class WriterEvent : std::uint8_t {
    /// Another call's answer, or nothing new.
    None,
    /// The record was read; what was being written isn't in it, as far as one can tell.
    Read,
    /// The last write is surely in the store.
    Written,
};

/// Reads the cell's record and replaces it by compare-and-swap, one call at a time. After an
/// uncertain answer it reads back and recognises its own write by the operation id.
class RecordWriter
{
public:
    RecordWriter(const DaemonIdentity &self, const CoordinatorSettings &settings,
                 std::uint64_t seed);

    /// Reads the record where it isn't known.
    auto tick(Instant now, Outbox &out) -> void;

    /// @returns what happened; nothing where the call isn't one of this class
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer, Outbox &out)
        -> std::optional<WriterEvent>;

    /// @returns whether the stored record is known and no call is open
    [[nodiscard]] auto isReady(Instant now) const -> bool;

    /// @returns the newest version that is known to be stored; an empty one where none is
    [[nodiscard]] auto stored() const -> const CellRecord & { return this->storedRecord; }

    /// @returns whether the store was read since the start or the last forget()
    [[nodiscard]] auto isKnown() const -> bool { return this->isStoredKnown; }

    /// Writes the next version.
    /// @param draft its version and operation are set here
    auto write(Instant now, CellRecord draft, Outbox &out) -> void;

    /// Reads again before the next write.
    auto invalidate() -> void;

    /// @returns a stored version that wasn't returned before
    auto takeNewRecord() -> std::optional<CellRecord>;

private:
    auto onRead(Instant now, const StoreAnswer &answer, Outbox &out) -> WriterEvent;
    auto onWritten(Instant now, const StoreAnswer &answer) -> WriterEvent;
    auto postpone(Instant now) -> void;
    auto accept(CellRecord record, StoreVersion version) -> void;

    CoordinatorSettings settings;
    std::string key;
    std::string operationPrefix;
    std::uint64_t writeCount = 0;
    std::optional<CallId> readCall;
    std::optional<CallId> writeCall;
    std::optional<CellRecord> pendingRecord;
    CellRecord storedRecord;
    StoreVersion storeVersion;
    bool isStoredKnown = false;
    RecordVersion lastTakenVersion;
    bool hasNewRecord = false;
    Instant earliestCallAt{};
    RecordDecoder decoder;
};

} // namespace gooseberrywall
