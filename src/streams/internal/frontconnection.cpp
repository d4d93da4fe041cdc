#include "streams/internal/frontconnection.h"

#include "http1/messagewriter.h"

#include <algorithm>
#include <memory>
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
constexpr std::size_t unreadLimitBytes = std::size_t{64} * 1024;
/// Memory of a connection without its messages.
constexpr std::size_t connectionBytes = 2048;
/// Larger bodies are written apart from the head, so that they aren't copied; smaller ones together
/// with it, which saves a system call.
constexpr std::size_t copiedBodyBytes = std::size_t{16} * 1024;

auto headOf(int status) -> MessageHead
{
    MessageHead head;
    head.status = status;
    return head;
}

} // namespace

FrontListener::Connection::Connection(FrontListener &front, int descriptor)
    : front(front)
    , reader(MessageReader::Kind::Request, front.settings.limits)
    , lastUsedAt(front.now())
    , charge(front.memory)
    , silence(front.settings.silenceTimeout)
    , stream(front.base, descriptor,
             SocketStream::Handlers{[](bool) {}, [this] { this->onInput(); },
                                    [this](bool) { this->onEnd(); }, [this] { this->onSent(); }})
{
    this->updateCharge();
}

auto FrontListener::Connection::reply(ExchangeId exchange, WholeMessage answer) -> void
{
    for (auto &pending : this->pendingReplies) {
        if (pending.exchange == exchange) {
            pending.answer = std::move(answer);
            break;
        }
    }
    this->flush();
    this->updateCharge();
}

auto FrontListener::Connection::isCallerSilent(Instant moment) -> bool
{
    return this->stream.isPeerSilent(this->silence, moment);
}

auto FrontListener::Connection::sweep(Instant moment) -> void
{
    if (this->isCallerSilent(moment)) {
        ++this->front.counts.silentCallers;
        this->stream.resetOnClose();
        this->discard();
        return;
    }
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

auto FrontListener::Connection::sweepEnding(Instant moment) -> void
{
    const auto unsent = this->stream.unsentBytes();
    if (std::exchange(this->sweptUnsentBytes, unsent) > unsent) {
        this->lastUsedAt = moment;
    }
    if (moment - this->lastUsedAt > (unsent > 0 ? answerStallTimeout : closeTimeout)) {
        this->discard();
    }
}

auto FrontListener::Connection::refuseIfIncomplete(const MessageHead &head) -> void
{
    if (!this->isEnding && !this->refusal && this->reader.isMidMessage()) {
        this->refuse(head);
    }
}

auto FrontListener::Connection::closeIfIdle() -> void
{
    if (!this->isEnding && this->pendingReplies.empty() && !this->reader.isMidMessage()
        && this->stream.input().empty()) {
        this->end();
    }
}

auto FrontListener::Connection::shed() -> void
{
    if (!this->isEnding && this->pendingReplies.empty() && this->stream.unsentBytes() == 0) {
        this->refuseForMemory();
        return;
    }
    this->stream.resetOnClose();
    this->discard();
}

auto FrontListener::Connection::load() const -> std::optional<ConnectionLoad>
{
    ConnectionLoad load;
    load.heldBytes = this->charge.bytes();
    if (this->stream.unsentBytes() > 0) {
        load.activity = ConnectionLoad::Activity::Sending;
        load.movedBytes = this->sentBytes;
        load.startedAt = this->sendingSince;
        load.progressAt = this->sentAt;
        return load;
    }
    if (!this->pendingReplies.empty()) {
        const auto hasAnswer =
            std::any_of(this->pendingReplies.begin(), this->pendingReplies.end(),
                        [](const PendingReply &pending) { return pending.answer.has_value(); });
        if (!hasAnswer && !this->reader.isMidMessage() && this->stream.input().empty()) {
            return std::nullopt;
        }
        load.activity = ConnectionLoad::Activity::Waiting;
        return load;
    }
    if (this->isEnding || !this->reader.isMidMessage()) {
        return std::nullopt;
    }
    load.activity = ConnectionLoad::Activity::Receiving;
    load.movedBytes = this->receivedBytes;
    load.startedAt = this->requestStartedAt;
    load.progressAt = this->receivedAt;
    return load;
}

auto FrontListener::Connection::onInput() -> void
{
    // A caller that can't be answered any more has no use for its requests.
    if (this->isEnding || this->stream.isFailed()) {
        this->stream.consume(this->stream.input().size());
        return;
    }
    this->receivedAt = this->front.now();
    this->receivedBytes += this->stream.input().size() - this->unparsedBytes;
    this->readRequests();
    this->updateCharge();
    // Input behind requests that wait isn't admitted, and brings about no other event.
    if (this->front.memory != nullptr) {
        this->front.memory->relieve();
    }
}

auto FrontListener::Connection::onSent() -> void
{
    const auto unsent = this->stream.unsentBytes();
    if (unsent < this->lastUnsentBytes) {
        this->sentBytes += this->lastUnsentBytes - unsent;
        this->sentAt = this->front.now();
    }
    this->lastUnsentBytes = unsent;
    this->updateCharge();
}

auto FrontListener::Connection::readRequests() -> void
{
    // An answer given from within onRequest calls flush() while the loop below still runs; the
    // flag keeps that from reading recursively.
    this->isReading = true;
    this->readWithinLimit();
    this->isReading = false;
    this->unparsedBytes = this->stream.input().size();
    if (!this->isEnding) {
        this->stream.setReading(this->stream.input().size() < unreadLimitBytes);
    }
}

auto FrontListener::Connection::readWithinLimit() -> void
{
    const auto mayRead = [this] {
        const auto isStopping = this->front.isClosing && !this->pendingReplies.empty();
        return !this->isEnding && !this->isLastRequestRead && !isStopping
               && this->pendingReplies.size() < this->front.settings.pipelineLimit;
    };
    while (mayRead()) {
        this->reader.setLimits(this->front.settings.limits);
        if (!this->reader.isMidMessage()) {
            this->requestStartedAt = this->front.now();
            this->receivedBytes = this->stream.input().size();
            this->isAdmitted = false;
        }
        std::size_t taken = 0;
        const auto step = this->reader.read(this->stream.input(), taken);
        this->stream.consume(taken);
        if (step == MessageReader::Step::Malformed) {
            ++this->front.counts.malformed;
            this->refuse(headOf(this->reader.refusalStatus()));
            return;
        }
        // Without input, there is no request that could be refused.
        if (!this->reader.isMidMessage() || !this->admit()) {
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

auto FrontListener::Connection::admit() -> bool
{
    if (this->isAdmitted && this->reader.announcedBodyBytes() > 0) {
        return true;
    }
    // What was charged for the request before doesn't count against it.
    this->charge.set(this->heldBesidesRequest());
    const auto isAllowed = this->front.hasRoomFor(this->requestBytes(), this);
    if (this->isEnding || this->refusal) {
        return false;
    }
    if (!isAllowed) {
        this->refuseForMemory();
        return false;
    }
    this->isAdmitted = true;
    this->updateCharge();
    return true;
}

auto FrontListener::Connection::startRequest(WholeMessage message) -> void
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
    // The receiver of the message counts it from here on.
    this->updateCharge();
    this->front.onRequest(exchange, std::move(message));
}

auto FrontListener::Connection::flush() -> void
{
    while (!this->pendingReplies.empty() && this->pendingReplies.front().answer) {
        auto pending = std::move(this->pendingReplies.front());
        this->pendingReplies.pop_front();
        this->front.exchanges.erase(pending.exchange);
        this->lastUsedAt = this->front.now();
        // Requests that were already read are answered too: only the last answer closes.
        const auto isClosing = this->front.isClosing && this->pendingReplies.empty();
        const auto keepsOpen = pending.keepsConnection && !isClosing;
        this->send(std::move(pending), keepsOpen);
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

auto FrontListener::Connection::send(PendingReply pending, bool keepsOpen) -> void
{
    if (this->stream.unsentBytes() == 0) {
        this->sendingSince = this->front.now();
        this->sentAt = this->sendingSince;
        this->sentBytes = 0;
    }
    auto &answer = *pending.answer;
    if (answer.body.size() <= copiedBodyBytes) {
        this->stream.write(responseText(answer.head, answer.body, pending.isHead, keepsOpen));
    } else {
        const auto length = answer.body.size();
        this->stream.write(responseHead(answer.head, length, pending.isHead, keepsOpen));
        if (hasResponseBody(answer.head, pending.isHead)) {
            this->stream.writeShared(std::make_shared<const std::string>(std::move(answer.body)));
        }
    }
    this->lastUnsentBytes = this->stream.unsentBytes();
}

auto FrontListener::Connection::refuse(MessageHead head) -> void
{
    if (this->front.answerUnread) {
        const auto *host = this->reader.head().find("Host");
        head = this->front.answerUnread(
            std::move(head), UnreadRequest{host == nullptr ? std::string{} : *host,
                                           this->reader.currentLimits(), this->reader.head()});
    }
    this->refusal = std::move(head);
    this->isLastRequestRead = true;
    this->reader.discard();
    if (this->pendingReplies.empty()) {
        this->sendRefusal();
    }
}

auto FrontListener::Connection::refuseForMemory() -> void
{
    ++this->front.counts.memoryRefusals;
    this->refuse(this->front.settings.memoryRefusal);
    this->updateCharge();
}

auto FrontListener::Connection::sendRefusal() -> void
{
    this->stream.write(responseText(*std::exchange(this->refusal, std::nullopt), "", false, false));
    this->end();
}

auto FrontListener::Connection::end() -> void
{
    this->abandonReplies();
    this->isEnding = true;
    this->lastUsedAt = this->front.now();
    this->sweptUnsentBytes = this->stream.unsentBytes();
    this->stream.finishWriting();
    this->stream.consume(this->stream.input().size());
    this->reader.discard();
    this->stream.setReading(true);
    this->updateCharge();
}

auto FrontListener::Connection::abandonReplies() -> void
{
    const auto open = std::exchange(this->pendingReplies, {});
    for (const auto &pending : open) {
        this->front.exchanges.erase(pending.exchange);
    }
    for (const auto &pending : open) {
        this->front.onDisconnect(pending.exchange);
    }
}

auto FrontListener::Connection::discard() -> void
{
    // Events that are already due, and code of the connection that still runs, must not read
    // further requests: the connection is destroyed soon.
    this->isEnding = true;
    this->isDiscarded = true;
    this->charge.set(0);
    this->front.discard(this);
    this->abandonReplies();
}

auto FrontListener::Connection::onEnd() -> void
{
    this->discard();
}

auto FrontListener::Connection::requestBytes() const -> std::size_t
{
    return std::max(this->reader.heldBytes(), this->reader.announcedBodyBytes());
}

auto FrontListener::Connection::heldBesidesRequest() const -> std::size_t
{
    auto bytes = connectionBytes + this->stream.inputCapacity() + this->stream.unsentMemory();
    for (const auto &pending : this->pendingReplies) {
        if (pending.answer) {
            bytes += pending.answer->head.heldBytes() + pending.answer->body.size();
        }
    }
    return bytes;
}

auto FrontListener::Connection::updateCharge() -> void
{
    if (this->isDiscarded) {
        return;
    }
    this->charge.set(this->heldBesidesRequest() + this->requestBytes());
}

} // namespace gooseberrywall
