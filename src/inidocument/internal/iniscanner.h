#pragma once

#include "inidocument/types/inierror.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// A key and its unchecked value.
struct RawEntry
{
    std::string key;
    std::string value;
    int line = 0;
    /// The value continues in indented lines, which are joined by commas here.
    bool continued = false;
};

/// A section with unchecked entries.
struct RawSection
{
    std::string kind;
    std::string name;
    int line = 0;
    std::vector<RawEntry> entries;
};

/// Splits an INI document into sections and entries with their line numbers, using libinih.
class IniScanner
{
public:
    /// @returns the sections in order; nothing if a line is malformed
    [[nodiscard]] auto scan(std::string_view text) -> std::optional<std::vector<RawSection>>;

    /// @returns why the last text was rejected, without a file name
    [[nodiscard]] auto lastError() const -> const IniError & { return this->error; }

private:
    static auto readLine(char *buffer, int size, void *scanner) -> char *;
    static auto handleEntry(void *scanner, const char *section, const char *name, const char *value)
        -> int;

    auto nextLine() -> std::string_view;
    auto readHeading() -> void;
    auto addEntry(const std::string &name, const std::string &value) -> void;
    auto fail(IniErrorKind kind, std::string message, std::string remedy) -> void;

    std::string_view remainingText;
    std::string_view currentLine;
    int lineNumber = 0;
    std::vector<RawSection> sections;
    IniError error;
};

} // namespace gooseberrywall
