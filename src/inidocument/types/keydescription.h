#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// The type of a key's value.
enum class ValueKind : std::uint8_t {
    /// Text; the range limits its length in bytes.
    Text,
    /// "yes" or "no"; also "true", "false", "on", "off".
    Boolean,
    /// A whole number in decimal notation; the range limits it.
    Integer,
    /// A whole number of milliseconds; the key's name ends in `_ms`. The range limits it.
    Milliseconds,
    /// A number of seconds with up to three decimal places, kept in milliseconds; the key's name
    /// ends in `_s`. The range limits the milliseconds.
    Seconds,
    /// A number with up to three decimal places, kept in thousandths. The range limits the
    /// thousandths.
    Decimal,
    /// Texts separated by commas; the range limits the number of items.
    List,
};

/// Describes one key of an INI section. CheckedIni checks values by it, and the reference pages are
/// generated from it.
struct KeyDescription
{
    std::string name;
    ValueKind kind = ValueKind::Text;
    /// Unit in the reference pages, such as "bytes"; empty if there is none.
    std::string unit;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// The value if the key is missing; empty: the key is required.
    std::optional<std::string> defaultValue;
    /// When a change of the value takes effect, in the reference pages.
    std::string takesEffect;
    /// What the value does, as sentences of the reference pages.
    std::string text;

    auto operator==(const KeyDescription &) const -> bool = default;
};

/// How many sections of a kind a document may have.
enum class SectionCount : std::uint8_t {
    /// Exactly one: `[kind]`.
    One,
    /// None or one: `[kind]`. If it is missing, its keys have their default values.
    Optional,
    /// Any number, each with a different name: `[kind name]`.
    Named,
};

/// Describes one kind of section.
struct SectionDescription
{
    std::string kind;
    SectionCount count = SectionCount::One;
    /// What the section is for, as sentences.
    std::string text;
    std::vector<KeyDescription> keys;

    auto operator==(const SectionDescription &) const -> bool = default;

    /// @returns the description of the key; nullptr if the section has no such key
    [[nodiscard]] auto find(const std::string &name) const -> const KeyDescription *
    {
        for (const auto &key : this->keys) {
            if (key.name == name) {
                return &key;
            }
        }
        return nullptr;
    }
};

} // namespace gooseberrywall
