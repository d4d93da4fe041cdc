#pragma once

#include "http/endpoint.h"
#include "streams/socketstream.h"
#include "testing/freeaddress.h"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <vector>

namespace gooseberrywall {

/// A server that answers each request head with the next of the given texts, and may close then.
class ScriptedPeer
{
public:
    struct Step
    {
        std::string text;
        bool closes = false;
    };

    ScriptedPeer(event_base *base, std::vector<Step> steps)
        : base(base)
        , steps(std::move(steps))
    {
        const auto endpoint = parseEndpoint(this->address).value_or(Endpoint{});
        sockaddr_in where{};
        where.sin_family = AF_INET;
        where.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.host.c_str(), &where.sin_addr);
        this->listener = evconnlistener_new_bind(
            base,
            [](evconnlistener *, evutil_socket_t descriptor, sockaddr *, int, void *self) {
                static_cast<ScriptedPeer *>(self)->accept(descriptor);
            },
            this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE, 16,
            reinterpret_cast<const sockaddr *>(&where), sizeof where);
    }

    ~ScriptedPeer() { evconnlistener_free(this->listener); }
    ScriptedPeer(const ScriptedPeer &) = delete;
    auto operator=(const ScriptedPeer &) -> ScriptedPeer & = delete;

    Address address = freeAddress();
    std::string received;
    int connections = 0;
    int ended = 0;

private:
    auto accept(int descriptor) -> void
    {
        ++this->connections;
        const auto index = this->streams.size();
        this->streams.push_back(std::make_unique<SocketStream>(
            this->base, descriptor,
            SocketStream::Handlers{[](bool) {}, [this, index] { this->onInput(index); },
                                   [this](bool) { ++this->ended; }}));
    }

    auto onInput(std::size_t index) -> void
    {
        auto &stream = *this->streams[index];
        this->received += stream.input();
        const auto isHead = stream.input().find("\r\n\r\n") != std::string_view::npos;
        stream.consume(stream.input().size());
        if (!isHead || this->next == this->steps.size()) {
            return;
        }
        const auto &step = this->steps[this->next++];
        stream.write(step.text);
        if (step.closes) {
            stream.finishWriting();
        }
    }

    event_base *base;
    std::vector<Step> steps;
    std::size_t next = 0;
    evconnlistener *listener = nullptr;
    std::vector<std::unique_ptr<SocketStream>> streams;
};

} // namespace gooseberrywall
