#include "streams/socketstream.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <event2/event.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace gooseberrywall {

namespace {

/// Large enough to read most requests and answers at once.
constexpr std::size_t readBufferBytes = std::size_t{32} * 1024;
/// Larger buffers for received bytes are released once they are empty.
constexpr std::size_t keptInputBytes = readBufferBytes / 2;
/// An idle connection is probed after one second and given up one second later, so that dead
/// connections are found before many requests are sent on them.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbeCount = 1;

auto setOption(int descriptor, int level, int name, int value) -> void
{
    // Fails only on kernels that lack the option; the connection works without it.
    static_cast<void>(setsockopt(descriptor, level, name, &value, sizeof value));
}

} // namespace

auto EventDeleter::operator()(event *each) const -> void
{
    event_free(each);
}

SocketStream::SocketStream(event_base *base, int descriptor, Handlers handlers)
    : base(base)
    , handlers(std::move(handlers))
{
    this->open(descriptor);
    this->setReading(true);
}

SocketStream::SocketStream(event_base *base, const Endpoint &endpoint, Handlers handlers)
    : base(base)
    , handlers(std::move(handlers))
    , isConnecting(true)
{
    this->open(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    const auto isNumeric = inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) == 1;
    const auto isStarted =
        this->descriptor >= 0 && isNumeric
        && (connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address)
                == 0
            || errno == EINPROGRESS);
    if (!isStarted) {
        this->hasFailed = true;
        event_active(this->writeEvent.get(), EV_WRITE, 0);
        return;
    }
    event_add(this->writeEvent.get(), nullptr);
}

SocketStream::~SocketStream()
{
    this->readEvent.reset();
    this->writeEvent.reset();
    if (this->descriptor < 0) {
        return;
    }
    if (this->resetsOnClose) {
        const linger immediate{1, 0};
        static_cast<void>(
            setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate));
    }
    close(this->descriptor);
}

auto SocketStream::open(int descriptor) -> void
{
    this->descriptor = descriptor;
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    setOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    setOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbeCount);
    this->readEvent.reset(event_new(
        this->base, descriptor, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void *self) { static_cast<SocketStream *>(self)->onReadable(); },
        this));
    this->writeEvent.reset(event_new(
        this->base, descriptor, EV_WRITE,
        [](evutil_socket_t, short, void *self) { static_cast<SocketStream *>(self)->onWritable(); },
        this));
}

auto SocketStream::limitUnacknowledgedTime(Duration timeout) -> void
{
    if (std::exchange(this->unacknowledgedTimeLimit, timeout) == timeout) {
        return;
    }
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(timeout);
    setOption(this->descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
              static_cast<int>(milliseconds.count()));
}

auto SocketStream::isPeerSilent(PeerSilence &silence, Instant moment) -> bool
{
    return !this->isDelivered && silence.observe(this->readSendQueue(), moment);
}

auto SocketStream::readSendQueue() -> SendQueueState
{
    SendQueueState state;
    auto queuedBytes = 0;
    if (ioctl(this->descriptor, SIOCOUTQ, &queuedBytes) != 0) {
        return state;
    }
    state.queuedBytes = static_cast<std::uint64_t>(std::max(queuedBytes, 0));
    state.acknowledgedBytes =
        this->acceptedByteCount - std::min(this->acceptedByteCount, state.queuedBytes);
    this->isDelivered = state.queuedBytes == 0 && this->unsent.empty();
    tcp_info info{};
    socklen_t size = sizeof info;
    if (state.queuedBytes == 0
        || getsockopt(this->descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return state;
    }
    state.unacknowledgedSegments = info.tcpi_unacked;
    state.unansweredProbes = info.tcpi_probes;
    // Systems that don't keep these times report zeros.
    if (info.tcpi_last_ack_recv > 0 || info.tcpi_last_data_sent > 0) {
        state.isLastSegmentAnswered = info.tcpi_last_ack_recv <= info.tcpi_last_data_sent;
    }
    return state;
}

auto SocketStream::consume(std::size_t bytes) -> void
{
    this->consumedBytes += bytes;
    if (this->consumedBytes == this->received.size()) {
        this->received.clear();
        this->consumedBytes = 0;
        if (this->received.capacity() > keptInputBytes) {
            this->received.shrink_to_fit();
        }
    }
}

auto SocketStream::write(std::string_view bytes) -> void
{
    const auto sent = this->sendNow(bytes);
    if (sent < bytes.size()) {
        this->queue(std::make_shared<const std::string>(bytes.substr(sent)), 0);
    }
}

auto SocketStream::writeShared(std::shared_ptr<const std::string> bytes) -> void
{
    const auto sent = this->sendNow(*bytes);
    if (sent < bytes->size()) {
        this->queue(std::move(bytes), sent);
    }
}

auto SocketStream::sendNow(std::string_view bytes) -> std::size_t
{
    if (this->hasFailed) {
        return bytes.size();
    }
    if (this->isConnecting || !this->unsent.empty()) {
        return 0;
    }
    const auto sent = this->sendSome(bytes);
    if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
        this->fail();
        return bytes.size();
    }
    return sent < 0 ? 0 : static_cast<std::size_t>(sent);
}

auto SocketStream::sendSome(std::string_view bytes) -> ssize_t
{
    const auto sent = send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent > 0) {
        this->acceptedByteCount += static_cast<std::uint64_t>(sent);
        this->isDelivered = false;
    }
    return sent;
}

auto SocketStream::queue(std::shared_ptr<const std::string> bytes, std::size_t sentBytes) -> void
{
    this->unsentByteCount += bytes->size() - sentBytes;
    this->unsent.push_back(Segment{std::move(bytes), sentBytes});
    this->queuedByteCount += this->unsent.back().memory();
    if (!this->isConnecting) {
        event_add(this->writeEvent.get(), nullptr);
    }
}

auto SocketStream::flush() -> void
{
    while (!this->unsent.empty()) {
        auto &segment = this->unsent.front();
        const auto rest = std::string_view(*segment.bytes).substr(segment.sentBytes);
        const auto sent = this->sendSome(rest);
        if (sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            this->fail();
            return;
        }
        const auto taken = sent < 0 ? 0 : static_cast<std::size_t>(sent);
        this->unsentByteCount -= taken;
        segment.sentBytes += taken;
        if (taken < rest.size()) {
            event_add(this->writeEvent.get(), nullptr);
            return;
        }
        this->queuedByteCount -= segment.memory();
        this->unsent.pop_front();
    }
    if (this->isFinishing) {
        shutdown(this->descriptor, SHUT_WR);
    }
}

auto SocketStream::setReading(bool isReading) -> void
{
    if (isReading && !this->hasFailed) {
        event_add(this->readEvent.get(), nullptr);
    } else {
        event_del(this->readEvent.get());
    }
}

auto SocketStream::finishWriting() -> void
{
    this->isFinishing = true;
    if (this->unsent.empty() && !this->hasFailed) {
        shutdown(this->descriptor, SHUT_WR);
    }
}

auto SocketStream::onReadable() -> void
{
    if (this->hasFailed) {
        this->readRest();
        return;
    }
    switch (this->receive()) {
    case Received::Bytes:
        this->handlers.onInput();
        return;
    case Received::Nothing:
        return;
    case Received::End:
        this->reportEnd(true);
        return;
    case Received::Failure:
        this->hasFailed = true;
        this->reportEnd(false);
        return;
    }
}

auto SocketStream::receive() -> Received
{
    static std::array<char, readBufferBytes> buffer;
    const auto count = recv(this->descriptor, buffer.data(), buffer.size(), 0);
    if (count == 0) {
        return Received::End;
    }
    if (count < 0) {
        const auto mayFollow = errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR;
        return mayFollow ? Received::Nothing : Received::Failure;
    }
    if (this->consumedBytes > 0) {
        this->received.erase(0, this->consumedBytes);
        this->consumedBytes = 0;
    }
    this->received.append(buffer.data(), static_cast<std::size_t>(count));
    return Received::Bytes;
}

auto SocketStream::readRest() -> void
{
    // send() has taken the socket's error, so recv() reports a reset like a close of the peer.
    const auto isReading = event_pending(this->readEvent.get(), EV_READ, nullptr) != 0;
    if (!isReading || this->receive() != Received::Bytes) {
        this->reportEnd(false);
        return;
    }
    event_active(this->writeEvent.get(), EV_WRITE, 0);
    this->handlers.onInput();
}

auto SocketStream::reportEnd(bool isClean) -> void
{
    event_del(this->readEvent.get());
    if (!std::exchange(this->hasEnded, true)) {
        this->handlers.onEnd(isClean);
    }
}

auto SocketStream::onWritable() -> void
{
    if (this->isConnecting) {
        this->isConnecting = false;
        int error = 0;
        socklen_t size = sizeof error;
        const auto hasStatus =
            !this->hasFailed
            && getsockopt(this->descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0;
        if (!hasStatus || error != 0) {
            this->hasFailed = true;
            this->handlers.onConnected(false);
            return;
        }
        this->setReading(true);
        this->flush();
        this->handlers.onConnected(true);
        return;
    }
    if (this->hasFailed) {
        // write() fails by way of this event, so that onEnd isn't called from within it.
        this->readRest();
        return;
    }
    this->flush();
    if (!this->hasFailed && this->handlers.onSent) {
        this->handlers.onSent();
    }
}

auto SocketStream::fail() -> void
{
    this->hasFailed = true;
    this->unsent.clear();
    this->unsentByteCount = 0;
    this->queuedByteCount = 0;
    event_active(this->writeEvent.get(), EV_WRITE, 0);
}

} // namespace gooseberrywall
