#include "crowd/sizedupstream.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t bodyLimitBytes = std::size_t{128} * 1024 * 1024;

auto frontSettings(const Address &listen) -> FrontSettings
{
    FrontSettings settings;
    settings.listen = listen;
    settings.limits.bodyBytes = bodyLimitBytes;
    return settings;
}

} // namespace

SizedUpstream::SizedUpstream(event_base *base, Settings settings,
                             const std::function<Instant()> &now)
    : settings(std::move(settings))
    , listener(
          base, frontSettings(this->settings.listen), now,
          [this](ExchangeId exchange, const WholeMessage &request) {
              this->onRequest(exchange, request);
          },
          [](ExchangeId) {})
{
}

auto SizedUpstream::entry() const -> std::string
{
    return nlohmann::json{{"service", this->settings.service},
                          {"address", this->settings.listen.value},
                          {"zone", "north-1"},
                          {"version", "v1"},
                          {"capacity", this->settings.slots},
                          {"phase", "ready"},
                          {"warmup_left_s", 0},
                          {"sequence", 1},
                          {"born", 1}}
        .dump();
}

auto SizedUpstream::answerText(std::size_t receivedBytes) -> std::string
{
    return "received " + std::to_string(receivedBytes) + " bytes";
}

auto SizedUpstream::onRequest(ExchangeId exchange, const WholeMessage &request) -> void
{
    MessageHead head;
    head.status = 200;
    if (const auto *id = request.head.find("Request-Id")) {
        head.headers.push_back(HttpHeader{"Request-Id", *id});
    }
    head.headers.push_back(HttpHeader{"Server-Signature", "sig-" + this->settings.id});
    head.headers.push_back(
        HttpHeader{"Instance-Load", "0,0," + std::to_string(this->settings.slots)});
    const auto isLarge = !this->settings.largeAnswerPrefix.empty()
                         && request.head.target.starts_with(this->settings.largeAnswerPrefix);
    this->listener.reply(exchange, head,
                         isLarge ? std::string(this->settings.largeAnswerBytes, 'y')
                                 : answerText(request.body.size()));
}

} // namespace gooseberrywall
