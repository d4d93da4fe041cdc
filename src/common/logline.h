#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// Builds one log line of key=value pairs. Values are limited in length and escaped, so that text
/// from outside can neither end the line nor forge a pair.
class LogLine
{
public:
    /// @param event the event's name, in snake_case
    explicit LogLine(std::string_view event);

    auto with(std::string_view key, std::string_view value) -> LogLine &;
    auto with(std::string_view key, std::int64_t value) -> LogLine &;

    /// Adds a number with one decimal.
    auto withDecimal(std::string_view key, double value) -> LogLine &;

    /// @returns the line, without a newline
    [[nodiscard]] auto text() const -> const std::string & { return this->line; }

private:
    std::string line;
};

} // namespace gooseberrywall
