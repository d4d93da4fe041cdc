#include "edge/edgepages.h"

#include "edge/componentsettings.h"

#include <utility>

namespace gooseberrywall {

EdgePages::EdgePages(event_base *base, const Address &readyListen, const Address &metricsListen,
                     const std::function<Instant()> &now, IsReady isReady, MetricsText metricsText)
    : isReady(std::move(isReady))
    , metricsText(std::move(metricsText))
    , readyListener(
          base, pageSettings(readyListen), now,
          [this](ExchangeId exchange, const WholeMessage &) { this->onReadyAsked(exchange); },
          [](ExchangeId) {})
    , metricsListener(
          base, pageSettings(metricsListen), now,
          [this](ExchangeId exchange, const WholeMessage &) { this->onMetricsAsked(exchange); },
          [](ExchangeId) {})
{
}

auto EdgePages::sweep() -> void
{
    this->readyListener.sweep();
    this->metricsListener.sweep();
}

auto EdgePages::onReadyAsked(ExchangeId exchange) -> void
{
    MessageHead head;
    head.status = this->isReady() ? 200 : 503;
    this->readyListener.reply(exchange, head, "");
}

auto EdgePages::onMetricsAsked(ExchangeId exchange) -> void
{
    MessageHead head;
    head.status = 200;
    head.headers = {HttpHeader{"Content-Type", "text/plain; version=0.0.4"}};
    this->metricsListener.reply(exchange, head, this->metricsText());
}

} // namespace gooseberrywall
