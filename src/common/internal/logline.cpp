#include "common/logline.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>

namespace gooseberrywall {

namespace {

constexpr std::size_t valueLimitBytes = 512;

auto isUnquotedCharacter(char character) -> bool
{
    const auto byte = static_cast<unsigned char>(character);
    return std::isalnum(byte) != 0
           || std::string_view{"._-:/@+,"}.find(character) != std::string_view::npos;
}

auto appendEscaped(std::string &line, char character) -> void
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
        line += '\\';
        line += character;
        return;
    }
    if (byte < 0x20 || byte >= 0x7f) {
        line += "\\x";
        line += digits[byte >> 4U];
        line += digits[byte & 0x0fU];
        return;
    }
    line += character;
}

} // namespace

LogLine::LogLine(std::string_view event)
    : line("event=" + std::string(event))
{
}

auto LogLine::with(std::string_view key, std::string_view value) -> LogLine &
{
    this->line += ' ';
    this->line += key;
    this->line += '=';
    const auto limitedValue = value.substr(0, valueLimitBytes);
    if (!limitedValue.empty()
        && std::all_of(limitedValue.begin(), limitedValue.end(), isUnquotedCharacter)) {
        this->line += limitedValue;
        return *this;
    }
    this->line += '"';
    for (const auto character : limitedValue) {
        appendEscaped(this->line, character);
    }
    this->line += '"';
    return *this;
}

auto LogLine::with(std::string_view key, std::int64_t value) -> LogLine &
{
    return this->with(key, std::to_string(value));
}

auto LogLine::withDecimal(std::string_view key, double value) -> LogLine &
{
    std::array<char, 32> text{};
    static_cast<void>(std::snprintf(text.data(), text.size(), "%.1f", value));
    return this->with(key, text.data());
}

} // namespace gooseberrywall
