#include "proxy.h"

#include "http/endpoint.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <list>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>

namespace gooseberrywall::review {

namespace {

auto socketAddress(const Address &address) -> sockaddr_in
{
    const auto endpoint = parseEndpoint(address).value();
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.host.c_str(), &result.sin_addr);
    return result;
}

auto sendAtOnce(bufferevent *stream) -> void
{
    const int on = 1;
    setsockopt(bufferevent_getfd(stream), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

struct Pair
{
    void *owner = nullptr;
    bufferevent *daemon = nullptr;
    bufferevent *target = nullptr;
    /// Head of the last request.
    std::string head;
    bool isMute = false;
};

} // namespace

struct Proxy::State
{
    event_base *base = nullptr;
    sockaddr_in target{};
    std::string prefix;
    int lost = 0;
    evconnlistener *listener = nullptr;
    std::list<Pair> pairs;

    auto end(Pair *pair) -> void
    {
        bufferevent_free(pair->daemon);
        bufferevent_free(pair->target);
        this->pairs.remove_if([&](const Pair &each) { return &each == pair; });
    }

    static auto onDaemonBytes(bufferevent *from, void *self) -> void
    {
        auto *pair = static_cast<Pair *>(self);
        auto *input = bufferevent_get_input(from);
        const auto size = evbuffer_get_length(input);
        const std::string bytes(reinterpret_cast<const char *>(evbuffer_pullup(input, -1)), size);
        // Other bytes are a part of a long body.
        if (const auto end = bytes.find("\r\n\r\n");
            end != std::string::npos && bytes.find(" HTTP/1.1\r\n") < end) {
            pair->head = bytes.substr(0, end);
        }
        bufferevent_write(pair->target, bytes.data(), bytes.size());
        evbuffer_drain(input, size);
    }

    static auto onTargetBytes(bufferevent *from, void *self) -> void
    {
        auto *pair = static_cast<Pair *>(self);
        auto *state = static_cast<State *>(pair->owner);
        auto *input = bufferevent_get_input(from);
        const auto isLost = !state->prefix.empty()
                            && pair->head.starts_with("GET /kv-watch?prefix=" + state->prefix);
        if (isLost && !pair->isMute) {
            pair->isMute = true;
            ++state->lost;
        }
        if (pair->isMute) {
            evbuffer_drain(input, evbuffer_get_length(input));
            return;
        }
        bufferevent_write_buffer(pair->daemon, input);
    }

    static auto onEvent(bufferevent *from, short events, void *self) -> void
    {
        auto *pair = static_cast<Pair *>(self);
        if ((events & BEV_EVENT_CONNECTED) != 0) {
            sendAtOnce(from);
        }
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            static_cast<State *>(pair->owner)->end(pair);
        }
    }

    static auto onAccept(evconnlistener *, evutil_socket_t descriptor, sockaddr *, int, void *self)
        -> void
    {
        auto *state = static_cast<State *>(self);
        auto &pair = state->pairs.emplace_back();
        pair.owner = state;
        pair.daemon = bufferevent_socket_new(state->base, descriptor, BEV_OPT_CLOSE_ON_FREE);
        pair.target = bufferevent_socket_new(state->base, -1, BEV_OPT_CLOSE_ON_FREE);
        sendAtOnce(pair.daemon);
        bufferevent_setcb(pair.daemon, onDaemonBytes, nullptr, onEvent, &pair);
        bufferevent_setcb(pair.target, onTargetBytes, nullptr, onEvent, &pair);
        bufferevent_enable(pair.daemon, EV_READ | EV_WRITE);
        bufferevent_enable(pair.target, EV_READ | EV_WRITE);
        bufferevent_socket_connect(pair.target, reinterpret_cast<sockaddr *>(&state->target),
                                   sizeof state->target);
    }
};

Proxy::Proxy(event_base *base, const Address &listen, const Address &target)
    : state(std::make_unique<State>())
{
    this->state->base = base;
    this->state->target = socketAddress(target);
    const auto address = socketAddress(listen);
    constexpr auto backlog = 128;
    this->state->listener = evconnlistener_new_bind(
        base, State::onAccept, this->state.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, backlog,
        reinterpret_cast<const sockaddr *>(&address), sizeof address);
    if (this->state->listener == nullptr) {
        throw std::runtime_error("can't listen on " + listen.value);
    }
}

Proxy::~Proxy()
{
    evconnlistener_free(this->state->listener);
    while (!this->state->pairs.empty()) {
        this->state->end(&this->state->pairs.front());
    }
}

auto Proxy::loseAnswersToWatches(std::string prefix) -> void
{
    this->state->prefix = std::move(prefix);
}

auto Proxy::lostAnswers() const -> int
{
    return this->state->lost;
}

} // namespace gooseberrywall::review
