#include "testcell.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <chrono>
#include <random>

using namespace gooseberrywall;

namespace {

/// A TCP connection on which arbitrary bytes can be sent.
class RawConnection
{
public:
    explicit RawConnection(const Address &address)
        : descriptor(socket(AF_INET, SOCK_STREAM, 0))
    {
        const auto endpoint = parseEndpoint(address).value();
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(endpoint.port);
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const timeval timeout{10, 0};
        setsockopt(this->descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
        REQUIRE(connect(this->descriptor, reinterpret_cast<sockaddr *>(&target), sizeof target)
                == 0);
    }
    ~RawConnection() { close(this->descriptor); }
    RawConnection(const RawConnection &) = delete;
    auto operator=(const RawConnection &) -> RawConnection & = delete;

    auto send(const std::string &bytes) const -> void
    {
        ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// @returns the bytes that arrive until the peer closes the connection, or until none arrive
    /// for
    ///          ten seconds
    [[nodiscard]] auto receiveAll() const -> std::string
    {
        std::string received;
        char buffer[4096];
        while (true) {
            const auto count = recv(this->descriptor, buffer, sizeof buffer, 0);
            if (count <= 0) {
                this->isClosed = count == 0;
                return received;
            }
            received.append(buffer, static_cast<std::size_t>(count));
        }
    }

    /// Whether receiveAll() ended because the peer closed the connection, and not by its timeout.
    mutable bool isClosed = false;

private:
    int descriptor;
};

struct BadInput
{
    std::string name;
    std::string bytes;
    std::string expected;
};

auto requestWith(const std::string &headers, const std::string &body) -> std::string
{
    return "POST /v1/services/fitment/keys/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers
           + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

auto badInputs() -> std::vector<BadInput>
{
    const std::string longText(40'000, 'a');
    return {
        {"nonsense", "NONSENSE\r\n\r\n", " 400 "},
        {"no idempotence", requestWith("", "x"), "malformed_request"},
        {"a body over the limit", requestWith("X-Idempotent: true\r\n", std::string(70'000, 'b')),
         "body_too_large"},
        {"headers over the limit",
         requestWith("X-Idempotent: true\r\nX-A: " + longText + "\r\n", "x"), "\r\n"},
        {"many headers",
         requestWith(
             [] {
                 std::string headers = "X-Idempotent: true\r\n";
                 for (int number = 0; number < 2000; ++number) {
                     headers += "X-" + std::to_string(number) + ": 1234567890\r\n";
                 }
                 return headers;
             }(),
             "x"),
         " 431 "},
        {"an unknown service",
         "POST /v1/services/nothing/keys/a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
         "X-Idempotent: true\r\nContent-Length: 0\r\n\r\n",
         "unknown_service"},
    };
}

} // namespace

SCENARIO("Daemon: given malformed input on each of its ports, it still answers requests", "[e2e]")
{
    GIVEN("a cell")
    {
        const TestCell cell(3, 3);
        const auto &settings = cell.daemonSettings(0);
        WHEN("callers send bad requests")
        {
            THEN("each is answered with its error")
            {
                for (const auto &input : badInputs()) {
                    INFO(input.name);
                    const RawConnection connection(settings.callerListen);
                    connection.send(input.bytes);
                    const auto reply = connection.receiveAll();
                    CHECK(reply.find("HTTP/1.1 200") == std::string::npos);
                    CHECK(reply.find(input.expected) != std::string::npos);
                }
            }
            AND_THEN("the daemon closes a connection that stops in the middle of a request")
            {
                const RawConnection connection(settings.callerListen);
                connection.send("POST /v1/serv");
                CHECK(connection.receiveAll().find("200") == std::string::npos);
                CHECK(connection.isClosed);
            }
        }
        WHEN("random bytes arrive on each port")
        {
            std::mt19937 random(7);
            for (int round = 0; round < 50; ++round) {
                for (const auto &address :
                     {settings.callerListen, settings.adminListen, settings.peerListen}) {
                    std::string bytes(200 + random() % 2000, '\0');
                    for (auto &byte : bytes) {
                        byte = static_cast<char>(random());
                    }
                    const RawConnection connection(address);
                    connection.send(bytes);
                }
            }
            THEN("requests are still answered")
            {
                LoadSettings load;
                load.rate = 100;
                load.duration = std::chrono::seconds{1};
                const auto report = cell.load(load);
                CHECK(report.tally.count(CallEndKind::Answer) == report.tally.total());
            }
        }
    }
}
