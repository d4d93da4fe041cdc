#pragma once

#include "common/types/ids.h"
#include "streams/frontlistener.h"

#include <functional>
#include <string>

struct event_base;

namespace gooseberrywall {

/// The daemon's pages for the platform and its operators: readiness, and metrics.
class EdgePages
{
public:
    using IsReady = std::function<bool()>;
    using MetricsText = std::function<std::string()>;

    /// @param now reads the clock
    EdgePages(event_base *base, const Address &readyListen, const Address &metricsListen,
              const std::function<Instant()> &now, IsReady isReady, MetricsText metricsText);

    /// @throws std::runtime_error where the readiness address can't be bound
    auto startReadiness() -> void { this->readyListener.start(); }
    /// @throws std::runtime_error where the metrics address can't be bound
    auto startMetrics() -> void { this->metricsListener.start(); }
    /// Closes connections that exceed a timeout; to be called about twice a second.
    auto sweep() -> void;

private:
    auto onReadyAsked(ExchangeId exchange) -> void;
    auto onMetricsAsked(ExchangeId exchange) -> void;

    IsReady isReady;
    MetricsText metricsText;
    FrontListener readyListener;
    FrontListener metricsListener;
};

} // namespace gooseberrywall
