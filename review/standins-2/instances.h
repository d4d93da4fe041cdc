#pragma once

#include "cell.h"

#include <algorithm>
#include <map>

namespace review {

/// Stand-in for an instance of a service without keys. It answers each request whose
/// Target-Instance it is, after the work of that request.
class PlainInstance
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        /// Receive buffer of its connections; zero: that of the system.
        int receiveBytes = 0;
    };
    /// Does the work of a request, and returns the body of the answer. It may read the rest of the
    /// request from the connection; nothing: the connection ends without an answer.
    using Work = std::function<std::optional<std::string>(Connection &, Message &)>;

    PlainInstance(Settings settings, Record &record, Work work)
        : settings(std::move(settings))
        , record(record)
        , work(std::move(work))
        , server(
              freePort(), [this](Connection &connection) { this->serve(connection); },
              this->settings.receiveBytes)
    {
    }

    auto registerAt(Store &store) const -> void
    {
        store.put("servers/" + this->settings.id,
                  entryText(this->settings.service, this->server.address(), this->born));
    }
    /// Refuses new connections; open ones live on.
    auto refuseNew() -> void { this->server.refuse(); }
    auto acceptNew() -> void { this->server.listen(); }

private:
    auto serve(Connection &connection) -> void
    {
        constexpr long idleMs = 10'000;
        while (auto request = connection.readHead(idleMs)) {
            if (request->target() == "/healthz") {
                connection.send(messageText(answer(200, {{"Instance-Id", this->settings.id}})));
                continue;
            }
            if (request->value("Target-Instance", this->settings.id) != this->settings.id) {
                connection.readBody(*request, idleMs);
                connection.send(messageText(answer(421, {{"Not-Executed", "1"}})));
                continue;
            }
            const auto id = request->value("Request-Id");
            this->record.write("instance " + this->settings.id + " began " + id);
            const auto body = this->work(connection, *request);
            if (!body) {
                this->record.write("instance " + this->settings.id + " lost the connection of " + id
                                   + " while it read the body: " + connection.cause());
                return;
            }
            this->record.write("instance " + this->settings.id + " ended " + id);
            const auto reply = answer(
                200,
                {{"Request-Id", id}, {"Server-Signature", "sig." + this->settings.id + "." + id}},
                *body);
            if (!connection.send(messageText(reply))) {
                return;
            }
        }
    }

    Settings settings;
    Record &record;
    Work work;
    std::int64_t born = unixMilliseconds();
    Server server;
};

/// An order about keys, as an instance gets it.
struct KeyOrder
{
    bool isGrant = false;
    int first = 0;
    int last = 0;
    std::uint64_t fence = 0;
    double holdSeconds = 0;
    std::string handover;
};

/// Stand-in for an instance of a service that is divided by key. It runs a request only while it
/// holds the request's key, refuses grants with a fence below one that it has seen on one of the
/// keys, and answers a release when the work on its keys has ended.
class KeyedInstance
{
public:
    struct Settings
    {
        std::string id;
        std::string service;
        long workMs = 20;
    };

    KeyedInstance(Settings settings, Record &record)
        : settings(std::move(settings))
        , record(record)
        , holdEnds(keyCount)
        , seenFences(keyCount, 0)
        , atWork(keyCount, 0)
        , server(freePort(), [this](Connection &connection) { this->serve(connection); })
    {
    }

    auto registerAt(Store &store, const std::string &phase = "ready") -> void
    {
        store.put("servers/" + this->settings.id,
                  entryText(this->settings.service, this->server.address(), this->born, phase));
    }
    /// @param text value of Handover in the answers to releases
    auto setHandover(std::string text) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->handover = std::move(text);
    }
    /// @returns how many keys it holds
    [[nodiscard]] auto heldKeys() -> int
    {
        const std::lock_guard lock(this->mutex);
        const auto now = Clock::now();
        return static_cast<int>(std::count_if(this->holdEnds.begin(), this->holdEnds.end(),
                                              [now](Instant end) { return end > now; }));
    }
    [[nodiscard]] auto holds(int key) -> bool
    {
        const std::lock_guard lock(this->mutex);
        return this->holdEnds[static_cast<std::size_t>(key)] > Clock::now();
    }
    [[nodiscard]] auto id() const -> const std::string & { return this->settings.id; }

private:
    static constexpr std::size_t keyCount = 65536;

    auto serve(Connection &connection) -> void
    {
        constexpr long idleMs = 10'000;
        while (const auto request = connection.read(idleMs)) {
            const auto target = request->target();
            Message reply;
            if (request->value("Target-Instance", this->settings.id) != this->settings.id) {
                reply = answer(421, {{"Not-Executed", "1"}});
            } else if (target == "/grant" || target == "/release") {
                reply = this->obey(*request);
            } else {
                reply = this->run(*request);
            }
            if (!connection.send(messageText(reply))) {
                return;
            }
        }
    }
    auto obey(const Message &request) -> Message
    {
        const auto body = json::parse(request.body);
        KeyOrder order;
        order.isGrant = request.target() == "/grant";
        order.first = body.at("from").get<int>();
        order.last = body.at("target").get<int>();
        order.fence = body.at("fence").get<std::uint64_t>();
        order.holdSeconds = body.value("hold_s", 0.0);
        order.handover = body.value("handover", "");
        return order.isGrant ? this->grant(order) : this->release(order);
    }
    auto grant(const KeyOrder &order) -> Message
    {
        const std::lock_guard lock(this->mutex);
        const auto first = static_cast<std::size_t>(order.first);
        const auto last = static_cast<std::size_t>(order.last);
        for (auto key = first; key <= last; ++key) {
            if (this->seenFences[key] > order.fence) {
                return answer(409);
            }
        }
        const auto end = Clock::now() + milliseconds{static_cast<long>(order.holdSeconds * 1000)};
        const auto isNew = this->holdEnds[first] <= Clock::now();
        for (auto key = first; key <= last; ++key) {
            this->seenFences[key] = order.fence;
            this->holdEnds[key] = end;
        }
        if (isNew) {
            this->record.write("instance " + this->settings.id + " takes keys "
                               + std::to_string(order.first) + " to " + std::to_string(order.last)
                               + ", fence " + std::to_string(order.fence));
        }
        return answer(200);
    }
    auto release(const KeyOrder &order) -> Message
    {
        std::unique_lock lock(this->mutex);
        const auto first = static_cast<std::size_t>(order.first);
        const auto last = static_cast<std::size_t>(order.last);
        for (auto key = first; key <= last; ++key) {
            this->seenFences[key] = std::max(this->seenFences[key], order.fence);
            this->holdEnds[key] = Instant{};
        }
        this->workEnded.wait(lock, [&] {
            return std::all_of(this->atWork.begin() + order.first,
                               this->atWork.begin() + order.last + 1,
                               [](int count) { return count == 0; });
        });
        this->record.write("instance " + this->settings.id + " has released keys "
                           + std::to_string(order.first) + " to " + std::to_string(order.last)
                           + ", fence " + std::to_string(order.fence));
        return answer(200, {{"Handover", this->handover}});
    }
    auto run(const Message &request) -> Message
    {
        const auto id = request.value("Request-Id");
        const auto key = static_cast<std::size_t>(request.number("Shard-Key", 0));
        {
            const std::lock_guard lock(this->mutex);
            if (this->holdEnds[key] <= Clock::now()) {
                return answer(421, {{"Request-Id", id}, {"Not-Executed", "1"}});
            }
            ++this->atWork[key];
        }
        this->record.write("instance " + this->settings.id + " began " + id + ", key "
                           + std::to_string(key));
        sleepFor(this->settings.workMs);
        const std::lock_guard lock(this->mutex);
        --this->atWork[key];
        this->workEnded.notify_all();
        return answer(
            200, {{"Request-Id", id}, {"Server-Signature", "sig." + this->settings.id + "." + id}},
            "done");
    }

    Settings settings;
    Record &record;
    std::mutex mutex;
    std::condition_variable workEnded;
    std::vector<Instant> holdEnds;
    std::vector<std::uint64_t> seenFences;
    std::vector<int> atWork;
    std::string handover = "5c0e7a21d94b36f8";
    std::int64_t born = unixMilliseconds();
    Server server;
};

} // namespace review
