#pragma once

#include "http/clocktimer.h"
#include "streams/socketlistener.h"
#include "streams/socketstream.h"
#include "testing/freeaddress.h"

#include <algorithm>
#include <deque>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace gooseberrywall {

/// A server that sends the same answer to each first request of a connection, in pieces, as over a
/// slow link.
class PacedPeer
{
public:
    /// @param pieces into which the answer is divided
    /// @param interval between two pieces
    /// @param sentPieces further ones aren't sent
    /// @param delay from the connection to the first piece
    PacedPeer(event_base *base, std::string answer, std::size_t pieces, Duration interval,
              std::size_t sentPieces = std::numeric_limits<std::size_t>::max(),
              Duration delay = Duration{0})
        : base(base)
        , answer(std::move(answer))
        , pieceBytes(this->answer.size() / pieces + 1)
        , interval(interval)
        , sentPieces(sentPieces)
        , delay(delay)
        , listener(base, this->address, [this](int descriptor) { this->accept(descriptor); })
        , timer(base, [this] { this->sendPieces(); })
    {
        this->sendPieces();
    }

    PacedPeer(const PacedPeer &) = delete;
    auto operator=(const PacedPeer &) -> PacedPeer & = delete;

    Address address = freeAddress();
    int connections = 0;

private:
    struct Transfer
    {
        std::unique_ptr<SocketStream> stream;
        Instant startsAt;
        /// Pieces that were sent; nothing before the request.
        std::optional<std::size_t> sent;
    };

    auto accept(int descriptor) -> void
    {
        ++this->connections;
        auto &transfer = this->transfers.emplace_back();
        transfer.startsAt = monotonicNow() + this->delay;
        transfer.stream = std::make_unique<SocketStream>(
            this->base, descriptor,
            SocketStream::Handlers{[](bool) {},
                                   [&transfer] {
                                       transfer.stream->consume(transfer.stream->input().size());
                                       transfer.sent = transfer.sent.value_or(0);
                                   },
                                   [](bool) {}});
    }

    auto sendPieces() -> void
    {
        for (auto &transfer : this->transfers) {
            const auto at = transfer.sent.value_or(0) * this->pieceBytes;
            if (!transfer.sent || monotonicNow() < transfer.startsAt
                || *transfer.sent >= this->sentPieces || at >= this->answer.size()) {
                continue;
            }
            transfer.stream->write(this->answer.substr(at, this->pieceBytes));
            ++*transfer.sent;
        }
        this->timer.set(monotonicNow() + this->interval);
    }

    event_base *base;
    std::string answer;
    std::size_t pieceBytes;
    Duration interval;
    std::size_t sentPieces;
    Duration delay;
    SocketListener listener;
    std::deque<Transfer> transfers;
    ClockTimer timer;
};

} // namespace gooseberrywall
