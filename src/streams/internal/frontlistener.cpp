#include "streams/frontlistener.h"

#include "http1/messagewriter.h"

#include <algorithm>
#include <deque>
#include <event2/event.h>
#include <optional>
#include <unistd.h>
#include <utility>

namespace gooseberrywall {

namespace {

/// After the last answer, the caller may take this long to close its side; closing at once would
/// reset the connection and could destroy the answer on its way.
constexpr Duration closeTimeout = std::chrono::seconds{2};
constexpr int statusTimeout = 408;
/// Unread requests behind the pipeline limit may fill this much memory for one connection.
constexpr std::size_t unreadLimitBytes = std::size_t{256} * 1024;

} // namespace

/// A caller's connection and its requests under way.
class FrontListener::Connection
{
public:
    Connection(FrontListener &front, int descriptor)
        : front(front)
        , reader(MessageReader::Kind::Request, front.settings.limits)
        , lastUse(front.now())
        , stream(front.base, descriptor,
                 SocketStream::Handlers{[](bool) {}, [this] { this->onInput(); },
                                        [this](bool) { this->onEnd(); }})
    {
    }

    auto reply(ExchangeId exchange, const MessageHead &head, std::string_view body) -> void
    {
        for (auto &slot : this->slots) {
            if (slot.exchange == exchange) {
                slot.answer = WholeMessage{head, std::string(body)};
            }
        }
        this->flush();
    }

    auto sweep(Instant moment) -> void
    {
        if (this->isEnding) {
            if (moment - this->lastUse > closeTimeout) {
                this->front.discard(this);
            }
            return;
        }
        if (!this->slots.empty()) {
            return;
        }
        const auto age = moment - this->lastUse;
        if (!this->reader.isMidMessage()) {
            if (age > this->front.settings.idleTimeout) {
                this->end();
            }
            return;
        }
        const auto limit = this->reader.hasHead() ? this->front.settings.bodyTimeout
                                                  : this->front.settings.headerTimeout;
        if (moment - this->begunAt > limit) {
            ++this->front.counts.slowSenders;
            this->refuse(statusTimeout);
        }
    }

    auto closeIfIdle() -> void
    {
        if (!this->isEnding && this->slots.empty() && !this->reader.isMidMessage()
            && this->stream.input().empty()) {
            this->end();
        }
    }

private:
    struct Slot
    {
        ExchangeId exchange;
        bool isHead = false;
        bool keepsConnection = true;
        std::optional<WholeMessage> answer;
    };

    auto onInput() -> void
    {
        if (this->isEnding) {
            this->stream.consume(this->stream.input().size());
            return;
        }
        this->readRequests();
    }

    auto readRequests() -> void
    {
        // Answers given at once come back here while the loop runs.
        this->isReading = true;
        this->readWhile();
        this->isReading = false;
        if (!this->isEnding) {
            this->stream.setReading(this->stream.input().size() < unreadLimitBytes);
        }
    }

    auto readWhile() -> void
    {
        const auto mayRead = [this] {
            const auto isStopping = this->front.isClosing && !this->slots.empty();
            return !this->isEnding && !this->isLastRead && !isStopping
                   && this->slots.size() < this->front.settings.pipelineLimit;
        };
        while (mayRead()) {
            if (!this->reader.isMidMessage()) {
                this->begunAt = this->front.now();
            }
            std::size_t taken = 0;
            const auto step = this->reader.read(this->stream.input(), taken);
            this->stream.consume(taken);
            if (step == MessageReader::Step::Malformed) {
                ++this->front.counts.malformed;
                this->refuse(this->reader.refusalStatus());
                return;
            }
            if (step == MessageReader::Step::NeedMore) {
                if (this->reader.awaitsContinue() && this->slots.empty()
                    && !std::exchange(this->hasContinued, true)) {
                    this->stream.write("HTTP/1.1 100 Continue\r\n\r\n");
                }
                return;
            }
            this->begin(this->reader.take());
        }
    }

    auto begin(WholeMessage message) -> void
    {
        const ExchangeId exchange{this->front.nextExchange++};
        this->hasContinued = false;
        this->lastUse = this->front.now();
        Slot slot;
        slot.exchange = exchange;
        slot.isHead = message.head.method == "HEAD";
        slot.keepsConnection = message.head.keepsConnection();
        this->isLastRead = !slot.keepsConnection;
        this->slots.push_back(std::move(slot));
        this->front.exchanges[exchange] = this;
        ++this->front.counts.requests;
        this->front.onRequest(exchange, std::move(message));
    }

    auto flush() -> void
    {
        while (!this->slots.empty() && this->slots.front().answer) {
            const auto slot = std::move(this->slots.front());
            this->slots.pop_front();
            this->front.exchanges.erase(slot.exchange);
            this->lastUse = this->front.now();
            // Requests behind this one have been read: only the last answer closes.
            const auto isClosing = this->front.isClosing && this->slots.empty();
            const auto keeps = slot.keepsConnection && !isClosing;
            this->stream.write(
                responseText(slot.answer->head, slot.answer->body, slot.isHead, keeps));
            if (!keeps) {
                this->end();
                return;
            }
        }
        if (this->slots.empty() && this->refusal) {
            this->sendRefusal();
            return;
        }
        if (!this->isReading && !this->stream.input().empty()) {
            this->readRequests();
        }
    }

    /// Answers what can't be read, behind the answers that are still owed.
    auto refuse(int status) -> void
    {
        this->refusal = status;
        this->isLastRead = true;
        if (this->slots.empty()) {
            this->sendRefusal();
        }
    }

    auto sendRefusal() -> void
    {
        MessageHead head;
        head.status = *std::exchange(this->refusal, std::nullopt);
        this->stream.write(responseText(head, "", false, false));
        this->end();
    }

    /// Requests behind the last answer are left unread: their callers know that they didn't run.
    auto end() -> void
    {
        this->dropSlots();
        this->isEnding = true;
        this->lastUse = this->front.now();
        this->stream.finishWriting();
        this->stream.consume(this->stream.input().size());
        this->stream.setReading(true);
    }

    auto dropSlots() -> void
    {
        auto open = std::exchange(this->slots, {});
        for (const auto &slot : open) {
            this->front.exchanges.erase(slot.exchange);
            this->front.onGone(slot.exchange);
        }
    }

    auto onEnd() -> void
    {
        this->dropSlots();
        this->front.discard(this);
    }

    FrontListener &front;
    MessageReader reader;
    std::deque<Slot> slots;
    Instant lastUse;
    Instant begunAt{};
    bool isReading = false;
    bool hasContinued = false;
    bool isLastRead = false;
    bool isEnding = false;
    std::optional<int> refusal;
    SocketStream stream;
};

FrontListener::FrontListener(event_base *base, FrontSettings settings, std::function<Instant()> now,
                             OnRequest onRequest, OnGone onGone)
    : base(base)
    , settings(std::move(settings))
    , now(std::move(now))
    , onRequest(std::move(onRequest))
    , onGone(std::move(onGone))
    , cleanup(evtimer_new(
          base,
          [](evutil_socket_t, short, void *self) {
              static_cast<FrontListener *>(self)->discarded.clear();
          },
          this))
{
}

FrontListener::~FrontListener() = default;

auto FrontListener::start() -> void
{
    this->listener = std::make_unique<SocketListener>(
        this->base, this->settings.listen, [this](int descriptor) { this->accept(descriptor); });
}

auto FrontListener::setLimits(MessageLimits limits, Duration headerTimeout, Duration idleTimeout)
    -> void
{
    this->settings.limits = limits;
    this->settings.headerTimeout = headerTimeout;
    this->settings.idleTimeout = idleTimeout;
}

auto FrontListener::reply(ExchangeId exchange, const MessageHead &head, std::string_view body)
    -> void
{
    const auto found = this->exchanges.find(exchange);
    if (found != this->exchanges.end()) {
        found->second->reply(exchange, head, body);
    }
}

auto FrontListener::closeIdle() -> void
{
    for (const auto &[connection, owner] : this->connections) {
        connection->closeIfIdle();
    }
}

auto FrontListener::sweep() -> void
{
    const auto moment = this->now();
    std::vector<Connection *> all;
    all.reserve(this->connections.size());
    for (const auto &[connection, owner] : this->connections) {
        all.push_back(connection);
    }
    for (auto *connection : all) {
        connection->sweep(moment);
    }
}

auto FrontListener::accept(int descriptor) -> void
{
    if (this->connections.size() >= this->settings.connectionLimit) {
        ++this->counts.connectionsRefused;
        close(descriptor);
        return;
    }
    ++this->counts.connections;
    auto connection = std::make_unique<Connection>(*this, descriptor);
    auto *raw = connection.get();
    this->connections.emplace(raw, std::move(connection));
}

auto FrontListener::discard(Connection *connection) -> void
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end()) {
        return;
    }
    this->discarded.push_back(std::move(found->second));
    this->connections.erase(found);
    event_active(this->cleanup.get(), EV_TIMEOUT, 0);
}

} // namespace gooseberrywall
