#include "callerapi/callerwire.h"

#include <cctype>

namespace gooseberrywall {

namespace {

constexpr std::size_t uuidLength = 36;
constexpr std::size_t versionPosition = 14;
constexpr std::size_t timeDigits = 12;
constexpr std::int64_t hexBase = 16;

auto isDashPosition(std::size_t position) -> bool
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

auto hexValue(char character) -> std::optional<int>
{
    if (character >= '0' && character <= '9') {
        return character - '0';
    }
    const auto lower = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    if (lower >= 'a' && lower <= 'f') {
        return lower - 'a' + 10;
    }
    return std::nullopt;
}

} // namespace

auto issueTimeOf(const RequestId &id) -> std::optional<UnixMillis>
{
    const auto &text = id.value;
    if (text.size() != uuidLength || text[versionPosition] != '7') {
        return std::nullopt;
    }
    UnixMillis time = 0;
    std::size_t digits = 0;
    for (std::size_t position = 0; position < text.size(); ++position) {
        if (isDashPosition(position)) {
            if (text[position] != '-') {
                return std::nullopt;
            }
            continue;
        }
        const auto value = hexValue(text[position]);
        if (!value) {
            return std::nullopt;
        }
        if (digits++ < timeDigits) {
            time = time * hexBase + *value;
        }
    }
    return time;
}

} // namespace gooseberrywall
