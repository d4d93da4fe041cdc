#pragma once

#include "net.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

inline auto encodeBase64(const std::string &text) -> std::string
{
    constexpr std::string_view letters =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string result;
    for (std::size_t at = 0; at < text.size(); at += 3) {
        std::uint32_t bits = 0;
        for (std::size_t next = 0; next < 3; ++next) {
            const auto byte =
                at + next < text.size() ? static_cast<unsigned char>(text[at + next]) : 0U;
            bits = (bits << 8U) | byte;
        }
        for (std::size_t next = 0; next < 4; ++next) {
            const auto isPadding = at + next > text.size();
            result += isPadding ? '=' : letters[(bits >> (18U - 6U * next)) & 63U];
        }
    }
    return result;
}

inline auto decodeBase64(const std::string &text) -> std::string
{
    const auto valueOf = [](char letter) -> int {
        constexpr std::string_view letters =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const auto at = letters.find(letter);
        return at == std::string_view::npos ? -1 : static_cast<int>(at);
    };
    std::string result;
    std::uint32_t bits = 0;
    unsigned count = 0;
    for (const auto letter : text) {
        const auto value = valueOf(letter);
        if (value < 0) {
            break;
        }
        bits = (bits << 6U) | static_cast<std::uint32_t>(value);
        count += 6;
        if (count >= 8) {
            count -= 8;
            result += static_cast<char>((bits >> count) & 255U);
        }
    }
    return result;
}

inline auto decodePercent(const std::string &text) -> std::string
{
    std::string result;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
            at += 2;
        } else {
            result += text[at];
        }
    }
    return result;
}

inline auto queryField(const std::string &target, const std::string &name) -> std::string
{
    auto at = target.find('?');
    while (at != std::string::npos) {
        const auto next = target.find('&', at + 1);
        const auto field = target.substr(at + 1, next == std::string::npos ? next : next - at - 1);
        if (field.starts_with(name + "=")) {
            return decodePercent(field.substr(name.size() + 1));
        }
        at = next;
    }
    return {};
}

/// Stand-in for the platform's metadata store.
class Store
{
public:
    /// @param port where it listens
    /// @param era value of the header Store-Era at first
    explicit Store(int port, int era = 1)
        : era(era)
        , server(port, [this](Connection &connection) { this->serve(connection); })
    {
        std::thread([this] {
            while (true) {
                sleepFor(5);
                const std::lock_guard lock(this->mutex);
                this->endExpiredLeases();
            }
        }).detach();
    }

    /// Writes an item as the operator or an instance does.
    auto put(const std::string &key, const std::string &value) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->write(key, value, 0);
    }
    auto remove(const std::string &key) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->erase(key);
    }
    [[nodiscard]] auto value(const std::string &key) -> std::optional<std::string>
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->data.items.find(key);
        return found == this->data.items.end() ? std::nullopt : std::optional(found->second.value);
    }
    /// @returns the key and value of the first item whose key has the prefix
    [[nodiscard]] auto first(const std::string &prefix) -> std::pair<std::string, std::string>
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->data.items.lower_bound(prefix);
        if (found == this->data.items.end() || !found->first.starts_with(prefix)) {
            return {};
        }
        return {found->first, found->second.value};
    }
    /// While away, the store answers 503.
    auto setAway(bool away) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->isAway = away;
    }
    auto keepCopy() -> void
    {
        const std::lock_guard lock(this->mutex);
        this->kept = this->data;
    }
    /// Comes back from the copy.
    auto restoreCopy() -> void
    {
        const std::lock_guard lock(this->mutex);
        this->data = this->kept;
        ++this->era;
        this->changed.notify_all();
    }

private:
    struct Item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };
    struct Lease
    {
        Instant endsAt;
        double seconds = 0;
    };
    struct Data
    {
        std::map<std::string, Item> items;
        std::vector<json> history;
        std::map<std::uint64_t, Lease> leases;
        std::uint64_t revision = 1;
        std::uint64_t lastLease = 100;
    };

    auto serve(Connection &connection) -> void
    {
        constexpr long idleMs = 120'000;
        while (const auto request = connection.read(idleMs)) {
            std::unique_lock lock(this->mutex);
            auto [status, body] =
                this->isAway ? std::pair{503, json::object()} : this->handle(*request, lock);
            const auto reply = answer(
                status,
                {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(this->era)}},
                body.dump());
            lock.unlock();
            if (!connection.send(messageText(reply))) {
                return;
            }
        }
    }
    auto handle(const Message &request, std::unique_lock<std::mutex> &lock) -> std::pair<int, json>
    {
        this->endExpiredLeases();
        const auto target = request.target();
        const auto path = target.substr(0, target.find('?'));
        const auto body = json::parse(request.body, nullptr, false);
        if (path == "/kv-key") {
            const auto found = this->data.items.find(queryField(target, "key"));
            if (found == this->data.items.end()) {
                return {404, json::object()};
            }
            auto item = this->itemJson(found->first, found->second);
            item["current_rev"] = this->data.revision;
            return {200, item};
        }
        if (path == "/kv-range") {
            return {200, this->range(queryField(target, "prefix"), queryField(target, "after"))};
        }
        if (path == "/kv-watch") {
            return this->watch(target, lock);
        }
        if (path == "/kv-txn") {
            return this->transact(body);
        }
        return this->handleLease(path, body);
    }
    auto range(const std::string &prefix, const std::string &after) -> json
    {
        auto items = json::array();
        for (const auto &[key, item] : this->data.items) {
            if (key.starts_with(prefix) && key > after) {
                items.push_back(this->itemJson(key, item));
            }
        }
        return json{{"items", items}, {"has_more", false}, {"current_rev", this->data.revision}};
    }
    auto watch(const std::string &target, std::unique_lock<std::mutex> &lock)
        -> std::pair<int, json>
    {
        const auto prefix = queryField(target, "prefix");
        const auto after = std::stoull(queryField(target, "after"));
        const auto endsAt = Clock::now() + milliseconds{std::stol(queryField(target, "wait_ms"))};
        const auto watchedEra = this->era;
        while (true) {
            if (after > this->data.revision || watchedEra != this->era) {
                return {410, json::object()};
            }
            auto events = json::array();
            for (const auto &event : this->data.history) {
                if (event.at("revision").get<std::uint64_t>() > after
                    && event.at("key").get<std::string>().starts_with(prefix)) {
                    events.push_back(event);
                }
            }
            if (!events.empty() || Clock::now() >= endsAt) {
                return {200, json{{"events", events}, {"current_rev", this->data.revision}}};
            }
            this->changed.wait_until(lock, endsAt);
        }
    }
    auto transact(const json &body) -> std::pair<int, json>
    {
        auto items = json::array();
        auto isMet = true;
        for (const auto &row : body.at("precondition")) {
            const auto key = row.at("key").get<std::string>();
            const auto found = this->data.items.find(key);
            const auto revision = found == this->data.items.end() ? 0 : found->second.revision;
            isMet = isMet && revision == row.at("revision").get<std::uint64_t>();
            if (found != this->data.items.end()) {
                items.push_back(this->itemJson(key, found->second));
            }
        }
        if (!isMet) {
            return {412, json{{"items", items}}};
        }
        for (const auto &write : body.at("writes")) {
            const auto lease = write.value("lease", std::uint64_t{0});
            if (lease != 0 && !this->data.leases.contains(lease)) {
                return {404, json::object()};
            }
        }
        for (const auto &write : body.at("writes")) {
            this->write(write.at("key").get<std::string>(),
                        decodeBase64(write.at("value").get<std::string>()),
                        write.value("lease", std::uint64_t{0}));
        }
        for (const auto &key : body.at("deletes")) {
            this->erase(key.get<std::string>());
        }
        return {200, json{{"revision", this->data.revision}}};
    }
    auto handleLease(const std::string &path, const json &body) -> std::pair<int, json>
    {
        if (path == "/kv-lease") {
            const auto seconds = body.at("ttl_s_time").get<double>();
            const auto id = ++this->data.lastLease;
            this->data.leases[id] = Lease{endOf(seconds), seconds};
            return {200, json{{"lease", id}, {"ttl_s_time", seconds}}};
        }
        const auto id = std::stoull(path.substr(path.rfind('/') + 1));
        const auto found = this->data.leases.find(id);
        if (found == this->data.leases.end()) {
            return {404, json::object()};
        }
        if (path.starts_with("/kv-keep/")) {
            found->second.endsAt = endOf(found->second.seconds);
            return {200, json{{"ttl_s_time", found->second.seconds}}};
        }
        this->endLease(id);
        return {200, json::object()};
    }
    static auto endOf(double seconds) -> Instant
    {
        return Clock::now() + milliseconds{static_cast<long>(seconds * 1000)};
    }
    auto endExpiredLeases() -> void
    {
        std::vector<std::uint64_t> expired;
        for (const auto &[id, lease] : this->data.leases) {
            if (lease.endsAt <= Clock::now()) {
                expired.push_back(id);
            }
        }
        for (const auto id : expired) {
            this->endLease(id);
        }
    }
    auto endLease(std::uint64_t id) -> void
    {
        this->data.leases.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : this->data.items) {
            if (item.lease == id) {
                keys.push_back(key);
            }
        }
        for (const auto &key : keys) {
            this->erase(key);
        }
    }
    auto write(const std::string &key, const std::string &value, std::uint64_t lease) -> void
    {
        auto &item = this->data.items[key];
        item.value = value;
        item.revision = ++this->data.revision;
        item.created = item.created == 0 ? item.revision : item.created;
        item.lease = lease;
        this->data.history.push_back(this->itemJson(key, item));
        this->changed.notify_all();
    }
    auto erase(const std::string &key) -> void
    {
        if (this->data.items.erase(key) > 0) {
            this->data.history.push_back(
                json{{"key", key}, {"revision", ++this->data.revision}, {"tombstone", true}});
            this->changed.notify_all();
        }
    }
    static auto itemJson(const std::string &key, const Item &item) -> json
    {
        return json{{"key", key},
                    {"value", encodeBase64(item.value)},
                    {"revision", item.revision},
                    {"created_rev", item.created},
                    {"lease", item.lease}};
    }

    std::mutex mutex;
    std::condition_variable changed;
    Data data;
    Data kept;
    int era;
    bool isAway = false;
    Server server;
};

} // namespace review
