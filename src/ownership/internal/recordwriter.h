#pragma once

#include "ownership/recordcodec.h"
#include "ownership/types/coordinatorsettings.h"
#include "protocol/outbox.h"
#include "protocol/types/daemonidentity.h"

#include <cstdint>
#include <optional>

namespace gooseberrywall {

/// What the answer to one of the writer's calls showed.
enum class WriterEvent : std::uint8_t {
    /// The call failed or its effect is unknown; no version was confirmed.
    None,
    /// The record was read, and isn't the version that was being written, if any was.
    Read,
    /// The last write is known to be stored.
    Written,
};

/// Reads the cell's record and replaces it by compare-and-swap, one call at a time. After an
/// ambiguous answer it reads the record again and recognises its own write by the operation id.
class RecordWriter
{
public:
    RecordWriter(const DaemonIdentity &self, const CoordinatorSettings &settings,
                 std::uint64_t seed);

    /// Reads the record if the stored version isn't known.
    auto tick(Instant now, Outbox &out) -> void;

    /// @returns what the answer showed; nothing if the call wasn't made by this object
    auto onStoreAnswer(Instant now, CallId call, const StoreAnswer &answer, Outbox &out)
        -> std::optional<WriterEvent>;

    /// @returns whether a write may be sent: the stored record is known, no call is open, and the
    ///          delay after a failure has passed
    [[nodiscard]] auto isReady(Instant now) const -> bool;

    /// @returns the last version that was read or written; an empty record if there is none
    [[nodiscard]] auto stored() const -> const CellRecord & { return this->storedRecord; }

    /// @returns whether stored() is the version in the store, as far as this object knows
    [[nodiscard]] auto isKnown() const -> bool { return this->isStoredKnown; }

    /// Writes the next version.
    /// @param draft the next record; version and operation are set by this function
    auto write(Instant now, CellRecord draft, Outbox &out) -> void;

    /// Has the record read again before the next write.
    auto invalidate() -> void;

    /// @returns a stored version newer than those returned before; nothing if there is none
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
