#include "slowreader.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <utility>

namespace gooseberrywall::review {

namespace {

/// A small window, as over a slow link: the answer waits at the daemon.
constexpr int receiveBufferBytes = 64 * 1024;
constexpr std::size_t answerLimitBytes = std::size_t{16} * 1024 * 1024;

auto connected(const Address &address) -> int
{
    const auto endpoint = parseEndpoint(address).value_or(Endpoint{});
    const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.host.c_str(), &target.sin_addr);
    if (connect(descriptor, reinterpret_cast<sockaddr *>(&target), sizeof target) != 0) {
        throw std::runtime_error("can't connect to " + address.value);
    }
    fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
    return descriptor;
}

} // namespace

SlowReader::SlowReader(event_base *base, const Address &daemon, const std::string &request,
                       std::size_t bytesPerSecond, std::function<void(const Result &)> done)
    : bytesPerSecond(bytesPerSecond)
    , done(std::move(done))
    , reader(MessageReader::Kind::Response,
             MessageLimits{MessageLimits{}.headBytes, answerLimitBytes})
    , timer(base,
            [this] {
                if (!this->isEnded) {
                    this->stream->setReading(true);
                }
            })
    , stream(std::make_unique<SocketStream>(
          base, connected(daemon),
          SocketStream::Handlers{[](bool) {}, [this] { this->onInput(); },
                                 [this](bool) {
                                     this->end(Result{std::nullopt, this->receivedBytes});
                                 }}))
{
    this->stream->write(request);
}

auto SlowReader::onInput() -> void
{
    std::size_t taken = 0;
    const auto before = this->stream->input().size();
    const auto step = this->reader.read(this->stream->input(), taken);
    this->stream->consume(taken);
    this->receivedBytes += before;
    if (step == MessageReader::Step::Whole) {
        this->end(Result{this->reader.take(), this->receivedBytes});
        return;
    }
    this->stream->setReading(false);
    const std::chrono::duration<double> pause(static_cast<double>(before)
                                              / static_cast<double>(this->bytesPerSecond));
    this->timer.set(monotonicNow() + std::chrono::duration_cast<Duration>(pause));
}

auto SlowReader::end(Result result) -> void
{
    if (!std::exchange(this->isEnded, true)) {
        this->stream->setReading(false);
        this->done(result);
    }
}

} // namespace gooseberrywall::review
