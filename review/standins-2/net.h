#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <string>
#include <string_view>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

/// Blocking sockets and HTTP/1.1 messages for the stand-ins of the review. All addresses are
/// 127.0.0.1.
namespace review {

using Clock = std::chrono::steady_clock;
using Instant = Clock::time_point;
using std::chrono::milliseconds;

inline auto millisecondsSince(Instant start) -> long
{
    return static_cast<long>(
        std::chrono::duration_cast<milliseconds>(Clock::now() - start).count());
}

inline auto sleepFor(long time) -> void
{
    std::this_thread::sleep_for(milliseconds{time});
}

inline auto loopback(int port) -> sockaddr_in
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

/// @returns the address as settings and the store hold it
inline auto addressText(int port) -> std::string
{
    return "127.0.0.1:" + std::to_string(port);
}

/// @returns the port of "HOST:PORT"
inline auto portOf(const std::string &address) -> int
{
    return std::stoi(address.substr(address.rfind(':') + 1));
}

/// @returns a port that is free for TCP and UDP now, below the system's range of ephemeral ports
inline auto freePort() -> int
{
    static int next = 20000 + (static_cast<int>(getpid()) * 64) % 11000;
    for (auto attempt = 0; attempt < 12000; ++attempt) {
        const auto port = 20000 + (next++ - 20000) % 12000;
        const auto stream = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto datagram = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        const auto address = loopback(port);
        const auto *raw = reinterpret_cast<const sockaddr *>(&address);
        const auto isFree =
            bind(stream, raw, sizeof address) == 0 && bind(datagram, raw, sizeof address) == 0;
        close(stream);
        close(datagram);
        if (isFree) {
            return port;
        }
    }
    throw std::runtime_error("no free port");
}

struct Header
{
    std::string name;
    std::string value;
};

/// A request or an answer.
struct Message
{
    /// Request line or status line.
    std::string start;
    std::vector<Header> headers;
    std::string body;

    [[nodiscard]] auto find(std::string_view name) const -> const std::string *
    {
        for (const auto &header : this->headers) {
            if (header.name.size() == name.size()
                && strncasecmp(header.name.data(), name.data(), name.size()) == 0) {
                return &header.value;
            }
        }
        return nullptr;
    }
    [[nodiscard]] auto value(std::string_view name, const std::string &otherwise = "") const
        -> std::string
    {
        const auto *found = this->find(name);
        return found != nullptr ? *found : otherwise;
    }
    [[nodiscard]] auto number(std::string_view name, long otherwise) const -> long
    {
        const auto *found = this->find(name);
        return found != nullptr && !found->empty() ? std::atol(found->c_str()) : otherwise;
    }
    [[nodiscard]] auto method() const -> std::string
    {
        return this->start.substr(0, this->start.find(' '));
    }
    [[nodiscard]] auto target() const -> std::string
    {
        const auto first = this->start.find(' ') + 1;
        return this->start.substr(first, this->start.find(' ', first) - first);
    }
    [[nodiscard]] auto status() const -> int
    {
        return this->start.size() > 12 ? std::atoi(this->start.c_str() + 9) : 0;
    }
};

inline auto messageText(const Message &message) -> std::string
{
    auto text = message.start + "\r\n";
    for (const auto &header : message.headers) {
        text += header.name + ": " + header.value + "\r\n";
    }
    return text + "\r\n" + message.body;
}

inline auto answer(int status, std::vector<Header> headers = {}, std::string body = "") -> Message
{
    Message message;
    message.start = "HTTP/1.1 " + std::to_string(status) + (status < 300 ? " OK" : " Refused");
    message.headers = std::move(headers);
    message.headers.push_back({"Content-Length", std::to_string(body.size())});
    message.body = std::move(body);
    return message;
}

/// A TCP connection with blocking reads that time out.
class Connection
{
public:
    explicit Connection(int descriptor)
        : descriptor(descriptor)
    {
        const int on = 1;
        setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~Connection() { this->end(); }
    Connection(const Connection &) = delete;
    auto operator=(const Connection &) -> Connection & = delete;

    /// @param receiveBytes size of the receive buffer; zero: that of the system
    /// @returns an open connection; nullptr where it was refused
    static auto open(int port, int receiveBytes = 0) -> std::unique_ptr<Connection>
    {
        const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        if (receiveBytes > 0) {
            setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receiveBytes, sizeof receiveBytes);
        }
        const auto address = loopback(port);
        if (connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address)
            != 0) {
            close(descriptor);
            return nullptr;
        }
        return std::make_unique<Connection>(descriptor);
    }

    auto end() -> void
    {
        if (this->descriptor >= 0) {
            close(std::exchange(this->descriptor, -1));
        }
    }
    /// Closes the sending side.
    auto finish() const -> void { shutdown(this->descriptor, SHUT_WR); }
    /// Resets the connection instead of closing it.
    auto reset() -> void
    {
        const linger immediate{1, 0};
        setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
        this->end();
    }
    auto send(std::string_view bytes) -> bool
    {
        while (!bytes.empty()) {
            const auto sent = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (sent <= 0) {
                return false;
            }
            bytes.remove_prefix(static_cast<std::size_t>(sent));
        }
        return true;
    }
    /// Waits for bytes.
    /// @returns false where none has come in time, or the connection has ended
    auto receive(long timeoutMs, std::size_t most = std::size_t{64} * 1024) -> bool
    {
        pollfd waiting{this->descriptor, POLLIN, 0};
        if (poll(&waiting, 1, static_cast<int>(timeoutMs)) <= 0) {
            this->endCause = "timeout";
            return false;
        }
        std::string buffer(most, '\0');
        const auto count = recv(this->descriptor, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            this->endCause = count == 0 ? "closed" : std::strerror(errno);
            return false;
        }
        this->input.append(buffer.data(), static_cast<std::size_t>(count));
        return true;
    }
    /// @returns the head of the next message; empty where none has come in time
    auto readHead(long timeoutMs) -> std::optional<Message>
    {
        const auto start = Clock::now();
        auto end = this->input.find("\r\n\r\n");
        while (end == std::string::npos) {
            if (!this->receive(std::max(0L, timeoutMs - millisecondsSince(start)))) {
                return std::nullopt;
            }
            end = this->input.find("\r\n\r\n");
        }
        Message message;
        auto text = this->input.substr(0, end + 2);
        this->input.erase(0, end + 4);
        for (auto at = text.find("\r\n"); at != std::string::npos; at = text.find("\r\n")) {
            const auto line = text.substr(0, at);
            text.erase(0, at + 2);
            const auto colon = line.find(": ");
            if (message.start.empty()) {
                message.start = line;
            } else if (colon != std::string::npos) {
                message.headers.push_back({line.substr(0, colon), line.substr(colon + 2)});
            }
        }
        return message;
    }
    /// Reads the body that the head announces.
    /// @returns whether it is complete
    auto readBody(Message &message, long timeoutMs) -> bool
    {
        const auto start = Clock::now();
        const auto length = static_cast<std::size_t>(message.number("Content-Length", 0));
        while (this->input.size() < length) {
            if (!this->receive(std::max(0L, timeoutMs - millisecondsSince(start)))) {
                message.body = std::exchange(this->input, {});
                return false;
            }
        }
        message.body = this->input.substr(0, length);
        this->input.erase(0, length);
        return true;
    }
    auto read(long timeoutMs) -> std::optional<Message>
    {
        auto message = this->readHead(timeoutMs);
        if (!message || !this->readBody(*message, timeoutMs)) {
            return std::nullopt;
        }
        return message;
    }
    /// @returns why the last read has ended early
    [[nodiscard]] auto cause() const -> const std::string & { return this->endCause; }
    [[nodiscard]] auto received() const -> const std::string & { return this->input; }

private:
    int descriptor;
    std::string input;
    std::string endCause;
};

/// Serves connections, each in a thread of its own.
class Server
{
public:
    using Serve = std::function<void(Connection &)>;

    /// @param receiveBytes receive buffer of its connections; zero: that of the system
    /// @param segmentBytes largest TCP segment of its connections; zero: that of the system
    Server(int port, Serve serve, int receiveBytes = 0, int segmentBytes = 0)
        : port(port)
        , receiveBytes(receiveBytes)
        , segmentBytes(segmentBytes)
        , serve(std::move(serve))
    {
        this->listen();
    }
    Server(const Server &) = delete;
    auto operator=(const Server &) -> Server & = delete;
    ~Server() { this->refuse(); }

    /// Listens again after refuse().
    auto listen() -> void
    {
        const auto descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        if (this->receiveBytes > 0) {
            setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &this->receiveBytes,
                       sizeof this->receiveBytes);
        }
        if (this->segmentBytes > 0) {
            setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &this->segmentBytes,
                       sizeof this->segmentBytes);
        }
        const auto address = loopback(this->port);
        if (bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
            || ::listen(descriptor, 256) != 0) {
            throw std::runtime_error("can't listen on port " + std::to_string(this->port));
        }
        this->descriptor = descriptor;
        std::thread([this, descriptor] {
            while (true) {
                const auto accepted = accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0) {
                    return;
                }
                std::thread([serve = this->serve, accepted] {
                    Connection connection(accepted);
                    serve(connection);
                }).detach();
            }
        }).detach();
    }
    /// Refuses new connections; open ones live on.
    auto refuse() -> void
    {
        if (const auto open = this->descriptor.exchange(-1); open >= 0) {
            shutdown(open, SHUT_RDWR);
            close(open);
        }
    }
    [[nodiscard]] auto address() const -> std::string { return addressText(this->port); }

private:
    int port;
    int receiveBytes;
    int segmentBytes;
    Serve serve;
    std::atomic<int> descriptor{-1};
};

} // namespace review
