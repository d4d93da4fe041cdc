#pragma once

#include "daemon.h"
#include "http/clocktimer.h"
#include "streams/frontlistener.h"
#include "stubs/kvplatform/kvstorestub.h"

#include <functional>
#include <list>
#include <memory>
#include <string>

namespace gooseberrywall::review {

/// Stand-in for an upstream without keys. It registers in the store, answers after its service
/// time, and is another process with a new id and address after each crash.
class Server
{
public:
    struct Settings
    {
        std::string name;
        std::string service;
        std::size_t slots = 3;
        std::size_t queue = 12;
        Duration serviceTime = std::chrono::milliseconds{40};
        Duration heartbeat = std::chrono::milliseconds{870};
        /// Time from a crash to the next start.
        Duration downTime = std::chrono::seconds{3};
    };
    /// Called when the server begins to run a request.
    /// @returns whether the request crashes the server
    using OnRun = std::function<bool(const Server &server, const WholeMessage &request)>;

    Server(event_base *base, Settings settings, KvStoreStub &store, OnRun onRun, Record &record);

    /// Sends heartbeats, starts again after a crash, and finishes requests.
    auto tick() -> void;
    [[nodiscard]] auto id() const -> const std::string & { return this->lifeId; }
    [[nodiscard]] auto service() const -> const std::string & { return this->settings.service; }

private:
    struct Open
    {
        ExchangeId exchange;
        WholeMessage request;
        Instant endsAt{};
        bool isRunning = false;
    };

    auto start() -> void;
    auto beat() -> void;
    auto crash() -> void;
    auto onRequest(ExchangeId exchange, WholeMessage request) -> void;
    auto runWaiting() -> void;
    auto answer(const Open &open) -> void;
    auto reject(ExchangeId exchange, const MessageHead &request, int status) -> void;

    event_base *base;
    Settings settings;
    KvStoreStub &store;
    OnRun onRun;
    Record &record;
    std::string lifeId;
    Address address;
    int life = 0;
    std::uint64_t sequence = 0;
    std::int64_t born = 0;
    Instant nextBeatAt{};
    Instant startAt{};
    bool isCrashing = false;
    /// Ids of earlier processes, and when the store drops their entries.
    std::list<std::pair<std::string, Instant>> ended;
    std::list<Open> open;
    std::unique_ptr<FrontListener> listener;
};

} // namespace gooseberrywall::review
