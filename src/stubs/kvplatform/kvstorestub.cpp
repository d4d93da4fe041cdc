#include "stubs/kvplatform/kvstorestub.h"

#include "http/base64.h"
#include "http/percentcoding.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

auto frontSettings(const Address &listen) -> FrontSettings
{
    FrontSettings settings;
    settings.listen = listen;
    return settings;
}

/// @param target path and query of a request
/// @returns the decoded value of the query's field; empty if it is missing or malformed
auto queryField(const std::string &target, const std::string &name) -> std::string
{
    auto separator = target.find('?');
    while (separator != std::string::npos) {
        const auto next = target.find('&', separator + 1);
        const auto field =
            target.substr(separator + 1, next == std::string::npos ? next : next - separator - 1);
        if (field.starts_with(name + "=")) {
            return percentDecode(field.substr(name.size() + 1)).value_or("");
        }
        separator = next;
    }
    return {};
}

} // namespace

KvStoreStub::KvStoreStub(event_base *base, const Address &listen, std::function<Instant()> now)
    : now(std::move(now))
    , listener(
          base, frontSettings(listen), this->now,
          [this](ExchangeId exchange, const WholeMessage &request) {
              this->onRequest(exchange, request);
          },
          [this](ExchangeId exchange) {
              this->watches.remove_if(
                  [&](const Watch &watch) { return watch.exchange == exchange; });
          })
{
}

auto KvStoreStub::put(const std::string &key, const std::string &value) -> void
{
    this->write(key, value, 0);
    this->answerWatches();
}

auto KvStoreStub::remove(const std::string &key) -> void
{
    this->data.items.erase(key);
    this->data.history.push_back(
        json{{"key", key}, {"revision", ++this->data.revision}, {"tombstone", true}});
    this->answerWatches();
}

auto KvStoreStub::compact() -> void
{
    this->data.compactedRevision = this->data.revision;
    this->data.history.clear();
}

auto KvStoreStub::restoreCopy() -> void
{
    this->data = this->kept;
    ++this->era;
}

auto KvStoreStub::tick() -> void
{
    const auto time = this->now();
    std::vector<std::uint64_t> expiredIds;
    for (const auto &[id, lease] : this->data.leases) {
        if (lease.expiresAt <= time) {
            expiredIds.push_back(id);
        }
    }
    for (const auto id : expiredIds) {
        this->endLease(id);
    }
    this->answerWatches();
    this->listener.sweep();
}

auto KvStoreStub::value(const std::string &key) const -> std::optional<std::string>
{
    const auto found = this->data.items.find(key);
    return found == this->data.items.end() ? std::nullopt : std::optional(found->second.value);
}

auto KvStoreStub::onRequest(ExchangeId exchange, const WholeMessage &request) -> void
{
    ++this->receivedCalls;
    if (this->mode == KvStoreMode::Silent) {
        return;
    }
    if (this->mode == KvStoreMode::Refusing) {
        this->reply(exchange, 503, json::object());
        return;
    }
    if (this->mode == KvStoreMode::InvalidJson) {
        MessageHead head;
        head.status = 200;
        this->listener.reply(exchange, head, "}{ nonsense");
        return;
    }
    const auto &target = request.head.target;
    const auto path = target.substr(0, target.find('?'));
    const auto body = json::parse(request.body, nullptr, false);
    if (path == "/kv-key") {
        this->get(exchange, queryField(target, "key"));
    } else if (path == "/kv-range") {
        this->range(exchange, queryField(target, "prefix"), queryField(target, "after"));
    } else if (path == "/kv-watch") {
        const auto wait = std::chrono::milliseconds{std::stoll(queryField(target, "wait_ms"))};
        this->watches.push_back(Watch{exchange, queryField(target, "prefix"),
                                      std::stoull(queryField(target, "after")),
                                      this->now() + wait});
        this->answerWatches();
    } else if (path == "/kv-txn") {
        this->transact(exchange, body);
    } else {
        this->handleLeaseCall(exchange, path, body);
    }
}

auto KvStoreStub::reply(ExchangeId exchange, int status, const json &body) -> void
{
    MessageHead head;
    head.status = status;
    head.headers = {HttpHeader{"Content-Type", "application/json"},
                    HttpHeader{"Store-Era", std::to_string(this->era)}};
    this->listener.reply(exchange, head, body.dump());
}

auto KvStoreStub::get(ExchangeId exchange, const std::string &key) -> void
{
    const auto found = this->data.items.find(key);
    if (found == this->data.items.end()) {
        this->reply(exchange, 404, json::object());
        return;
    }
    auto item = itemJson(key, found->second);
    item["current_rev"] = this->data.revision;
    this->reply(exchange, 200, item);
}

auto KvStoreStub::range(ExchangeId exchange, const std::string &prefix, const std::string &after)
    -> void
{
    auto list = json::array();
    for (const auto &[key, item] : this->data.items) {
        if (key.starts_with(prefix) && key > after) {
            list.push_back(itemJson(key, item));
        }
    }
    this->reply(exchange, 200,
                json{{"items", list}, {"has_more", false}, {"current_rev", this->data.revision}});
}

auto KvStoreStub::transact(ExchangeId exchange, const json &body) -> void
{
    auto currentItems = json::array();
    auto preconditionsHold = true;
    for (const auto &condition : body.at("precondition")) {
        const auto key = condition.at("key").get<std::string>();
        const auto found = this->data.items.find(key);
        const auto actual = found == this->data.items.end() ? 0 : found->second.revision;
        preconditionsHold =
            preconditionsHold && actual == condition.at("revision").get<std::uint64_t>();
        if (found != this->data.items.end()) {
            currentItems.push_back(itemJson(key, found->second));
        }
    }
    if (!preconditionsHold) {
        this->reply(exchange, 412, json{{"items", currentItems}});
        return;
    }
    for (const auto &write : body.at("writes")) {
        const auto lease = write.value("lease", std::uint64_t{0});
        if (lease != 0 && !this->data.leases.contains(lease)) {
            this->reply(exchange, 404, json::object());
            return;
        }
    }
    for (const auto &write : body.at("writes")) {
        this->write(write.at("key").get<std::string>(),
                    decodeBase64(write.at("value").get<std::string>()).value_or(""),
                    write.value("lease", std::uint64_t{0}));
    }
    for (const auto &key : body.at("deletes")) {
        this->remove(key.get<std::string>());
    }
    if (this->mode != KvStoreMode::WritesUnanswered) {
        this->reply(exchange, 200, json{{"revision", this->data.revision}});
    }
    this->answerWatches();
}

auto KvStoreStub::handleLeaseCall(ExchangeId exchange, const std::string &path, const json &body)
    -> void
{
    constexpr std::string_view keepAlivePrefix = "/kv-keep/";
    constexpr std::string_view endPrefix = "/kv-lease-end/";
    if (path == "/kv-lease") {
        const auto seconds = body.at("ttl_s_time").get<double>();
        const auto timeToLive =
            std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
        this->data.leases[++this->data.lastLeaseId] = Lease{this->now() + timeToLive, timeToLive};
        this->reply(exchange, 200,
                    json{{"lease", this->data.lastLeaseId}, {"ttl_s_time", seconds}});
        return;
    }
    const auto isKeepAlive = path.starts_with(keepAlivePrefix);
    const auto id = std::stoull(path.substr((isKeepAlive ? keepAlivePrefix : endPrefix).size()));
    const auto found = this->data.leases.find(id);
    if (found == this->data.leases.end()) {
        this->reply(exchange, 404, json::object());
        return;
    }
    if (isKeepAlive) {
        found->second.expiresAt = this->now() + found->second.timeToLive;
    } else {
        this->endLease(id);
    }
    this->reply(exchange, 200, json::object());
}

auto KvStoreStub::write(const std::string &key, const std::string &value, std::uint64_t lease)
    -> void
{
    const auto known = this->data.items.find(key);
    const auto createdRevision =
        known == this->data.items.end() ? this->data.revision + 1 : known->second.createdRevision;
    this->data.items[key] = Item{value, ++this->data.revision, createdRevision, lease};
    this->data.history.push_back(itemJson(key, this->data.items[key]));
}

auto KvStoreStub::answerWatches() -> void
{
    if (this->mode != KvStoreMode::Normal && this->mode != KvStoreMode::WritesUnanswered) {
        return;
    }
    for (auto current = this->watches.begin(); current != this->watches.end();) {
        const auto watch = *current;
        auto events = json::array();
        for (const auto &event : this->data.history) {
            if (event.at("revision").get<std::uint64_t>() > watch.afterRevision
                && event.at("key").get<std::string>().starts_with(watch.prefix)) {
                events.push_back(event);
            }
        }
        const auto isCompacted = watch.afterRevision < this->data.compactedRevision
                                 || watch.afterRevision > this->data.revision;
        if (!isCompacted && events.empty() && watch.deadline > this->now()) {
            ++current;
            continue;
        }
        current = this->watches.erase(current);
        if (isCompacted) {
            this->reply(watch.exchange, 410, json::object());
        } else {
            this->reply(watch.exchange, 200,
                        json{{"events", events}, {"current_rev", this->data.revision}});
        }
    }
}

auto KvStoreStub::endLease(std::uint64_t lease) -> void
{
    this->data.leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : this->data.items) {
        if (item.lease == lease) {
            keys.push_back(key);
        }
    }
    for (const auto &key : keys) {
        this->remove(key);
    }
}

auto KvStoreStub::itemJson(const std::string &key, const Item &item) -> json
{
    return json{{"key", key},
                {"value", encodeBase64(item.value)},
                {"revision", item.revision},
                {"created_rev", item.createdRevision},
                {"lease", item.lease}};
}

} // namespace gooseberrywall
