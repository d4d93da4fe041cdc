#include "peerlink/peerlink.h"

#include "testing/freeaddress.h"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

using namespace gooseberrywall;

namespace {

/// Collects the messages that a link receives.
class Collector
{
public:
    auto receiver() -> PeerLink::Receiver
    {
        return [this](const DaemonId &from, PeerMessage message) {
            const std::lock_guard lock(this->mutex);
            this->senders.push_back(from);
            this->messages.push_back(std::move(message));
            this->changed.notify_all();
        };
    }

    auto waitFor(std::size_t count) -> bool
    {
        std::unique_lock lock(this->mutex);
        return this->changed.wait_for(lock, std::chrono::seconds{10},
                                      [&] { return this->messages.size() >= count; });
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<DaemonId> senders;
    std::vector<PeerMessage> messages;
};

auto identity(const std::string &name, const Address &address) -> DaemonIdentity
{
    return {{name}, {1}, {"domain-a"}, address};
}

/// Connects to an address and writes bytes that aren't of the protocol.
auto sendInvalidBytes(const Address &address) -> void
{
    const auto colon = address.value.find(':');
    const auto descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    target.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.value.substr(colon + 1))));
    REQUIRE(connect(descriptor, reinterpret_cast<sockaddr *>(&target), sizeof target) == 0);
    const std::string invalidBytes(4096, '\x7f');
    REQUIRE(write(descriptor, invalidBytes.data(), invalidBytes.size()) > 0);
    close(descriptor);
}

} // namespace

SCENARIO("PeerLink: only daemons with the same cell secret exchange messages", "[peerlink]")
{
    GIVEN("two daemons of a cell")
    {
        Collector collector;
        Collector unusedCollector;
        const auto address = freeAddress();
        const auto otherAddress = freeAddress();
        PeerLink receiving(identity("d1", address), {address, "secret"}, collector.receiver());
        PeerLink sending(identity("d2", otherAddress), {otherAddress, "secret"},
                         unusedCollector.receiver());
        receiving.start();
        sending.start();
        WHEN("an unknown client sends invalid bytes to the port and then one daemon sends messages")
        {
            sendInvalidBytes(address);
            for (std::uint64_t sequence = 1; sequence <= 100; ++sequence) {
                sending.send({{"d1"}, address, AuthorityRequest{sequence, {}}});
            }
            THEN("all messages arrive with the sender's id")
            {
                REQUIRE(collector.waitFor(100));
                CHECK(collector.senders.front() == DaemonId{"d2"});
                CHECK(collector.messages.back() == PeerMessage{AuthorityRequest{100, {}}});
            }
        }
    }
    GIVEN("a daemon with another secret")
    {
        Collector collector;
        Collector unusedCollector;
        const auto address = freeAddress();
        const auto otherAddress = freeAddress();
        PeerLink receiving(identity("d1", address), {address, "secret"}, collector.receiver());
        PeerLink outsider(identity("d2", otherAddress), {otherAddress, "guess"},
                          unusedCollector.receiver());
        receiving.start();
        outsider.start();
        WHEN("it sends messages")
        {
            outsider.send({{"d1"}, address, AuthorityRequest{1, {}}});
            for (int round = 0; round < 100 && outsider.counters().connectionsFailed == 0;
                 ++round) {
                std::this_thread::sleep_for(std::chrono::milliseconds{50});
                outsider.send({{"d1"}, address, AuthorityRequest{1, {}}});
            }
            THEN("its connection is refused and no message arrives")
            {
                CHECK(outsider.counters().connectionsFailed > 0);
                CHECK(collector.messages.empty());
            }
        }
    }
}
