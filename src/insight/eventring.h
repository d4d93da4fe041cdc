#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace gooseberrywall {

/// An event in the life of one request.
struct RequestEvent
{
    Instant at{};
    RequestId request;
    /// The event's name, in snake_case.
    std::string what;
    /// The daemon, upstream or shard concerned.
    std::string where;

    auto operator==(const RequestEvent &) const -> bool = default;
};

/// Keeps the latest events of all requests, so that an operator can look up those of one request.
class EventRing
{
public:
    /// @param capacity how many events are kept; zero keeps none
    explicit EventRing(std::size_t capacity = 16384);

    auto record(Instant at, const RequestId &request, std::string_view what, std::string_view where)
        -> void;

    /// @returns the kept events of a request, oldest first
    [[nodiscard]] auto find(const RequestId &request) const -> std::vector<RequestEvent>;

private:
    std::size_t capacity;
    std::size_t next = 0;
    std::vector<RequestEvent> events;
};

} // namespace gooseberrywall
