#pragma once

#include "http/clocktimer.h"
#include "streams/frontlistener.h"

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// How a KeyedUpstreamStub handles requests; grants and releases are handled in every mode.
enum class KeyedUpstreamMode : std::uint8_t {
    Normal,
    /// Runs requests but doesn't answer them.
    AnswersLost,
    /// Rejects requests with 503 and doesn't run them.
    Full,
    /// Runs requests and answers them with 500.
    Failing,
    /// Rejects every third request with 503 and doesn't run it.
    OftenFull,
};

/// A run of one request by a KeyedUpstreamStub.
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

/// Stand-in for an upstream that owns ranges of keys by grants, on the event loop of the test. Each
/// request runs for the service time, but no longer than the grant of its key lasts; then it ends
/// with 500. Requests for other upstreams and for keys that it doesn't own are rejected with 421. A
/// release is answered when the work that was running on its keys has ended; one of keys that the
/// upstream doesn't hold any more is answered at once.
class KeyedUpstreamStub
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        std::string zone = "north-1";
        Address listen;
        /// Address to register, such as that of a proxy; if empty, `listen` is registered.
        Address advertisedAddress;
        bool isSharded = false;
        int slots = 3;
        Duration serviceTime = std::chrono::milliseconds{20};
        std::int64_t incarnation = 1;
        /// After a release, grants of its keys with lower fences are refused.
        bool doReleasesRaiseFences = true;
    };

    /// @param now the time of the test
    /// @param runs each run is appended when it starts; may be shared by several upstreams
    KeyedUpstreamStub(event_base *base, Settings settings, const std::function<Instant()> &now,
                      std::vector<KeyedRun> &runs);

    auto start() -> void { this->listener.start(); }
    auto setMode(KeyedUpstreamMode mode) -> void { this->mode = mode; }
    /// Adds headers to all answers and rejections of requests.
    auto setExtraHeaders(std::vector<HttpHeader> headers) -> void
    {
        this->extraHeaders = std::move(headers);
    }
    /// Rejects requests with 503 and states the rest of this time, in which it wants none.
    auto pauseUntil(Instant end) -> void { this->pauseEnd = end; }
    /// @param callback called for each request that was sent to this upstream and whose key it owns
    auto setOnRequest(std::function<void(const MessageHead &)> callback) -> void
    {
        this->onOwnRequest = std::move(callback);
    }
    /// Becomes another process with the same id and address, which holds no keys. Requests that
    /// still run are answered.
    auto restart() -> void;
    auto setServiceTime(Duration time) -> void { this->settings.serviceTime = time; }
    /// @returns the JSON with which the upstream registers in the store
    [[nodiscard]] auto entry(bool isDraining) const -> std::string;
    [[nodiscard]] auto storeKey() const -> std::string { return "servers/" + this->settings.id; }
    [[nodiscard]] auto service() const -> const std::string & { return this->settings.service; }
    /// @returns the signature of its answers
    [[nodiscard]] auto signature() const -> std::string { return "sig-" + this->settings.id; }
    [[nodiscard]] auto ownsKey(int key) const -> bool;
    /// @returns the keys of the requests that run, each within the time of the grant under which it
    /// runs. No other upstream may be granted one of them meanwhile, also after a release.
    [[nodiscard]] auto keysAtWork() const -> std::set<int>;
    [[nodiscard]] auto peakRunningCount() const -> int { return this->peakRunning; }
    /// @returns whether a request's run was ended with 500 because the grant of its key had run out
    [[nodiscard]] auto hasEndedByHold(const std::string &request) const -> bool
    {
        return this->endedByHold.contains(request);
    }

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
        std::uint64_t number = 0;
        int key = -1;
        /// When the grant of its key ends; stays as it is once the key is released.
        Instant holdEndsAt{};
    };
    /// A release that waits for running requests.
    struct OpenRelease
    {
        ExchangeId exchange;
        int first = 0;
        int last = 0;
        /// Later requests don't delay the answer.
        std::uint64_t lastRequest = 0;
    };

    auto onRequest(ExchangeId exchange, const WholeMessage &request) -> void;
    auto onGrant(ExchangeId exchange, const WholeMessage &request) -> void;
    auto onRelease(ExchangeId exchange, const WholeMessage &request) -> void;
    auto runRequest(ExchangeId exchange, const WholeMessage &request) -> void;
    auto finishDue() -> void;
    /// Answers the releases whose requests have ended.
    auto answerReleases() -> void;
    auto onDisconnect(ExchangeId exchange) -> void;
    /// @returns whether the grant under which a request runs has ended
    [[nodiscard]] auto hasOutlastedHold(const Running &run) const -> bool;
    /// @returns when the grants of a key end; Instant{} where there are none
    [[nodiscard]] auto holdEndOf(int key) const -> Instant;
    auto answer(const Running &run) -> void;
    auto reject(ExchangeId exchange, const MessageHead &request, int status) -> void;

    Settings settings;
    std::function<Instant()> now;
    std::vector<KeyedRun> &runs;
    KeyedUpstreamMode mode = KeyedUpstreamMode::Normal;
    std::vector<HttpHeader> extraHeaders;
    Instant pauseEnd{};
    std::function<void(const MessageHead &)> onOwnRequest;
    std::vector<KeyGrant> grants;
    /// The fences of releases; they hold no keys.
    std::vector<KeyGrant> releases;
    std::list<Running> running;
    std::list<OpenRelease> openReleases;
    /// Ids of the requests whose runs were ended because the grants of their keys had run out.
    std::set<std::string> endedByHold;
    std::uint64_t startedCount = 0;
    int peakRunning = 0;
    int requestCount = 0;
    FrontListener listener;
    ClockTimer timer;
};

/// @returns the keys on which an upstream works within the time of its grant while another one
/// owns them; a system that gives keys on only after their release or that time leaves none
[[nodiscard]] auto
keysGivenOnAtWork(const std::vector<std::unique_ptr<KeyedUpstreamStub>> &upstreams)
    -> std::set<int>;

} // namespace gooseberrywall
