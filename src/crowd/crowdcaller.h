#pragma once

#include "crowd/types/callerplan.h"
#include "http/endpoint.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace gooseberrywall {

/// A caller that sends one request in turns, without waiting for the socket. Continues to send
/// after an answer, as a caller does that ignores refusals. The destructor closes the connection.
class CrowdCaller
{
public:
    CrowdCaller(Endpoint server, CallerPlan plan);
    ~CrowdCaller();
    CrowdCaller(const CrowdCaller &) = delete;
    auto operator=(const CrowdCaller &) -> CrowdCaller & = delete;

    /// Connects, sends and reads what is possible at this moment.
    auto advance() -> void;
    /// @returns whether everything that the plan contains was sent and the connection is open, or
    ///          no further connection will be opened
    [[nodiscard]] auto isSettled() const -> bool;
    /// @returns whether the last connection was closed or failed
    [[nodiscard]] auto isClosed() const -> bool { return this->descriptor < 0; }
    /// @returns the status of the last connection's answer; zero if there is none
    [[nodiscard]] auto status() const -> int;
    /// @returns the beginning of the last connection's answer
    [[nodiscard]] auto answer() const -> std::string_view { return this->received; }

private:
    auto connect() -> void;
    auto disconnect() -> void;
    auto send() -> void;
    auto receive() -> void;

    Endpoint server;
    CallerPlan plan;
    int descriptor = -1;
    int connectionCount = 0;
    std::size_t sentBytes = 0;
    std::string received;
};

} // namespace gooseberrywall
