#pragma once

#include "protocol/types/cellrecord.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// Maximum size of an encoded record: what the store holds in one value.
inline constexpr std::size_t recordLimitBytes = 1'000'000;

/// Why an encoded record can't be decoded.
enum class RecordError : std::uint8_t {
    None,
    /// Not a record, truncated, or larger than the decoder's limit.
    Malformed,
    /// In a format of another version of the program.
    UnknownFormat,
    /// An index of a name or upstream is past the end of its list, or an enumerator is unknown.
    DanglingIndex,
};

/// @returns what an operator can do about the error, as one sentence
[[nodiscard]] auto remedy(RecordError error) -> std::string_view;

/// Encodes a record as packed Cap'n Proto.
/// @returns the bytes for the store and for TableUpdate; equal for equal records
[[nodiscard]] auto encodeRecord(const CellRecord &record) -> std::string;

/// Decodes records and remembers the error of the last call.
class RecordDecoder
{
public:
    /// @param bytes made by encodeRecord, possibly of another version of the program, or damaged
    /// @returns the record; nothing on failure, with the reason in lastError()
    [[nodiscard]] auto decode(std::string_view bytes) -> std::optional<CellRecord>;

    /// @returns the error of the last call of decode(); RecordError::None after a success
    [[nodiscard]] auto lastError() const -> RecordError { return this->error; }

private:
    RecordError error = RecordError::None;
};

} // namespace gooseberrywall
