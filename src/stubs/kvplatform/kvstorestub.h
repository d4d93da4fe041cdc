#pragma once

#include "streams/frontlistener.h"

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// How a KvStoreStub handles calls.
enum class KvStoreMode : std::uint8_t {
    Normal,
    /// Answers calls with 503 and doesn't execute them.
    Refusing,
    /// Neither executes nor answers calls.
    Silent,
    /// Executes calls, but doesn't answer successful transactions.
    WritesUnanswered,
    /// Answers calls with a body that isn't JSON and doesn't execute them.
    InvalidJson,
};

/// Stand-in for the platform's key-value store, in memory and on the event loop of the test. It
/// serves items, leases, watches and transactions over HTTP.
class KvStoreStub
{
public:
    KvStoreStub(event_base *base, const Address &listen, std::function<Instant()> now);

    auto start() -> void { this->listener.start(); }
    auto setMode(KvStoreMode mode) -> void { this->mode = mode; }
    /// Writes an item without a lease, as the operator or an upstream does.
    auto put(const std::string &key, const std::string &value) -> void;
    auto remove(const std::string &key) -> void;
    /// Drops the history of changes; watches that start before it are answered with 410.
    auto compact() -> void;
    /// Keeps a copy of the items and leases as they are.
    auto keepCopy() -> void { this->kept = this->data; }
    /// Comes back from the copy: what was written since is gone, and revisions and leases are given
    /// out again.
    auto restoreCopy() -> void;
    /// Ends expired leases and answers watches that have changes or have timed out.
    auto tick() -> void;

    [[nodiscard]] auto value(const std::string &key) const -> std::optional<std::string>;
    [[nodiscard]] auto callCount() const -> std::uint64_t { return this->receivedCalls; }

private:
    using json = nlohmann::json;

    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t createdRevision = 0;
        std::uint64_t lease = 0;
    };
    struct Lease
    {
        Instant expiresAt;
        Duration timeToLive{0};
    };
    /// What a copy has.
    struct Data
    {
        std::map<std::string, Item> items;
        std::vector<json> history;
        std::map<std::uint64_t, Lease> leases;
        std::uint64_t revision = 1;
        std::uint64_t compactedRevision = 0;
        std::uint64_t lastLeaseId = 0;
    };
    struct Watch
    {
        ExchangeId exchange;
        std::string prefix;
        std::uint64_t afterRevision = 0;
        Instant deadline;
    };

    auto onRequest(ExchangeId exchange, const WholeMessage &request) -> void;
    auto reply(ExchangeId exchange, int status, const json &body) -> void;
    auto get(ExchangeId exchange, const std::string &key) -> void;
    auto range(ExchangeId exchange, const std::string &prefix, const std::string &after) -> void;
    auto transact(ExchangeId exchange, const json &body) -> void;
    auto handleLeaseCall(ExchangeId exchange, const std::string &path, const json &body) -> void;
    auto write(const std::string &key, const std::string &value, std::uint64_t lease) -> void;
    auto answerWatches() -> void;
    auto endLease(std::uint64_t lease) -> void;
    [[nodiscard]] static auto itemJson(const std::string &key, const Item &item) -> json;

    std::function<Instant()> now;
    FrontListener listener;
    KvStoreMode mode = KvStoreMode::Normal;
    Data data;
    Data kept;
    std::list<Watch> watches;
    std::uint64_t era = 1;
    std::uint64_t receivedCalls = 0;
};

} // namespace gooseberrywall
