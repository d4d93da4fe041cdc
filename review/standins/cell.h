#pragma once

#include "edgeprocess.h"
#include "garblingproxy.h"
#include "instance.h"
#include "record.h"
#include "storeproxy.h"
#include "streams/outboundpool.h"
#include "stubs/kvplatform/keyedupstreamstub.h"
#include "stubs/kvplatform/kvstorestub.h"
#include "tasks/eventloop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrywall::review {

struct CellSettings
{
    std::string program;
    std::string templateFile;
    /// Directory for settings and logs of the daemons.
    std::string folder;
    int daemons = 3;
    /// There is only service "look", and it is divided by key.
    bool isKeyed = false;
    /// Some keys are far busier than others, and which ones changes.
    bool hasBusyKeys = false;
    int instancesPerService = 3;
    /// Share of a core that each machine has.
    std::string processorShare = "0.14";
    double timeoutSeconds = 1;
    /// Ordinary requests per second, half of them to each service.
    double requestsPerSecond = 60;
    Duration workTime = std::chrono::milliseconds{60};
    std::function<std::size_t(const std::string &target)> answerBytes = [](const std::string &) {
        return std::size_t{1500};
    };
};

/// Signal handler: Cell::runFor() throws from then on, so that all processes are ended.
auto onStopSignal(int number) -> void;

/// An ordinary request and its answer.
struct SentRequest
{
    std::string target;
    bool isIdempotent = false;
    Instant sentAt{};
    int status = 0;
    std::string answerId;
    std::string body;
};

/// A small deployment: daemons as processes on loopback addresses, and stand-ins of the store, the
/// instances and the clients in this process. Service "look" takes idempotent requests, service
/// "book" others.
class Cell
{
public:
    Cell(CellSettings settings, Record &record);

    /// @throws std::runtime_error after a stop signal
    auto runFor(Duration time) -> void;
    /// Waits until all daemons are ready and some requests in a row were served.
    /// @returns whether they were, in time
    [[nodiscard]] auto waitUntilServed() -> bool;
    auto setSending(bool isSending) -> void { this->isSending = isSending; }
    /// While it is silent, the store answers no call, and what it answers is lost.
    auto setStoreSilent(bool isSilent) -> void { this->storeProxy.setSilent(isSilent); }
    /// Two of the four keyed instances send additional bytes after this share of their answers.
    auto setGarbledShare(double share) -> void;
    [[nodiscard]] auto garbledAnswers() const -> int;
    /// @returns the longest time for which two instances held the same key, of some keys
    [[nodiscard]] auto longestSharedHold() const -> Duration { return this->longestShared; }
    /// Kills all daemons; the platform starts them again.
    auto killAll() -> void;

    [[nodiscard]] auto base() -> event_base * { return this->loop.base(); }
    [[nodiscard]] auto daemon(std::size_t index) -> EdgeProcess & { return *this->daemons[index]; }
    [[nodiscard]] auto front(std::size_t index) const -> Address { return this->fronts[index]; }
    [[nodiscard]] auto instances() -> std::vector<std::unique_ptr<Instance>> &
    {
        return this->instanceList;
    }
    [[nodiscard]] auto sentRequests() const -> const std::map<std::string, SentRequest> &
    {
        return this->sent;
    }
    /// @returns how often a request ran, at all instances
    [[nodiscard]] auto runCount(const std::string &id) const -> int;
    /// @returns the text of a request
    [[nodiscard]] static auto request(const std::string &method, const std::string &target,
                                      const std::string &id, int deadlineMs, int key = -1)
        -> std::string;

private:
    auto onTick() -> void;
    auto createInstances() -> void;
    auto createDaemon(int index) -> void;
    auto writeHeartbeats() -> void;
    auto superviseDaemons() -> void;
    auto checkOwners() -> void;
    auto sendOrdinary() -> void;
    [[nodiscard]] auto keyOf(int number) const -> int;
    auto askReady(std::size_t daemon) -> void;
    auto putConfiguration() -> void;

    CellSettings settings;
    Record &record;
    EventLoop loop;
    Address storeAddress;
    KvStoreStub store;
    Address storeProxyAddress;
    StoreProxy storeProxy;
    std::vector<KeyedRun> keyedRuns;
    std::vector<std::unique_ptr<KeyedUpstreamStub>> keyedInstances;
    std::vector<std::unique_ptr<GarblingProxy>> garblingProxies;
    /// Since when a key has two holders.
    std::map<int, Instant> sharedSince;
    Duration longestShared{0};
    std::vector<std::unique_ptr<Instance>> instanceList;
    std::vector<std::unique_ptr<EdgeProcess>> daemons;
    std::vector<std::map<std::string, std::string>> fields;
    std::vector<Address> fronts;
    std::vector<Address> readies;
    std::vector<bool> areReady;
    std::vector<Instant> endedAt;
    OutboundPool clients;
    std::map<std::string, SentRequest> sent;
    bool isSending = false;
    int servedInRow = 0;
    int nextRequest = 1;
    int sequence = 1;
    Instant nextSendAt{};
    Instant nextHeartbeatAt{};
    Instant nextReadyAt{};
    ClockTimer tick;
};

} // namespace gooseberrywall::review
