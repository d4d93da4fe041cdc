#pragma once

#include "common/types/instant.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

/// Reads fields of received JSON objects. Strict, since nlohmann::json silently converts numbers
/// that are out of range. The functions throw MalformedField or json::exception; decoded() catches
/// both and returns nothing.
namespace gooseberrywall::jsonfields {

using nlohmann::json;

/// Thrown if a field's value has the wrong form; the message says what is wrong with it.
class MalformedField : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// @returns the decoded text of a percent-encoded field
[[nodiscard]] auto textOf(const json &object, const char *field) -> std::string;

/// @returns the duration in a field that holds microseconds
[[nodiscard]] auto durationOf(const json &object, const char *field) -> Duration;

/// @returns the integer in a field
/// @throws MalformedField if the field isn't an integer or Number can't represent it
template<typename Number>
[[nodiscard]] auto numberOf(const json &object, const char *field) -> Number
{
    const auto &number = object.at(field);
    if (!number.is_number_integer()) {
        throw MalformedField("the field isn't an integer");
    }
    const auto fits = number.is_number_unsigned()
                          ? std::in_range<Number>(number.get<std::uint64_t>())
                          : std::in_range<Number>(number.get<std::int64_t>());
    if (!fits) {
        throw MalformedField("the integer is out of the type's range");
    }
    return number.get<Number>();
}

/// @param names the names that the field may hold, in the order of the enumerators
/// @returns the enumerator that the field names
/// @throws MalformedField if the field holds another name
template<typename Enumeration, typename Names>
[[nodiscard]] auto enumeratorOf(const json &object, const char *field, const Names &names)
    -> Enumeration
{
    const auto &word = object.at(field).get_ref<const std::string &>();
    for (std::size_t index = 0; index < names.size(); ++index) {
        if (names.at(index) == word) {
            return static_cast<Enumeration>(index);
        }
    }
    throw MalformedField("the field holds none of the known names");
}

/// Parses a JSON body and reads a value from it.
/// @param read takes the JSON object and returns the value
/// @returns the value; nothing if the body isn't a JSON object or `read` throws
///          MalformedField or json::exception
template<typename Read>
[[nodiscard]] auto decoded(std::string_view body, Read read)
    -> std::optional<decltype(read(json{}))>
{
    const auto object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
        return std::nullopt;
    }
    try {
        return read(object);
    } catch (const json::exception &) {
        return std::nullopt;
    } catch (const MalformedField &) {
        return std::nullopt;
    }
}

} // namespace gooseberrywall::jsonfields
