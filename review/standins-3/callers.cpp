#include "callers.h"

#include "http1/messagewriter.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall::review {

namespace {

constexpr Duration deadline = std::chrono::seconds{1};

auto poolSettings() -> OutboundPoolSettings
{
    OutboundPoolSettings settings;
    settings.connectTimeout = std::chrono::seconds{1};
    return settings;
}

} // namespace

Callers::Callers(event_base *base, Daemons &daemons)
    : daemons(daemons)
    , misses(daemons.size(), missLimit)
    , pool(base, poolSettings(), monotonicNow)
{
}

auto Callers::tick() -> void
{
    const auto moment = monotonicNow();
    if (moment < this->nextCheckAt) {
        return;
    }
    this->nextCheckAt = moment + std::chrono::seconds{1};
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        MessageHead head;
        head.method = "GET";
        head.target = "/readyz";
        head.headers = {HttpHeader{"Host", "platform.example"}};
        OutboundRequest request;
        request.address = this->daemons[index]->readyAddress();
        request.text = requestText(head, "", {});
        request.timeout = std::chrono::milliseconds{900};
        request.needsNewConnection = true;
        this->pool.send(std::move(request), [this, index](const OutboundResult &result) {
            const auto isReady =
                result.end == OutboundResult::End::Answered && result.answer.head.status == 200;
            this->misses[index] = isReady ? 0 : this->misses[index] + 1;
        });
    }
}

auto Callers::areAllInRotation() const -> bool
{
    return std::all_of(this->misses.begin(), this->misses.end(),
                       [](int count) { return count < missLimit; });
}

auto Callers::send(std::size_t daemon, const std::string &method, const std::string &target,
                   const std::string &body, Done done) -> std::string
{
    auto id = "request-" + std::to_string(this->nextRequest++);
    MessageHead head;
    head.method = method;
    head.target = target;
    head.headers = {HttpHeader{"Host", "shop.example"}, HttpHeader{"Request-Id", id},
                    HttpHeader{"Deadline-Ms", std::to_string(deadline / Duration{1000})}};
    OutboundRequest request;
    request.address = this->daemons.at(daemon)->callerAddress();
    request.text = requestText(head, body, {});
    request.timeout = deadline;
    request.needsNewConnection = true;
    this->pool.send(std::move(request), [done = std::move(done)](const OutboundResult &result) {
        done(result.end == OutboundResult::End::Answered ? result.answer.head.status : 0);
    });
    return id;
}

} // namespace gooseberrywall::review
