#pragma once

#include "http/clocktimer.h"
#include "http/endpoint.h"
#include "stubs/httpserver/httpserver.h"
#include "stubs/platform/platformstore.h"

#include <optional>

namespace gooseberrywall {

/// Serves a PlatformStore over HTTP: calls in the encoding of platformwire, and control calls for
/// tests:
/// - POST /control/faults replaces all faults, with the fields of StoreFaults, times in
///   milliseconds, missing fields without fault:
///   `down`, `answer_delay_ms`, `lost_write_answers`, `lost_writes`, `watch_delay_ms`,
///   `double_watch_events`
/// - POST /control/vms adds or replaces a VM, /control/vms/remove removes the one named by `id`
/// - POST /control/vm-lag sets the lag of later changes of the list to `ms`
/// - GET /control/counts, POST /control/counts/reset
/// Instead of an Ambiguous answer, it closes the connection.
class PlatformServer
{
public:
    /// @param base runs the server; must outlive it
    explicit PlatformServer(event_base *base);

    /// @param endpoint the address to bind; port 0 picks a free port
    /// @returns the bound address; no value if binding failed
    auto listen(const Endpoint &endpoint) -> std::optional<Endpoint>;

    /// The served store; call step() after changing it.
    PlatformStore store;

    /// Advances the store, sends its replies and sets the timer to its next change.
    auto step() -> void;

private:
    auto handle(const HttpCall &call) -> void;
    auto control(const HttpCall &call) -> HttpAnswer;
    auto send(const StoreReply &reply) -> void;

    HttpServer server;
    ClockTimer timer;
};

} // namespace gooseberrywall
