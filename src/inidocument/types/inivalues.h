#pragma once

#include "common/types/instant.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace gooseberrywall {

/// A checked value: text, boolean, number (milliseconds for durations, thousandths for decimals),
/// or list.
using IniValue = std::variant<std::string, bool, std::int64_t, std::vector<std::string>>;

/// A key and its value, from the document or by default.
struct IniEntry
{
    std::string key;
    IniValue value;
    /// The line number; zero if the value is the default.
    int line = 0;

    auto operator==(const IniEntry &) const -> bool = default;
};

/// A section with a value for each key of its description. The accessors throw if the key isn't in
/// the description or has another kind.
class IniSection
{
public:
    IniSection(std::string kind, std::string name, int line, std::vector<IniEntry> entries);

    [[nodiscard]] auto kind() const -> const std::string & { return this->sectionKind; }
    /// @returns the name after the kind; empty for sections without a name
    [[nodiscard]] auto name() const -> const std::string & { return this->sectionName; }
    /// @returns the heading without brackets
    [[nodiscard]] auto heading() const -> std::string;
    /// @returns the line of the heading; zero if the section is missing and has default values
    [[nodiscard]] auto line() const -> int { return this->headingLine; }
    /// @returns the line of a key; that of the heading if the value is the default
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

/// A checked document: its sections in their order, then missing optional ones with default values.
class IniValues
{
public:
    explicit IniValues(std::vector<IniSection> sections);

    [[nodiscard]] auto sections() const -> const std::vector<IniSection> &
    {
        return this->allSections;
    }
    /// @param name empty: any name
    /// @returns the first section of the kind and name; nullptr if there is none. Sections that are
    ///          described as One or Optional always exist.
    [[nodiscard]] auto find(const std::string &kind, const std::string &name = {}) const
        -> const IniSection *;

    auto operator==(const IniValues &) const -> bool = default;

private:
    std::vector<IniSection> allSections;
};

} // namespace gooseberrywall
