#include "streams/frontlistener.h"

#include "memory/shedorder.h"
#include "streams/internal/frontconnection.h"

#include <event2/event.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace gooseberrywall {

FrontListener::FrontListener(event_base *base, FrontSettings settings, std::function<Instant()> now,
                             OnRequest onRequest, OnDisconnect onDisconnect, MemoryAccount *memory,
                             AnswerUnread answerUnread)
    : base(base)
    , settings(std::move(settings))
    , now(std::move(now))
    , onRequest(std::move(onRequest))
    , onDisconnect(std::move(onDisconnect))
    , memory(memory)
    , answerUnread(std::move(answerUnread))
    , cleanupEvent(evtimer_new(
          base,
          [](evutil_socket_t, short, void *self) {
              static_cast<FrontListener *>(self)->discarded.clear();
          },
          this))
{
}

FrontListener::~FrontListener() = default;

auto FrontListener::start() -> void
{
    this->listener = std::make_unique<SocketListener>(
        this->base, this->settings.listen, [this](int descriptor) { this->accept(descriptor); });
}

auto FrontListener::setLimits(MessageLimits limits, Duration headerTimeout, Duration idleTimeout)
    -> void
{
    this->settings.limits = limits;
    this->settings.headerTimeout = headerTimeout;
    this->settings.idleTimeout = idleTimeout;
}

auto FrontListener::setIdleTimeout(ExchangeId exchange, Duration idleTimeout) -> void
{
    const auto found = this->exchanges.find(exchange);
    if (found != this->exchanges.end()) {
        found->second->setIdleTimeout(idleTimeout);
    }
}

auto FrontListener::reply(ExchangeId exchange, const MessageHead &head, std::string_view body)
    -> void
{
    this->reply(exchange, WholeMessage{head, std::string(body)});
}

auto FrontListener::reply(ExchangeId exchange, WholeMessage answer) -> void
{
    const auto found = this->exchanges.find(exchange);
    if (found != this->exchanges.end()) {
        found->second->reply(exchange, std::move(answer));
    }
}

auto FrontListener::hasRoomFor(std::size_t bytes, const Connection *receiver) -> bool
{
    if (this->memory == nullptr || this->memory->hasRoomFor(bytes)) {
        return true;
    }
    if (!this->memory->canEverHold(bytes)) {
        return false;
    }
    const auto moment = this->now();
    if (!this->memory->isOver() && moment < this->shedDue) {
        return false;
    }
    while (!this->memory->hasRoomFor(bytes)) {
        if (!this->shedOne(ShedOrder::Urgency::RoomWanted, receiver)) {
            this->shedDue = moment + shedInterval;
            return false;
        }
    }
    return true;
}

auto FrontListener::shedExcess() -> void
{
    while (this->memory != nullptr && this->memory->isOver()
           && this->shedOne(ShedOrder::Urgency::OverBudget, nullptr)) {
    }
}

auto FrontListener::shedOne(ShedOrder::Urgency urgency, const Connection *kept) -> bool
{
    std::vector<Connection *> candidates;
    std::vector<ConnectionLoad> loads;
    for (const auto &[connection, owner] : this->connections) {
        if (const auto load = connection->load(); load && connection != kept) {
            candidates.push_back(connection);
            loads.push_back(*load);
        }
    }
    const auto chosen = ShedOrder(ShedOrderSettings{}).next(loads, urgency, this->now());
    if (!chosen) {
        return false;
    }
    ++this->counts.shedConnections;
    candidates[*chosen]->shed();
    return true;
}

auto FrontListener::closeIdle() -> void
{
    for (const auto &[connection, owner] : this->connections) {
        connection->closeIfIdle();
    }
}

auto FrontListener::refuseIncomplete(const MessageHead &head) -> void
{
    for (const auto &[connection, owner] : this->connections) {
        connection->refuseIfIncomplete(head);
    }
}

auto FrontListener::unsentBytes() const -> std::size_t
{
    std::size_t bytes = 0;
    for (const auto &[connection, owner] : this->connections) {
        bytes += connection->unsentBytes();
    }
    return bytes;
}

auto FrontListener::sweep() -> void
{
    const auto moment = this->now();
    std::vector<Connection *> all;
    all.reserve(this->connections.size());
    for (const auto &[connection, owner] : this->connections) {
        all.push_back(connection);
    }
    for (auto *connection : all) {
        connection->sweep(moment);
    }
}

auto FrontListener::accept(int descriptor) -> void
{
    if (this->connections.size() >= this->settings.connectionLimit) {
        ++this->counts.connectionsRefused;
        close(descriptor);
        return;
    }
    ++this->counts.connections;
    auto connection = std::make_unique<Connection>(*this, descriptor);
    auto *raw = connection.get();
    this->connections.emplace(raw, std::move(connection));
}

auto FrontListener::discard(Connection *connection) -> void
{
    const auto found = this->connections.find(connection);
    if (found == this->connections.end()) {
        return;
    }
    this->discarded.push_back(std::move(found->second));
    this->connections.erase(found);
    event_active(this->cleanupEvent.get(), EV_TIMEOUT, 0);
}

} // namespace gooseberrywall
