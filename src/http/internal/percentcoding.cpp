#include "http/percentcoding.h"

#include <array>
#include <charconv>
#include <cstdint>

namespace gooseberrywall {

namespace {

constexpr std::string_view unescaped =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
constexpr std::string_view hexDigits = "0123456789ABCDEF";
constexpr int hexBase = 16;
constexpr std::size_t byteValues = 256;

constexpr auto makeUnescapedTable() -> std::array<bool, byteValues>
{
    std::array<bool, byteValues> table{};
    for (const auto letter : unescaped) {
        table.at(static_cast<unsigned char>(letter)) = true;
    }
    return table;
}

constexpr auto isUnescaped = makeUnescapedTable();

} // namespace

auto percentEncode(std::string_view bytes) -> std::string
{
    std::string text;
    text.reserve(bytes.size());
    for (const auto letter : bytes) {
        const auto byte = static_cast<unsigned char>(letter);
        if (isUnescaped[byte]) {
            text += letter;
            continue;
        }
        text += '%';
        text += hexDigits[byte >> 4U];
        text += hexDigits[byte & 0x0fU];
    }
    return text;
}

auto percentDecode(std::string_view text) -> std::optional<std::string>
{
    std::string bytes;
    bytes.reserve(text.size());
    while (!text.empty()) {
        if (text.front() != '%') {
            bytes += text.front();
            text.remove_prefix(1);
            continue;
        }
        if (text.size() < 3) {
            return std::nullopt;
        }
        std::uint8_t byte = 0;
        const auto *const first = text.data() + 1;
        const auto [end, error] = std::from_chars(first, first + 2, byte, hexBase);
        if (error != std::errc{} || end != first + 2) {
            return std::nullopt;
        }
        bytes += static_cast<char>(byte);
        text.remove_prefix(3);
    }
    return bytes;
}

} // namespace gooseberrywall
