#include "crowd/crowdcaller.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <charconv>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t receiveBytes = std::size_t{64} * 1024;
/// Kept from the beginning of an answer; the rest is read and discarded.
constexpr std::size_t keptAnswerBytes = std::size_t{4} * 1024;
/// Receive buffer of callers that don't read; the server's data then stay in the server.
constexpr int smallReceiveBuffer = 4096;
constexpr int okStatus = 200;

auto isTemporary(int error) -> bool
{
    return error == EAGAIN || error == EWOULDBLOCK || error == EINTR || error == ENOTCONN;
}

} // namespace

CrowdCaller::CrowdCaller(Endpoint server, CallerPlan plan)
    : server(std::move(server))
    , plan(std::move(plan))
{
}

CrowdCaller::~CrowdCaller()
{
    this->disconnect();
}

auto CrowdCaller::advance() -> void
{
    if (this->isClosed() && !this->isSettled()) {
        this->connect();
    }
    if (!this->isClosed()) {
        this->send();
    }
    if (!this->isClosed() && this->plan.readsAnswer) {
        this->receive();
    }
}

auto CrowdCaller::isSettled() const -> bool
{
    if (this->isClosed()) {
        return this->connectionCount >= this->plan.connectionLimit || this->status() == okStatus;
    }
    return this->sentBytes + this->plan.missingBytes >= this->plan.request.size();
}

auto CrowdCaller::status() const -> int
{
    constexpr std::string_view version = "HTTP/1.1 ";
    constexpr std::size_t statusDigits = 3;
    if (!this->received.starts_with(version)
        || this->received.size() < version.size() + statusDigits) {
        return 0;
    }
    const auto *first = this->received.data() + version.size();
    auto result = 0;
    std::from_chars(first, first + statusDigits, result);
    return result;
}

auto CrowdCaller::connect() -> void
{
    ++this->connectionCount;
    this->sentBytes = 0;
    this->received.clear();
    this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (!this->plan.readsAnswer) {
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &smallReceiveBuffer,
                   sizeof smallReceiveBuffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(this->server.port);
    inet_pton(AF_INET, this->server.host.c_str(), &address.sin_addr);
    if (::connect(this->descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address)
            != 0
        && errno != EINPROGRESS) {
        this->disconnect();
    }
}

auto CrowdCaller::disconnect() -> void
{
    if (this->descriptor >= 0) {
        close(std::exchange(this->descriptor, -1));
    }
}

auto CrowdCaller::send() -> void
{
    const auto &request = this->plan.request;
    const auto end = request.size() - this->plan.missingBytes;
    const auto turnEnd = std::min(end, this->sentBytes + this->plan.bytesPerTurn);
    while (this->sentBytes < turnEnd) {
        const auto text = request.textAt(this->sentBytes).substr(0, turnEnd - this->sentBytes);
        const auto count = ::send(this->descriptor, text.data(), text.size(), MSG_NOSIGNAL);
        if (count < 0) {
            if (!isTemporary(errno)) {
                this->disconnect();
            }
            return;
        }
        this->sentBytes += static_cast<std::size_t>(count);
    }
}

auto CrowdCaller::receive() -> void
{
    std::array<char, receiveBytes> buffer{};
    const auto count = recv(this->descriptor, buffer.data(), buffer.size(), 0);
    if (count > 0) {
        const auto kept =
            std::min(static_cast<std::size_t>(count), keptAnswerBytes - this->received.size());
        this->received.append(buffer.data(), kept);
        return;
    }
    // A server that has only closed its sending side may still take input.
    const auto isHalfClosed = count == 0 && !this->isSettled();
    if (!isHalfClosed && (count == 0 || !isTemporary(errno))) {
        this->disconnect();
    }
}

} // namespace gooseberrywall
