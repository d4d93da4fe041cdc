#include "http/jsonfields.h"

#include "http/percentcoding.h"

namespace gooseberrywall::jsonfields {

auto textOf(const json &object, const char *field) -> std::string
{
    auto text = percentDecode(object.at(field).get_ref<const std::string &>());
    if (!text.has_value()) {
        throw MalformedField("the field holds an invalid percent escape");
    }
    return std::move(*text);
}

auto durationOf(const json &object, const char *field) -> Duration
{
    return Duration{numberOf<Duration::rep>(object, field)};
}

} // namespace gooseberrywall::jsonfields
