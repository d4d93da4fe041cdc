#include "http/httppool.h"

#include "http/endpoint.h"
#include "http/internal/httpconnection.h"
#include "http/timeval.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <list>
#include <optional>
#include <utility>

namespace gooseberrywall {

namespace {

using SteadyClock = std::chrono::steady_clock;

/// A request that waits for a connection.
struct WaitingRequest
{
    HttpRequest request;
    SteadyClock::time_point deadline;
    HttpPool::Done done;
};

auto remaining(SteadyClock::time_point deadline) -> Duration
{
    return std::chrono::duration_cast<Duration>(deadline - SteadyClock::now());
}

} // namespace

/// The connections to one address, and the requests that wait for a free one.
class HttpPool::AddressPool
{
public:
    AddressPool(event_base *base, Endpoint endpoint, const HttpPoolSettings &settings)
        : base(base)
        , endpoint(std::move(endpoint))
        , settings(settings)
        , timer(event_new(
              base, -1, 0,
              [](evutil_socket_t, short, void *self) {
                  static_cast<AddressPool *>(self)->expire();
              },
              this))
    {
    }
    ~AddressPool() { event_free(this->timer); }
    AddressPool(const AddressPool &) = delete;
    AddressPool(AddressPool &&) = delete;
    auto operator=(const AddressPool &) -> AddressPool & = delete;
    auto operator=(AddressPool &&) -> AddressPool & = delete;

    /// @returns whether the request was sent or queued; if not, the parameters are left unchanged
    auto send(HttpRequest &request, Duration timeout, Done &done) -> bool
    {
        this->lastUse = SteadyClock::now();
        if (auto *slot = this->freeSlot()) {
            if (this->lastUse - slot->lastUse >= this->settings.idleTimeout) {
                slot->connection->close();
            }
            slot->done = std::move(done);
            slot->connection->start(request, timeout);
            return true;
        }
        if (this->waiting.size() >= this->settings.waitingLimitPerAddress) {
            return false;
        }
        const auto deadline = this->lastUse + timeout;
        this->waiting.push_back({std::move(request), deadline, std::move(done)});
        if (!this->armedDeadline.has_value() || deadline < *this->armedDeadline) {
            this->arm(deadline);
        }
        return true;
    }

    [[nodiscard]] auto connectionCount() const -> std::size_t { return this->slots.size(); }

    [[nodiscard]] auto isIdle() const -> bool
    {
        const auto busy = std::any_of(this->slots.begin(), this->slots.end(),
                                      [](const auto &slot) { return slot->done != nullptr; });
        return !busy && this->waiting.empty()
               && SteadyClock::now() - this->lastUse >= this->settings.idleTimeout;
    }

private:
    struct Slot
    {
        std::unique_ptr<HttpConnection> connection;
        /// Callback of the open request; empty while the connection is free.
        Done done;
        SteadyClock::time_point lastUse;
    };

    auto freeSlot() -> Slot *
    {
        if (!this->freeSlots.empty()) {
            auto *const slot = this->freeSlots.back();
            this->freeSlots.pop_back();
            return slot;
        }
        if (this->slots.size() >= this->settings.connectionsPerAddress) {
            return nullptr;
        }
        auto slot = std::make_unique<Slot>();
        auto *const added = slot.get();
        slot->connection = std::make_unique<HttpConnection>(
            this->base, this->endpoint, this->settings.answerLimitBytes,
            [this, added](HttpConnection &, HttpAnswer answer) {
                this->finish(*added, std::move(answer));
            });
        this->slots.push_back(std::move(slot));
        return added;
    }

    auto finish(Slot &slot, HttpAnswer answer) -> void
    {
        const auto done = std::exchange(slot.done, nullptr);
        this->lastUse = SteadyClock::now();
        slot.lastUse = this->lastUse;
        this->reuse(slot);
        done(std::move(answer));
    }

    auto reuse(Slot &slot) -> void
    {
        if (this->waiting.empty()) {
            this->freeSlots.push_back(&slot);
            return;
        }
        auto next = std::move(this->waiting.front());
        this->waiting.pop_front();
        slot.done = std::move(next.done);
        slot.connection->start(next.request, remaining(next.deadline));
    }

    auto arm(SteadyClock::time_point deadline) -> void
    {
        this->armedDeadline = deadline;
        const auto delay = toTimeval(remaining(deadline));
        event_add(this->timer, &delay);
    }

    auto expire() -> void
    {
        this->armedDeadline = std::nullopt;
        const auto now = SteadyClock::now();
        std::list<WaitingRequest> expired;
        for (auto entry = this->waiting.begin(); entry != this->waiting.end();) {
            const auto next = std::next(entry);
            if (entry->deadline <= now) {
                expired.splice(expired.end(), this->waiting, entry);
            }
            entry = next;
        }
        const auto earliest = std::min_element(
            this->waiting.begin(), this->waiting.end(),
            [](const auto &left, const auto &right) { return left.deadline < right.deadline; });
        if (earliest != this->waiting.end()) {
            this->arm(earliest->deadline);
        }
        for (const auto &entry : expired) {
            entry.done({});
        }
    }

    event_base *base;
    Endpoint endpoint;
    const HttpPoolSettings &settings;
    event *timer;
    std::optional<SteadyClock::time_point> armedDeadline;
    SteadyClock::time_point lastUse;
    std::list<WaitingRequest> waiting;
    std::vector<std::unique_ptr<Slot>> slots;
    std::vector<Slot *> freeSlots;
};

HttpPool::HttpPool(event_base *base, HttpPoolSettings settings)
    : base(base)
    , settings(settings)
    , refusedEvent(event_new(
          base, -1, 0,
          [](evutil_socket_t, short, void *self) {
              static_cast<HttpPool *>(self)->reportRefused();
          },
          this))
    , idleTimer(event_new(
          base, -1, EV_PERSIST,
          [](evutil_socket_t, short, void *self) { static_cast<HttpPool *>(self)->closeIdle(); },
          this))
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto interval = toTimeval(this->settings.idleTimeout);
    event_add(this->idleTimer, &interval);
}

HttpPool::~HttpPool()
{
    event_free(this->refusedEvent);
    event_free(this->idleTimer);
}

auto HttpPool::send(const Address &address, HttpRequest request, Duration timeout, Done done)
    -> void
{
    auto found = this->addressPools.find(address);
    if (found == this->addressPools.end()) {
        auto endpoint = parseEndpoint(address);
        if (!endpoint.has_value()) {
            this->refuse(std::move(done));
            return;
        }
        auto addressPool =
            std::make_unique<AddressPool>(this->base, std::move(*endpoint), this->settings);
        found = this->addressPools.emplace(address, std::move(addressPool)).first;
    }
    if (!found->second->send(request, timeout, done)) {
        this->refuse(std::move(done));
    }
}

auto HttpPool::refuse(Done done) -> void
{
    this->refused.push_back(std::move(done));
    event_active(this->refusedEvent, EV_TIMEOUT, 0);
}

auto HttpPool::reportRefused() -> void
{
    const auto reported = std::exchange(this->refused, {});
    for (const auto &done : reported) {
        done({});
    }
}

auto HttpPool::closeIdle() -> void
{
    std::erase_if(this->addressPools,
                  [](const auto &addressPool) { return addressPool.second->isIdle(); });
}

auto HttpPool::connectionCount() const -> std::size_t
{
    std::size_t count = 0;
    for (const auto &[address, addressPool] : this->addressPools) {
        count += addressPool->connectionCount();
    }
    return count;
}

} // namespace gooseberrywall
