#include "insight/eventring.h"

namespace gooseberrywall {

EventRing::EventRing(std::size_t capacity)
    : capacity(capacity)
{
}

auto EventRing::record(Instant at, const RequestId &request, std::string_view what,
                       std::string_view where) -> void
{
    if (this->capacity == 0) {
        return;
    }
    if (this->events.size() < this->capacity) {
        this->events.push_back({at, request, std::string(what), std::string(where)});
        return;
    }
    auto &oldest = this->events[this->next];
    oldest.at = at;
    oldest.request = request;
    oldest.what.assign(what);
    oldest.where.assign(where);
    this->next = (this->next + 1) % this->capacity;
}

auto EventRing::find(const RequestId &request) const -> std::vector<RequestEvent>
{
    std::vector<RequestEvent> found;
    for (std::size_t index = 0; index < this->events.size(); ++index) {
        const auto &event = this->events[(this->next + index) % this->events.size()];
        if (event.request == request) {
            found.push_back(event);
        }
    }
    return found;
}

} // namespace gooseberrywall
