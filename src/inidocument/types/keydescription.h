#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// What the value of a key must be.
enum class ValueKind : std::uint8_t {
    /// Any text; the range limits its length in bytes.
    Text,
    /// "yes" or "no"; also "true", "false", "on", "off".
    Boolean,
    /// A decimal whole number; the range limits it.
    Integer,
    /// A whole number of milliseconds; the key's name ends in `_ms`. The range limits it.
    Milliseconds,
    /// A decimal number of seconds with up to three places; the key's name ends in `_s`. The range
    /// limits it in milliseconds.
    Seconds,
    /// A decimal number with up to three places, kept in thousandths. The range limits those.
    Decimal,
    /// Texts separated by commas; the range limits their number.
    List,
};

/// Describes one key of an INI section. Drives checked parsing and the generated pages.
struct KeyDescription
{
    std::string name;
    ValueKind kind = ValueKind::Text;
    /// For people, such as "bytes"; empty where there is none.
    std::string unit;
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
    /// The value where the key is missing; without it the key is required.
    std::optional<std::string> defaultValue;
    /// When a change of the value takes effect, for people.
    std::string takesEffect;
    /// What the value does, as sentences.
    std::string text;

    auto operator==(const KeyDescription &) const -> bool = default;
};

/// How often a kind of section stands in a document.
enum class SectionCount : std::uint8_t {
    /// Exactly one: `[kind]`.
    One,
    /// None or one: `[kind]`. Where it is missing, the keys have their default values.
    Optional,
    /// Any number, each with a name of its own: `[kind name]`.
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

    /// @returns the description of a key; nullptr where the section has no such key
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
