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

/// Time for the caller to close its side after the last answer. Closing at once would reset the
/// connection, and the caller could lose the answer.
constexpr Duration closeTimeout = std::chrono::seconds{2};
/// A closing connection whose caller has taken nothing of its answers for this long is reset.
constexpr Duration answerStallTimeout = std::chrono::seconds{5};
constexpr int statusRequestTimeout = 408;
/// Reading from a connection pauses at this size of unparsed input, such as requests beyond the
/// pipeline limit.
constexpr std::size_t unreadLimitBytes = std::size_t{256} * 1024;

auto headOf(int status) -> MessageHead
{
    MessageHead head;
    head.status = status;
    return head;
}

} // namespace

/// A caller's connection and its open requests.
class FrontListener::Connection
{
public:
    Connection(FrontListener &front, int descriptor)
        : front(front)
        , reader(MessageReader::Kind::Request, front.settings.limits)
        , lastUsedAt(front.now())
        , stream(front.base, descriptor,
                 SocketStream::Handlers{[](bool) {}, [this] { this->onInput(); },
                                        [this](bool) { this->onEnd(); }})
    {
    }

    auto reply(ExchangeId exchange, const MessageHead &head, std::string_view body) -> void
    {
        for (auto &pending : this->pendingReplies) {
            if (pending.exchange == exchange) {
                pending.answer = WholeMessage{head, std::string(body)};
            }
        }
        this->flush();
    }

    auto sweep(Instant moment) -> void
    {
        if (this->isEnding) {
            this->sweepEnding(moment);
            return;
        }
        if (!this->pendingReplies.empty()) {
            return;
        }
        const auto age = moment - this->lastUsedAt;
        if (!this->reader.isMidMessage()) {
            if (age > this->idleTimeout.value_or(this->front.settings.idleTimeout)) {
                this->end();
            }
            return;
        }
        const auto limit = this->reader.hasHead() ? this->front.settings.bodyTimeout
                                                  : this->front.settings.headerTimeout;
        if (moment - this->requestStartedAt > limit) {
            ++this->front.counts.slowSenders;
            this->refuse(headOf(statusRequestTimeout));
        }
    }

    auto refuseIfIncomplete(const MessageHead &head) -> void
    {
        if (!this->isEnding && !this->refusal && this->reader.isMidMessage()) {
            this->refuse(head);
        }
    }

    auto closeIfIdle() -> void
    {
        if (!this->isEnding && this->pendingReplies.empty() && !this->reader.isMidMessage()
            && this->stream.input().empty()) {
            this->end();
        }
    }

    auto setIdleTimeout(Duration timeout) -> void { this->idleTimeout = timeout; }
    [[nodiscard]] auto unsentBytes() const -> std::size_t { return this->stream.unsentBytes(); }

private:
    struct PendingReply
    {
        ExchangeId exchange;
        bool isHead = false;
        bool keepsConnection = true;
        std::optional<WholeMessage> answer;
    };

    /// Discards a closing connection once its caller has had time to take the answers.
    auto sweepEnding(Instant moment) -> void
    {
        const auto unsent = this->stream.unsentBytes();
        if (std::exchange(this->sweptUnsentBytes, unsent) > unsent) {
            this->lastUsedAt = moment;
        }
        if (moment - this->lastUsedAt > (unsent > 0 ? answerStallTimeout : closeTimeout)) {
            this->front.discard(this);
        }
    }

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
        // An answer given from within onRequest calls flush() while the loop below still runs; the
        // flag keeps that from reading recursively.
        this->isReading = true;
        this->readWithinLimit();
        this->isReading = false;
        if (!this->isEnding) {
            this->stream.setReading(this->stream.input().size() < unreadLimitBytes);
        }
    }

    auto readWithinLimit() -> void
    {
        const auto mayRead = [this] {
            const auto isStopping = this->front.isClosing && !this->pendingReplies.empty();
            return !this->isEnding && !this->isLastRequestRead && !isStopping
                   && this->pendingReplies.size() < this->front.settings.pipelineLimit;
        };
        while (mayRead()) {
            if (!this->reader.isMidMessage()) {
                this->requestStartedAt = this->front.now();
            }
            std::size_t taken = 0;
            const auto step = this->reader.read(this->stream.input(), taken);
            this->stream.consume(taken);
            if (step == MessageReader::Step::Malformed) {
                ++this->front.counts.malformed;
                this->refuse(headOf(this->reader.refusalStatus()));
                return;
            }
            if (step == MessageReader::Step::NeedMore) {
                if (this->reader.awaitsContinue() && this->pendingReplies.empty()
                    && !std::exchange(this->hasSentContinue, true)) {
                    this->stream.write("HTTP/1.1 100 Continue\r\n\r\n");
                }
                return;
            }
            this->startRequest(this->reader.take());
        }
    }

    auto startRequest(WholeMessage message) -> void
    {
        const ExchangeId exchange{this->front.nextExchange++};
        this->hasSentContinue = false;
        this->lastUsedAt = this->front.now();
        PendingReply pending;
        pending.exchange = exchange;
        pending.isHead = message.head.method == "HEAD";
        pending.keepsConnection = message.head.keepsConnection();
        this->isLastRequestRead = !pending.keepsConnection;
        this->pendingReplies.push_back(std::move(pending));
        this->front.exchanges[exchange] = this;
        ++this->front.counts.requests;
        this->front.onRequest(exchange, std::move(message));
    }

    auto flush() -> void
    {
        while (!this->pendingReplies.empty() && this->pendingReplies.front().answer) {
            const auto pending = std::move(this->pendingReplies.front());
            this->pendingReplies.pop_front();
            this->front.exchanges.erase(pending.exchange);
            this->lastUsedAt = this->front.now();
            // Requests that were already read are answered too: only the last answer closes.
            const auto isClosing = this->front.isClosing && this->pendingReplies.empty();
            const auto keepsOpen = pending.keepsConnection && !isClosing;
            this->stream.write(responseText(pending.answer->head, pending.answer->body,
                                            pending.isHead, keepsOpen));
            if (!keepsOpen) {
                this->end();
                return;
            }
        }
        if (this->pendingReplies.empty() && this->refusal) {
            this->sendRefusal();
            return;
        }
        if (!this->isReading && !this->stream.input().empty()) {
            this->readRequests();
        }
    }

    /// Refuses a request that can't be read, after the answers to the requests before it.
    auto refuse(MessageHead head) -> void
    {
        this->refusal = std::move(head);
        this->isLastRequestRead = true;
        if (this->pendingReplies.empty()) {
            this->sendRefusal();
        }
    }

    auto sendRefusal() -> void
    {
        this->stream.write(
            responseText(*std::exchange(this->refusal, std::nullopt), "", false, false));
        this->end();
    }

    /// Discards requests after the last answer: the closed connection tells the caller that they
    /// haven't run.
    auto end() -> void
    {
        this->abandonReplies();
        this->isEnding = true;
        this->lastUsedAt = this->front.now();
        this->sweptUnsentBytes = this->stream.unsentBytes();
        this->stream.finishWriting();
        this->stream.consume(this->stream.input().size());
        this->stream.setReading(true);
    }

    auto abandonReplies() -> void
    {
        auto open = std::exchange(this->pendingReplies, {});
        for (const auto &pending : open) {
            this->front.exchanges.erase(pending.exchange);
            this->front.onDisconnect(pending.exchange);
        }
    }

    auto onEnd() -> void
    {
        this->abandonReplies();
        this->front.discard(this);
    }

    FrontListener &front;
    MessageReader reader;
    std::deque<PendingReply> pendingReplies;
    Instant lastUsedAt;
    Instant requestStartedAt{};
    std::optional<Duration> idleTimeout;
    bool isReading = false;
    bool hasSentContinue = false;
    bool isLastRequestRead = false;
    bool isEnding = false;
    /// Of a closing connection: the unsent bytes when it was last swept.
    std::size_t sweptUnsentBytes = 0;
    std::optional<MessageHead> refusal;
    SocketStream stream;
};

FrontListener::FrontListener(event_base *base, FrontSettings settings, std::function<Instant()> now,
                             OnRequest onRequest, OnDisconnect onDisconnect)
    : base(base)
    , settings(std::move(settings))
    , now(std::move(now))
    , onRequest(std::move(onRequest))
    , onDisconnect(std::move(onDisconnect))
    , cleanupEvent(evtimer_new(
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

auto FrontListener::setIdleTimeout(ExchangeId exchange, Duration idleTimeout) -> void
{
    const auto found = this->exchanges.find(exchange);
    if (found != this->exchanges.end()) {
        found->second->setIdleTimeout(idleTimeout);
    }
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

auto FrontListener::refuseIncomplete(const MessageHead &head) -> void
{
    for (const auto &[connection, owner] : this->connections) {
        connection->refuseIfIncomplete(head);
    }
}

auto FrontListener::unsentBytes() const -> std::size_t
{
    std::size_t bytes = 0;
    for (const auto &[connection, owner] : this->connections) {
        bytes += connection->unsentBytes();
    }
    return bytes;
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
    event_active(this->cleanupEvent.get(), EV_TIMEOUT, 0);
}

} // namespace gooseberrywall
