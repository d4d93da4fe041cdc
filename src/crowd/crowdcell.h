#pragma once

#include "crowd/crowdcaller.h"
#include "crowd/endlessupstream.h"
#include "crowd/processusage.h"
#include "crowd/sizedupstream.h"
#include "crowd/types/crowdcellsettings.h"
#include "http/clocktimer.h"
#include "soak/daemonprocess.h"
#include "stubs/kvplatform/kvstorestub.h"
#include "tasks/eventloop.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace gooseberrywall {

/// One edge daemon in a process of its own, or two, with stand-ins of the store and of two
/// upstreams in this process, on loopback. Callers reach the first daemon.
class CrowdCell
{
public:
    /// Path prefix of all requests.
    static constexpr const char *prefix = "/plain/";
    /// Path prefix of requests whose answers have `largeAnswerBytes`.
    static constexpr const char *largeAnswerPrefix = "/plain/large/";
    /// Path prefixes of requests whose upstreams answer without end: a service without keys, and
    /// one whose upstreams hold keys and get orders.
    static constexpr const char *endlessPrefix = "/endless/";
    static constexpr const char *keyedEndlessPrefix = "/keyed/";

    /// Starts the stand-ins and the process.
    /// @throws std::runtime_error if the process can't be started
    explicit CrowdCell(CrowdCellSettings settings);

    /// Adds a caller, which sends in the following runs until the cell ends.
    /// @returns the caller, which the cell keeps until dismissCallers()
    auto addCaller(CallerPlan plan) -> const CrowdCaller &;
    /// Runs until the caller has an answer or its connection is closed.
    /// @param limit how long to run at most
    auto runUntilAnswered(const CrowdCaller &caller, Duration limit) -> void;
    /// Runs until all callers are settled.
    /// @param limit how long to run at most
    auto runUntilSettled(Duration limit) -> void;
    auto runFor(Duration time) -> void;
    /// Closes the connections of all callers and runs until the daemon has few descriptors.
    /// @param descriptors ends the run when the daemon has fewer
    /// @param limit how long to run at most
    /// @returns the daemon's descriptors at the end
    auto dismissCallers(std::size_t descriptors, Duration limit) -> std::size_t;
    /// Sends one request after the other until one isn't refused with 503.
    /// @param makeRequest returns a request that asks for the connection to be closed
    /// @param limit how long to try at most
    /// @returns the last answer's beginning; empty if there was none
    auto ask(const std::function<CrowdRequest(const std::string &id)> &makeRequest, Duration limit)
        -> std::string;
    /// Waits until the daemon serves a small request, and retries also if it doesn't listen yet.
    /// @returns whether it did
    auto waitUntilServed(Duration limit) -> bool;
    /// As waitUntilServed(), at the second daemon.
    auto waitUntilForwarderServes(Duration limit) -> bool;
    /// From now on the upstreams refuse new connections; open ones continue.
    auto stopAcceptingAtUpstreams() -> void;

    [[nodiscard]] auto isRunning() -> bool { return this->daemon->isRunning(); }
    /// @returns the highest values that were seen while the cell ran
    [[nodiscard]] auto peakUsage() const -> ProcessUsage { return this->usage; }
    /// @returns the same of the second daemon
    [[nodiscard]] auto forwarderUsage() const -> ProcessUsage { return this->usageOfForwarder; }
    [[nodiscard]] auto isForwarderRunning() -> bool { return this->forwarder->isRunning(); }
    /// @returns how many calls of the daemon the faulty upstreams have answered
    [[nodiscard]] auto endlessAnswers() const -> int;
    /// @returns how many callers' last connections are open
    [[nodiscard]] auto openCallers() const -> std::size_t;
    /// @returns whether the daemon's settings have the line `memory_mb`
    [[nodiscard]] auto hasMemorySetting() const -> bool { return this->isMemorySet; }

private:
    /// Where one daemon listens.
    struct Addresses
    {
        Address caller;
        Address ready;
        Address peer;
        Address metrics;
    };

    [[nodiscard]] static auto freeAddresses() -> Addresses;
    /// As ask() and waitUntilServed(), at the daemon with this address.
    auto askAt(const Address &address,
               const std::function<CrowdRequest(const std::string &id)> &makeRequest,
               Duration limit) -> std::string;
    auto waitUntilServedAt(const Address &address, Duration limit) -> bool;
    auto onTick() -> void;
    auto runUntil(const std::function<bool()> &condition, Duration limit) -> void;
    auto startEndlessUpstreams() -> void;
    auto putConfiguration() -> void;
    [[nodiscard]] auto settingsText(const std::string &id, const Addresses &addresses,
                                    bool withMemory) const -> std::string;
    /// Writes the line `memory_mb` only if the program accepts it.
    /// @param id of the daemon
    /// @returns the path of the settings file
    [[nodiscard]] auto writeSettings(const std::string &id, const Addresses &addresses)
        -> std::string;
    auto updateUsage() -> void;

    CrowdCellSettings settings;
    EventLoop loop;
    Address storeAddress;
    Addresses addresses;
    Addresses forwarderAddresses;
    KvStoreStub store;
    std::vector<std::unique_ptr<SizedUpstream>> upstreams;
    std::vector<std::unique_ptr<EndlessUpstream>> endlessUpstreams;
    bool isMemorySet = false;
    std::unique_ptr<DaemonProcess> daemon;
    /// nullptr where there is one daemon.
    std::unique_ptr<DaemonProcess> forwarder;
    std::vector<std::unique_ptr<CrowdCaller>> callers;
    /// The highest values so far.
    ProcessUsage usage;
    ProcessUsage usageOfForwarder;
    std::size_t currentDescriptors = 0;
    int nextRequest = 0;
    ClockTimer tick;
};

} // namespace gooseberrywall
