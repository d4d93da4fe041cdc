#pragma once

#include "http/clocktimer.h"
#include "http/endpoint.h"
#include "stubs/httpserver/httpserver.h"
#include "stubs/upstream/upstreammodel.h"

#include <functional>
#include <optional>

namespace gooseberrywall {

/// Serves an UpstreamModel over HTTP: calls in the encoding of upstreamwire, and control calls for
/// tests:
/// - GET /control/state: incarnation, clock, held grants, slots and counts
/// - GET /control/runs?after=N&limit=M: at most M runs with a number above N
/// - GET /control/double-runs: the non-idempotent requests that were run more than once
/// - POST /control/drain `draining`
/// - POST /control/misreport `load`, `healthy`: the values to report; null or missing for the
///   actual ones
/// - POST /control/freeze `ms`: stops the upstream for that time
/// - POST /control/service-time `us`: service time of operations that don't specify one
/// - POST /control/crash
class UpstreamServer
{
public:
    /// @param base runs the server; must outlive it
    /// @param settings the model's settings, except that its clock starts at the monotonic clock
    /// @param incarnation the model's incarnation
    /// @param crashed called when the model has crashed; the program ends its process
    UpstreamServer(event_base *base, UpstreamModelSettings settings, Incarnation incarnation,
                   std::function<void()> crashed);

    /// @param endpoint the address to bind; port 0 picks a free port
    /// @returns the bound address; no value if binding failed
    auto listen(const Endpoint &endpoint) -> std::optional<Endpoint>;

    /// The served model; call step() after changing it.
    UpstreamModel model;

    /// Advances the model, sends its replies and sets the timer to its next change.
    auto step() -> void;

private:
    auto handle(HttpCall call) -> void;
    auto control(const HttpCall &call) -> HttpAnswer;
    auto send(const UpstreamReply &reply) -> void;

    std::function<void()> crashed;
    HttpServer server;
    ClockTimer timer;
};

} // namespace gooseberrywall
