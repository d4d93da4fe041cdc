#include "http/types/httpmessage.h"

#include <strings.h>

namespace gooseberrywall {

auto equalHeaderNames(std::string_view left, std::string_view right) -> bool
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

auto HttpAnswer::header(std::string_view name) const -> const std::string *
{
    for (const auto &header : this->headers) {
        if (equalHeaderNames(header.name, name)) {
            return &header.value;
        }
    }
    return nullptr;
}

} // namespace gooseberrywall
