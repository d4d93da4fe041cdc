#pragma once

#include "inidocument/types/inierror.h"
#include "inidocument/types/inivalues.h"
#include "inidocument/types/keydescription.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// Parses INI documents against descriptions of their sections and keys. A document with any error
/// is rejected as a whole: unknown, missing or duplicate sections and keys, values that are
/// malformed or out of range, lines that are too long, and continuation lines of values that aren't
/// lists.
class CheckedIni
{
public:
    /// @param text the document
    /// @param fileName only used in errors
    /// @param descriptions all section kinds that the document may have
    /// @returns the values, with defaults for missing keys; nothing if the document is rejected
    [[nodiscard]] auto parse(std::string_view text, const std::string &fileName,
                             const std::vector<SectionDescription> &descriptions)
        -> std::optional<IniValues>;

    /// @returns why the last document was rejected
    [[nodiscard]] auto lastError() const -> const IniError & { return this->error; }

private:
    IniError error;
};

/// @returns the parsed value, or an error with kind, message and remedy if the value is malformed
///          or out of range
[[nodiscard]] auto checkValue(const KeyDescription &description, const std::string &value)
    -> std::variant<IniValue, IniError>;

} // namespace gooseberrywall
