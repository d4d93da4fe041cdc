#pragma once

#include <cstdint>
#include <string>

namespace gooseberrywall {

enum class IniErrorKind : std::uint8_t {
    None,
    Syntax,
    UnknownSection,
    MissingSection,
    DuplicateSection,
    UnknownKey,
    MissingKey,
    DuplicateKey,
    BadValue,
    OutOfRange,
    /// The value is valid by itself, but contradicts another one.
    Contradiction,
};

/// Why a document was rejected: the place, the error and the remedy.
struct IniError
{
    IniErrorKind kind = IniErrorKind::None;
    std::string file;
    /// Line number from one; zero if the error concerns no particular line.
    int line = 0;
    /// The heading without brackets, such as "service fitment".
    std::string section;
    std::string key;
    std::string message;
    /// What to do about the error, as one sentence.
    std::string remedy;

    auto operator==(const IniError &) const -> bool = default;

    /// @returns place, message and remedy in one line
    [[nodiscard]] auto text() const -> std::string;
};

/// @returns the kind as written to logs and JSON, such as "unknown_key"
[[nodiscard]] auto toString(IniErrorKind kind) -> std::string;

} // namespace gooseberrywall
