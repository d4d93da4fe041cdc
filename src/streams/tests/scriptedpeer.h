#pragma once

#include "streams/socketlistener.h"
#include "streams/socketstream.h"
#include "testing/freeaddress.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrywall {

/// A server that answers each request with the next of the given texts, and closes the connection
/// after it if the step says so.
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
        , listener(base, this->address, [this](int descriptor) { this->accept(descriptor); })
    {
    }

    ScriptedPeer(const ScriptedPeer &) = delete;
    auto operator=(const ScriptedPeer &) -> ScriptedPeer & = delete;

    /// Writes bytes that no request has asked for.
    auto writeTo(std::size_t connection, std::string_view text) -> void
    {
        this->streams.at(connection)->write(text);
    }

    /// Resets all connections.
    auto reset() -> void
    {
        for (auto &stream : this->streams) {
            stream->resetOnClose();
        }
        this->streams.clear();
    }

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
    std::vector<std::unique_ptr<SocketStream>> streams;
    SocketListener listener;
};

} // namespace gooseberrywall
