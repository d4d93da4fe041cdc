#pragma once

#include "soak/daemonprocess.h"
#include "soak/faultproxy.h"
#include "soak/upstreamlives.h"
#include "soak/vmcuts.h"
#include "streams/outboundpool.h"
#include "stubs/kvplatform/keyedupstreamstub.h"
#include "stubs/kvplatform/kvstorestub.h"
#include "tasks/eventloop.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace gooseberrywall {

struct SoakSettings
{
    std::string program;
    /// Directory for settings and logs of the daemons.
    std::string folder;
    std::uint64_t seed = 1;
    int daemons = 3;
    /// Duration of fault injection.
    Duration faultTime = std::chrono::seconds{10};
    /// Three times the design's bound of 5 s until a key is served again, as faults come in series.
    Duration recoveryTime = std::chrono::seconds{15};
    double requestsPerSecond = 80;
    /// Upstreams also write answers twice, cut them off, or send bytes without end.
    bool hasAnswerFaults = false;
    /// The only faults are planned stops, after which each request that ran must have its answer.
    bool hasOnlyStops = false;
    /// The only faults are daemons that are cut off from all upstreams and from nothing else.
    bool hasOnlyCuts = false;
    /// Upstreams leave and pause, beside outages of the store and lost and stopped daemons.
    bool hasLeaves = false;
};

/// Results of a run. It has passed if there are no violations.
struct SoakReport
{
    int sent = 0;
    int served = 0;
    int refused = 0;
    int unknown = 0;
    std::vector<std::string> violations;
    std::vector<std::string> faults;
};

/// Runs edge daemons as processes, with platform stand-ins and callers in this process. Injects
/// faults by a seeded schedule, and checks the answers to callers and the runs at upstreams.
class SoakCell
{
public:
    explicit SoakCell(SoakSettings settings);

    /// Runs the whole schedule.
    [[nodiscard]] auto run() -> SoakReport;

private:
    struct SentRequest
    {
        std::string path;
        bool isIdempotent = false;
        bool isRefused = false;
        Instant sentAt{};
        /// It ended without a success before its deadline.
        bool isCut = false;
        /// Signature of the upstream whose failure the caller got; empty where it got none.
        std::string failedBy;
        std::size_t daemon = 0;
        VmCuts::Try firstTry;
    };

    auto runFor(Duration time) -> void;
    auto waitUntilServed(Duration limit) -> bool;
    auto writeSettings(int index) -> std::string;
    auto putConfiguration(int version) -> void;
    auto injectFault() -> void;
    auto injectDaemonFault(int kind) -> void;
    /// Makes an upstream leave or pause, or injects a fault beside that.
    auto injectLeave() -> void;
    auto setStoreMode(KvStoreMode mode) -> void;
    auto advanceLeaves() -> void;
    /// Keeps a copy of the store, or brings the store back from the one kept before.
    auto keepOrRestoreStore() -> void;
    /// Makes an upstream send faulty answers, or all of them where the answers come twice.
    auto injectAnswerFault(std::size_t upstream) -> void;
    auto clearFaults() -> void;
    auto onTick() -> void;
    auto sendRequest() -> void;
    auto onAnswer(const std::string &id, const OutboundResult &result) -> void;
    auto checkOwners() -> void;
    /// @returns whether the caller got the failure with which an upstream ended the run because the
    ///          grant of the key had run out, as it does while all daemons are in a planned stop
    [[nodiscard]] auto isEndedByHold(const std::string &id, const SentRequest &entry) const -> bool;
    auto checkRuns() -> void;
    /// @returns the index of the daemon that has opened the accepted connection
    [[nodiscard]] auto daemonOf(int descriptor) const -> int;
    auto addFault(const std::string &what) -> void;
    auto addViolation(const std::string &what) -> void;
    [[nodiscard]] auto pick(std::size_t count) -> std::size_t;

    SoakSettings settings;
    std::mt19937_64 random;
    SoakReport report;
    EventLoop loop;
    Address storeAddress;
    KvStoreStub store;
    FaultProxy storeProxy;
    std::vector<KeyedRun> runs;
    std::vector<std::unique_ptr<KeyedUpstreamStub>> upstreams;
    std::vector<std::unique_ptr<FaultProxy>> upstreamProxies;
    std::vector<Address> callerAddresses;
    std::vector<std::unique_ptr<DaemonProcess>> daemons;
    VmCuts cuts;
    std::unique_ptr<UpstreamLives> lives;
    OutboundPool callers;
    ClockTimer tick;
    std::map<std::string, SentRequest> sent;
    std::uint64_t nextRequest = 1;
    int version = 1;
    int consecutiveServed = 0;
    Instant startedAt = monotonicNow();
    Instant storeFaultAt{};
    /// Empty where the store has no outage that ends by itself.
    std::optional<Instant> storeOutageEnd;
    bool hasStoreCopy = false;
    Instant nextSend{};
    bool isSending = false;
};

} // namespace gooseberrywall
