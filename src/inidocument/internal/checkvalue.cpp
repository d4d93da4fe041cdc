#include "inidocument/checkedini.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace gooseberrywall {

namespace {

using CheckResult = std::variant<IniValue, IniError>;

auto makeError(IniErrorKind kind, const std::string &message, const std::string &remedy)
    -> CheckResult
{
    auto error = IniError{};
    error.kind = kind;
    error.message = message;
    error.remedy = remedy;
    return error;
}

auto rangeText(const KeyDescription &description) -> std::string
{
    const auto unit = description.unit.empty() ? "" : " " + description.unit;
    return std::to_string(description.minimum) + " to " + std::to_string(description.maximum)
           + unit;
}

auto isInRange(const KeyDescription &description, std::int64_t value) -> bool
{
    return value >= description.minimum && value <= description.maximum;
}

auto checkBoolean(const std::string &value) -> CheckResult
{
    constexpr auto trueWords = std::array{"yes", "true", "on"};
    constexpr auto falseWords = std::array{"no", "false", "off"};
    if (std::find(trueWords.begin(), trueWords.end(), value) != trueWords.end()) {
        return IniValue{true};
    }
    if (std::find(falseWords.begin(), falseWords.end(), value) != falseWords.end()) {
        return IniValue{false};
    }
    return makeError(IniErrorKind::BadValue, "'" + value + "' is neither yes nor no",
                     "Write 'yes' or 'no'.");
}

auto checkInteger(const KeyDescription &description, const std::string &value) -> CheckResult
{
    auto number = std::int64_t{0};
    const auto *end = value.data() + value.size();
    const auto result = std::from_chars(value.data(), end, number);
    const auto tooLarge = result.ec == std::errc::result_out_of_range;
    if (result.ptr != end || value.empty() || (result.ec != std::errc{} && !tooLarge)) {
        return makeError(IniErrorKind::BadValue, "'" + value + "' is not a whole number",
                         "Write a whole number, " + rangeText(description) + ", without a unit.");
    }
    if (tooLarge || !isInRange(description, number)) {
        return makeError(IniErrorKind::OutOfRange, "'" + value + "' is out of range",
                         "Write a number from " + rangeText(description) + ".");
    }
    return IniValue{number};
}

auto checkText(const KeyDescription &description, const std::string &value) -> CheckResult
{
    if (!isInRange(description, static_cast<std::int64_t>(value.size()))) {
        return makeError(IniErrorKind::OutOfRange,
                         "the text has " + std::to_string(value.size()) + " bytes",
                         "Write a text of " + std::to_string(description.minimum) + " to "
                             + std::to_string(description.maximum) + " bytes.");
    }
    return IniValue{value};
}

auto splitList(const std::string &value) -> std::vector<std::string>
{
    auto items = std::vector<std::string>{};
    for (std::size_t from = 0; from <= value.size();) {
        const auto comma = std::min(value.find(',', from), value.size());
        const auto first = std::min(value.find_first_not_of(" \t", from), comma);
        const auto last = value.find_last_not_of(" \t", comma == 0 ? 0 : comma - 1);
        const auto empty = first == comma || last == std::string::npos;
        if (!empty) {
            items.push_back(value.substr(first, last + 1 - first));
        }
        from = comma + 1;
    }
    return items;
}

/// @returns the value in thousandths
auto checkDecimal(const KeyDescription &description, const std::string &value)
    -> std::variant<IniValue, IniError>
{
    constexpr std::size_t decimalPlaces = 3;
    constexpr std::size_t maximumWholeDigits = 12;
    const auto dot = std::min(value.find('.'), value.size());
    auto fraction = dot < value.size() ? value.substr(dot + 1) : std::string{};
    const auto allDigits = [](const std::string &digits) {
        return std::all_of(digits.begin(), digits.end(),
                           [](char character) { return character >= '0' && character <= '9'; });
    };
    // More decimal places are accepted only if they are zeros.
    const auto extraDigits =
        fraction.size() > decimalPlaces ? fraction.substr(decimalPlaces) : std::string{};
    fraction.resize(decimalPlaces, '0');
    const auto isValid = dot > 0 && dot <= maximumWholeDigits && allDigits(value.substr(0, dot))
                         && allDigits(fraction)
                         && extraDigits.find_first_not_of('0') == std::string::npos;
    if (!isValid) {
        return makeError(IniErrorKind::BadValue, "'" + value + "' is not a decimal number",
                         "Write digits, with up to three decimal places after a point.");
    }
    const auto number = std::stoll(value.substr(0, dot)) * 1000 + std::stoll(fraction);
    if (!isInRange(description, number)) {
        return makeError(IniErrorKind::OutOfRange, "'" + value + "' is out of range",
                         "Write a number from " + std::to_string(description.minimum) + " to "
                             + std::to_string(description.maximum) + " thousandths.");
    }
    return IniValue{std::int64_t{number}};
}

auto checkList(const KeyDescription &description, const std::string &value) -> CheckResult
{
    auto items = splitList(value);
    const auto hasBlank = [](const std::string &item) {
        return item.find_first_of(" \t=") != std::string::npos;
    };
    if (std::any_of(items.begin(), items.end(), hasBlank)) {
        return makeError(IniErrorKind::BadValue, "an item of the list contains a space or '='",
                         "Separate the items by commas, and don't indent the next key.");
    }
    auto sorted = items;
    std::sort(sorted.begin(), sorted.end());
    if (std::adjacent_find(sorted.begin(), sorted.end()) != sorted.end()) {
        return makeError(IniErrorKind::BadValue, "an item occurs twice in the list",
                         "Remove one of the two.");
    }
    if (!isInRange(description, static_cast<std::int64_t>(items.size()))) {
        return makeError(IniErrorKind::OutOfRange,
                         "the list has " + std::to_string(items.size()) + " items",
                         "List " + std::to_string(description.minimum) + " to "
                             + std::to_string(description.maximum) + " items.");
    }
    return IniValue{std::move(items)};
}

} // namespace

auto checkValue(const KeyDescription &description, const std::string &value)
    -> std::variant<IniValue, IniError>
{
    switch (description.kind) {
    case ValueKind::Text:
        return checkText(description, value);
    case ValueKind::Boolean:
        return checkBoolean(value);
    case ValueKind::Integer:
    case ValueKind::Milliseconds:
        return checkInteger(description, value);
    case ValueKind::Seconds:
    case ValueKind::Decimal:
        return checkDecimal(description, value);
    case ValueKind::List:
        return checkList(description, value);
    }
    return makeError(IniErrorKind::BadValue, "the description of the key has an unknown kind",
                     "Report this as a bug.");
}

} // namespace gooseberrywall
