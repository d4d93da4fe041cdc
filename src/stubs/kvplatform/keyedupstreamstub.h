#pragma once

#include "http/clocktimer.h"
#include "streams/frontlistener.h"

#include <cstdint>
#include <functional>
#include <list>
#include <string>
#include <vector>

namespace gooseberrywall {

/// How a stand-in of an upstream treats requests; orders about keys are always taken.
enum class KeyedUpstreamMode : std::uint8_t {
    Normal,
    /// Runs requests and never answers them.
    AnswersLost,
    /// Rejects requests as not run.
    Full,
    /// Runs requests and fails them.
    Failing,
};

/// Run of one request, as the upstream saw it.
struct KeyedRun
{
    std::string request;
    std::string upstream;
    std::string path;
    std::string body;
    int key = -1;
    Instant startedAt;
    auto operator==(const KeyedRun &) const -> bool = default;
};

/// A stand-in of an upstream that owns keys by grants: runs requests for a fixed time, rejects
/// those for other upstreams and for keys that it doesn't own, on the loop of the test.
class KeyedUpstreamStub
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        std::string zone = "north-1";
        Address listen;
        /// Registered in place of the own address, such as a proxy's; empty: the own.
        Address advertisedAddress;
        bool isSharded = false;
        int slots = 3;
        Duration serviceTime = std::chrono::milliseconds{20};
        std::int64_t incarnation = 1;
    };

    /// @param runs receives each run; shared by all upstreams of a test
    KeyedUpstreamStub(event_base *base, Settings settings, const std::function<Instant()> &now,
                      std::vector<KeyedRun> &runs);

    auto start() -> void { this->listener.start(); }
    auto setMode(KeyedUpstreamMode mode) -> void { this->mode = mode; }
    auto setServiceTime(Duration time) -> void { this->settings.serviceTime = time; }
    /// @returns the text that it registers in the store
    [[nodiscard]] auto entry(bool isDraining) const -> std::string;
    [[nodiscard]] auto storeKey() const -> std::string { return "servers/" + this->settings.id; }
    [[nodiscard]] auto ownsKey(int key) const -> bool;
    [[nodiscard]] auto peakRunningCount() const -> int { return this->peakRunning; }

private:
    struct KeyGrant
    {
        int first = 0;
        int last = 0;
        std::uint64_t fence = 0;
        Instant expiresAt;
    };
    struct Running
    {
        ExchangeId exchange;
        WholeMessage request;
        Instant endsAt;
    };

    auto onRequest(ExchangeId exchange, const WholeMessage &request) -> void;
    auto onGrant(ExchangeId exchange, const WholeMessage &request) -> void;
    auto onRelease(ExchangeId exchange, const WholeMessage &request) -> void;
    auto runRequest(ExchangeId exchange, const WholeMessage &request) -> void;
    auto finishDue() -> void;
    auto answer(const Running &run) -> void;
    auto reject(ExchangeId exchange, int status) -> void;

    Settings settings;
    std::function<Instant()> now;
    std::vector<KeyedRun> &runs;
    KeyedUpstreamMode mode = KeyedUpstreamMode::Normal;
    std::vector<KeyGrant> grants;
    std::list<Running> running;
    int peakRunning = 0;
    FrontListener listener;
    ClockTimer timer;
};

} // namespace gooseberrywall
