#include "streams/internal/outboundconnection.h"

#include "http/timeval.h"

#include <algorithm>
#include <charconv>
#include <event2/event.h>
#include <optional>
#include <utility>

namespace gooseberrywall {

namespace {

/// Idle connections are discarded this long before the idle timeout that the peer has announced.
constexpr Duration keepAliveMargin = std::chrono::milliseconds{1200};
/// Memory of a connection without its messages.
constexpr std::size_t connectionBytes = 2048;
/// The smallest receive buffer of a connection that systems have by default. A request of this size
/// is acknowledged by a peer that doesn't read, so that only a broken path leaves it
/// unacknowledged.
constexpr std::size_t smallestReceiveBufferBytes = 4096;
/// Sent bytes that stay unacknowledged for this long end the connection, so that a broken network
/// path doesn't delay requests.
constexpr Duration unacknowledgedTimeLimit = std::chrono::milliseconds{2000};
/// How often a connection with a larger request is checked for a broken path.
constexpr Duration silenceCheckInterval = std::chrono::milliseconds{500};
/// Answers of other requests that are skipped for one request; a peer that sends more is faulty.
constexpr int skippedAnswerLimit = 8;

/// @returns the peer's idle timeout from the Keep-Alive header, if there is one
auto advertisedIdleTimeout(const MessageHead &head) -> std::optional<Duration>
{
    const auto *value = head.find("Keep-Alive");
    const auto at = value == nullptr ? std::string::npos : value->find("timeout=");
    if (at == std::string::npos) {
        return std::nullopt;
    }
    const auto *digits = value->data() + at + std::string_view("timeout=").size();
    int seconds = 0;
    const auto result = std::from_chars(digits, value->data() + value->size(), seconds);
    return result.ec == std::errc{} ? std::optional<Duration>(std::chrono::seconds{seconds})
                                    : std::nullopt;
}

} // namespace

OutboundPool::Connection::Connection(OutboundPool &pool, Address address, const Endpoint &endpoint)
    : pool(pool)
    , address(std::move(address))
    , reader(MessageReader::Kind::Response, pool.settings.limits)
    , charge(pool.memory)
    , silence(unacknowledgedTimeLimit)
    , timer(evtimer_new(
          pool.base,
          [](evutil_socket_t, short, void *self) { static_cast<Connection *>(self)->onTimeout(); },
          this))
    , stream(pool.base, endpoint,
             SocketStream::Handlers{
                 [this](bool isOpen) { this->onConnected(isOpen); }, [this] { this->onInput(); },
                 [this](bool isClean) { this->onEnd(isClean); }, [this] { this->updateCharge(); }})
{
}

auto OutboundPool::Connection::start(std::uint64_t newId, OutboundRequest newRequest, Done newDone)
    -> void
{
    this->id = newId;
    this->request = std::move(newRequest);
    this->done = std::move(newDone);
    this->deadline = this->pool.now() + this->request.timeout;
    this->firstArrivedAt.reset();
    this->arrivedAt.reset();
    this->skippedAnswers = 0;
    ++this->requestCount;
    if (this->request.isHead) {
        this->reader.expectNoBody();
    }
    this->chooseSilenceDetection();
    if (this->isConnected) {
        this->armAnswerTimer();
        this->sendRequest();
    } else {
        this->armTimer(std::min(this->request.timeout, this->pool.settings.connectTimeout));
    }
    this->updateCharge();
}

auto OutboundPool::Connection::giveUpAnswer() -> void
{
    this->stream.resetOnClose();
    this->finish(OutboundResult::End::BadAnswer, {});
}

auto OutboundPool::Connection::detach() -> void
{
    this->countArriving(0);
    evtimer_del(this->timer.get());
    this->id = 0;
    this->done = {};
    this->stream.resetOnClose();
}

auto OutboundPool::Connection::chooseSilenceDetection() -> void
{
    const auto bodyBytes = this->request.body == nullptr ? 0 : this->request.body->size();
    const auto isLarge = this->request.text.size() + bodyBytes > smallestReceiveBufferBytes;
    // A peer that has answered a large request early may still have to read it.
    this->checksSilence =
        isLarge || (this->checksSilence && this->stream.readSendQueue().queuedBytes > 0);
    this->stream.limitUnacknowledgedTime(this->checksSilence ? Duration{0}
                                                             : unacknowledgedTimeLimit);
}

auto OutboundPool::Connection::isPeerSilent() -> bool
{
    return this->checksSilence && this->isSent && this->stream.mayHaveUndelivered()
           && this->silence.observe(this->stream.readSendQueue(), this->pool.now());
}

auto OutboundPool::Connection::armAnswerTimer() -> void
{
    const auto left = this->deadline - this->pool.now();
    this->armTimer(this->checksSilence ? std::min(left, silenceCheckInterval) : left);
}

auto OutboundPool::Connection::sendRequest() -> void
{
    this->isSent = true;
    auto text = std::make_shared<const std::string>(std::move(this->request.text));
    this->sentText = text;
    this->stream.writeShared(std::move(text));
    if (this->request.body != nullptr) {
        this->stream.writeShared(this->request.body);
    }
    // The time without an acknowledgement begins now.
    static_cast<void>(this->isPeerSilent());
}

auto OutboundPool::Connection::countArriving(std::size_t bytes) -> void
{
    this->pool.arrivingBytes += bytes;
    this->pool.arrivingBytes -= std::exchange(this->countedArriving, bytes);
}

auto OutboundPool::Connection::updateCharge() -> void
{
    const auto answerBytes = this->reader.heldBytes();
    const auto isLarge = this->id != 0 && answerBytes > MemoryAccount::smallMessageBytes;
    this->countArriving(isLarge ? answerBytes : 0);
    const auto sending = this->sentText.lock();
    const auto textBytes = this->request.text.size() + (sending ? sending->size() : 0);
    this->charge.set(connectionBytes + this->stream.inputCapacity() + textBytes + answerBytes);
}

auto OutboundPool::Connection::exceedsMemory() -> bool
{
    return this->pool.memory != nullptr
           && this->reader.heldBytes() > MemoryAccount::smallMessageBytes
           && !this->pool.memory->relieve();
}

auto OutboundPool::Connection::armTimer(Duration duration) -> void
{
    const auto wait = toTimeval(duration);
    evtimer_add(this->timer.get(), &wait);
}

auto OutboundPool::Connection::noteProgress() -> void
{
    this->arrivedAt = this->pool.now();
    this->firstArrivedAt = this->firstArrivedAt.value_or(*this->arrivedAt);
    if (const auto &limit = this->request.arrival) {
        // The timer is armed for the earlier deadline; onTimeout() arms it anew.
        this->deadline = std::min(*this->firstArrivedAt + limit->total,
                                  std::max(this->deadline, *this->arrivedAt + limit->stall));
    }
}

auto OutboundPool::Connection::onConnected(bool isOpen) -> void
{
    this->isConnected = isOpen;
    if (!isOpen) {
        this->finish(OutboundResult::End::NotSent, {});
        return;
    }
    if (this->id != 0) {
        this->sendRequest();
        this->armAnswerTimer();
    }
}

auto OutboundPool::Connection::onInput() -> void
{
    if (this->id == 0) {
        // Unsolicited bytes: the connection can't be used again.
        this->pool.discard(this);
        return;
    }
    std::size_t taken = 0;
    const auto step = this->reader.read(this->stream.input(), taken);
    this->stream.consume(taken);
    this->updateCharge();
    if (step == MessageReader::Step::NeedMore) {
        this->noteProgress();
        this->boundMemory();
        return;
    }
    if (step == MessageReader::Step::Malformed) {
        this->finish(OutboundResult::End::BadAnswer, {});
        return;
    }
    this->onWholeAnswer(true);
}

auto OutboundPool::Connection::boundMemory() -> void
{
    // Each of these may end the open request: its answer is given up, or its caller's connection is
    // closed.
    this->pool.boundArriving();
    if (this->id != 0 && this->exceedsMemory() && this->id != 0) {
        this->giveUpAnswer();
    }
}

auto OutboundPool::Connection::isOwnAnswer(const MessageHead &answer) const -> bool
{
    const auto &echo = this->pool.settings.echoHeader;
    if (echo.empty()) {
        return true;
    }
    const auto *echoed = answer.find(echo);
    if (echoed == nullptr || !this->request.echoedId) {
        // Behind an earlier answer, the peer may have sent additional bytes that look like one.
        return this->requestCount == 1;
    }
    return *echoed == *this->request.echoedId;
}

auto OutboundPool::Connection::skipAnswer(bool isOpen) -> void
{
    ++this->skippedAnswers;
    if (!isOpen) {
        this->finish(OutboundResult::End::NoAnswer, {});
        return;
    }
    if (this->skippedAnswers > skippedAnswerLimit) {
        this->finish(OutboundResult::End::BadAnswer, {});
        return;
    }
    if (this->request.isHead) {
        this->reader.expectNoBody();
    }
    this->onInput();
}

auto OutboundPool::Connection::onWholeAnswer(bool isOpen) -> void
{
    auto answer = this->reader.take();
    if (!this->isOwnAnswer(answer.head)) {
        this->skipAnswer(isOpen);
        return;
    }
    const auto &echo = this->pool.settings.echoHeader;
    const auto *echoed = echo.empty() ? nullptr : answer.head.find(echo);
    // A second copy of an answer without an id couldn't be told from the next answer.
    const auto isIdentified = echo.empty() || echoed != nullptr;
    const auto mayFollow = this->pool.settings.reusesAfterErrors || answer.head.status / 100 == 2;
    const auto isClean = isOpen && isIdentified && mayFollow && this->skippedAnswers == 0
                         && this->stream.input().empty() && this->stream.unsentBytes() == 0
                         && answer.head.keepsConnection();
    this->idleTimeout = this->pool.settings.idleTimeout;
    if (const auto advertised = advertisedIdleTimeout(answer.head)) {
        this->idleTimeout = std::min(this->idleTimeout, *advertised - keepAliveMargin);
    }
    this->isReusable = isClean && this->idleTimeout > Duration{0};
    this->finish(OutboundResult::End::Answered, std::move(answer));
}

auto OutboundPool::Connection::onEnd(bool isClean) -> void
{
    if (this->id != 0 && isClean && this->reader.endOfInput()) {
        this->onWholeAnswer(false);
        return;
    }
    if (this->id == 0) {
        this->pool.discard(this);
        return;
    }
    this->finish(OutboundResult::End::NoAnswer, {});
}

auto OutboundPool::Connection::onTimeout() -> void
{
    const auto mayWait = this->isSent && this->pool.now() < this->deadline;
    if (mayWait && !this->isPeerSilent()) {
        this->armAnswerTimer();
        return;
    }
    this->stream.resetOnClose();
    this->finish(this->isSent ? OutboundResult::End::NoAnswer : OutboundResult::End::NotSent, {});
}

auto OutboundPool::Connection::finish(OutboundResult::End end, WholeMessage answer) -> void
{
    evtimer_del(this->timer.get());
    auto callback = std::exchange(this->done, {});
    const auto isFirst = this->requestCount == 1;
    this->pool.busy.erase(std::exchange(this->id, 0));
    // An assignment would keep the buffer of the text.
    static_cast<void>(std::exchange(this->request, OutboundRequest{}));
    const auto partialBytes = this->reader.bodyBytes();
    this->reader.discard();
    this->updateCharge();
    if (this->isReusable) {
        this->isReusable = false;
        this->pool.keep(this);
    } else {
        this->pool.discard(this);
    }
    if (callback) {
        callback(OutboundResult{end, std::move(answer), isFirst, partialBytes});
    }
}

} // namespace gooseberrywall
