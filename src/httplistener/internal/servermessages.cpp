#include "httplistener/types/servermessages.h"

namespace gooseberrywall {

auto ServerRequest::header(std::string_view name) const -> std::string_view
{
    for (const auto &header : this->headers) {
        if (equalHeaderNames(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

} // namespace gooseberrywall
