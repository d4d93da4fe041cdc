#include "streams/outboundpool.h"

#include "streams/internal/outboundconnection.h"

#include <algorithm>
#include <event2/event.h>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr Duration sweepInterval = std::chrono::seconds{2};
/// Share of the memory budget that large answers may take together while they arrive.
constexpr double arrivingShare = 0.5;

} // namespace

OutboundPool::OutboundPool(event_base *base, OutboundPoolSettings settings,
                           std::function<Instant()> now, MemoryAccount *memory)
    : base(base)
    , settings(std::move(settings))
    , now(std::move(now))
    , memory(memory)
    , cleanupEvent(evtimer_new(
          base,
          [](evutil_socket_t, short, void *self) {
              static_cast<OutboundPool *>(self)->discarded.clear();
          },
          this))
{
}

OutboundPool::~OutboundPool() = default;

auto OutboundPool::send(OutboundRequest request, Done done) -> OutboundId
{
    this->discardStale();
    const auto id = this->nextId++;
    auto *connection = request.needsNewConnection ? nullptr : this->takeIdle(request.address);
    if (connection == nullptr) {
        const auto endpoint = parseEndpoint(request.address).value_or(Endpoint{});
        auto created = std::make_unique<Connection>(*this, request.address, endpoint);
        connection = created.get();
        this->connections.emplace(connection, std::move(created));
        ++this->openedConnections;
    }
    this->busy[id] = connection;
    connection->start(id, std::move(request), std::move(done));
    return OutboundId{id};
}

auto OutboundPool::abort(OutboundId id) -> void
{
    const auto found = this->busy.find(id.value);
    if (found == this->busy.end()) {
        return;
    }
    auto *connection = found->second;
    this->busy.erase(found);
    connection->detach();
    this->discard(connection);
}

auto OutboundPool::lastArrivalAt(OutboundId id) const -> std::optional<Instant>
{
    const auto found = this->busy.find(id.value);
    return found == this->busy.end() ? std::nullopt : found->second->lastArrivalAt();
}

auto OutboundPool::isArriving(Duration time) const -> bool
{
    const auto since = this->now() - time;
    return std::any_of(this->busy.begin(), this->busy.end(), [since](const auto &entry) {
        const auto lastAt = entry.second->lastArrivalAt();
        return lastAt && *lastAt >= since;
    });
}

auto OutboundPool::arrivingLimit() const -> std::size_t
{
    const auto share = arrivingShare * static_cast<double>(this->memory->budget().totalBytes);
    // A single answer of the largest size is always taken in.
    return std::max(static_cast<std::size_t>(share),
                    this->settings.limits.bodyBytes + this->settings.limits.headBytes);
}

auto OutboundPool::boundArriving() -> void
{
    while (this->memory != nullptr && this->arrivingBytes > this->arrivingLimit()) {
        const auto rankOf = [](const auto &entry) {
            const auto *connection = entry.second;
            return std::pair(connection->arrivingBytes() > 0 && !connection->isLengthAnnounced(),
                             connection->arrivingBytes());
        };
        const auto first = std::max_element(
            this->busy.begin(), this->busy.end(),
            [&](const auto &left, const auto &right) { return rankOf(left) < rankOf(right); });
        ++this->givenUpAnswers;
        first->second->giveUpAnswer();
    }
}

auto OutboundPool::takeIdle(const Address &address) -> Connection *
{
    const auto found = this->idle.find(address);
    if (found == this->idle.end()) {
        return nullptr;
    }
    const auto moment = this->now();
    auto &list = found->second;
    while (!list.empty()) {
        auto *connection = list.back();
        list.pop_back();
        if (moment - connection->idleSince < connection->idleTimeout) {
            return connection;
        }
        this->discard(connection);
    }
    return nullptr;
}

auto OutboundPool::discard(Connection *connection) -> void
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end()) {
        return;
    }
    if (const auto list = this->idle.find(connection->address); list != this->idle.end()) {
        std::erase(list->second, connection);
    }
    // Destroyed from the event loop, since this may be called from the connection's own event.
    this->discarded.push_back(std::move(found->second));
    this->connections.erase(found);
    event_active(this->cleanupEvent.get(), EV_TIMEOUT, 0);
}

auto OutboundPool::keep(Connection *connection) -> void
{
    connection->idleSince = this->now();
    auto &list = this->idle[connection->address];
    list.push_back(connection);
    if (list.size() > this->settings.idlePerAddress) {
        this->discard(list.front());
    }
}

auto OutboundPool::discardStale() -> void
{
    const auto moment = this->now();
    if (moment - this->sweptAt < sweepInterval) {
        return;
    }
    this->sweptAt = moment;
    std::vector<Connection *> stale;
    for (const auto &[address, list] : this->idle) {
        for (auto *connection : list) {
            if (moment - connection->idleSince >= connection->idleTimeout) {
                stale.push_back(connection);
            }
        }
    }
    for (auto *connection : stale) {
        this->discard(connection);
    }
}

} // namespace gooseberrywall
