#pragma once

#include "common/types/instant.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gooseberrywall {

/// A checked value of a key: text, yes or no, a number (also of milliseconds), or a list.
using IniValue = std::variant<std::string, bool, std::int64_t, std::vector<std::string>>;

/// One key of a section, from the file or by default.
struct IniEntry
{
    std::string key;
    IniValue value;
    /// Zero where the default applies.
    int line = 0;

    auto operator==(const IniEntry &) const -> bool = default;
};

/// One section with a value for each key of its description.
/// The accessors may only be asked for keys that the description has, by their kind.
class IniSection
{
public:
    IniSection(std::string kind, std::string name, int line, std::vector<IniEntry> entries);

    [[nodiscard]] auto kind() const -> const std::string & { return this->sectionKind; }
    /// @returns the name after the kind; empty for sections without one
    [[nodiscard]] auto name() const -> const std::string & { return this->sectionName; }
    /// @returns what stands between the brackets
    [[nodiscard]] auto heading() const -> std::string;
    /// @returns the heading's line; zero where the section is missing and has default values
    [[nodiscard]] auto line() const -> int { return this->headingLine; }
    /// @returns the line of a key; the heading's where the default applies
    [[nodiscard]] auto lineOf(const std::string &key) const -> int;

    [[nodiscard]] auto text(const std::string &key) const -> const std::string &;
    [[nodiscard]] auto boolean(const std::string &key) const -> bool;
    [[nodiscard]] auto integer(const std::string &key) const -> std::int64_t;
    /// @returns the value of a key of kind Milliseconds or Seconds
    [[nodiscard]] auto duration(const std::string &key) const -> Duration;
    [[nodiscard]] auto list(const std::string &key) const -> const std::vector<std::string> &;

    auto operator==(const IniSection &) const -> bool = default;

private:
    [[nodiscard]] auto entry(const std::string &key) const -> const IniEntry &;

    std::string sectionKind;
    std::string sectionName;
    int headingLine = 0;
    std::vector<IniEntry> entries;
};

/// A checked document: its sections in the order of the file, then those that have defaults only.
class IniValues
{
public:
    explicit IniValues(std::vector<IniSection> sections);

    [[nodiscard]] auto sections() const -> const std::vector<IniSection> &
    {
        return this->allSections;
    }
    /// @returns the first section of a kind; nullptr where there is none. Sections that are
    ///          described as One or Optional are always there.
    [[nodiscard]] auto find(const std::string &kind, const std::string &name = {}) const
        -> const IniSection *;

    auto operator==(const IniValues &) const -> bool = default;

private:
    std::vector<IniSection> allSections;
};

} // namespace gooseberrywall
