#include "requests/requestrouter.h"

#include "requests/internal/routercore.h"

#include <utility>
#include <variant>

namespace gooseberrywall {

RequestRouter::RequestRouter(DaemonIdentity self, RouterSettings settings, Counters &counters,
                             EventRing &events, std::uint64_t randomSeed)
    : core(std::make_unique<RouterCore>(std::move(self), settings, counters, events, randomSeed))
{
}

RequestRouter::~RequestRouter() = default;

auto RequestRouter::onRequest(Instant now, ExchangeId exchange, Request request, Outbox &out)
    -> void
{
    this->core->open(now, exchange, ExchangePurpose::Run, std::move(request), out);
}

auto RequestRouter::onCallerGone(Instant now, ExchangeId exchange, Outbox &out) -> void
{
    this->core->close(now, exchange, out);
}

auto RequestRouter::onOutcomeQuery(Instant now, ExchangeId exchange, RequestId id,
                                   ServiceName service, Key key, CallerId caller, Outbox &out)
    -> void
{
    Request request;
    request.id = std::move(id);
    request.service = std::move(service);
    request.key = std::move(key);
    request.caller = std::move(caller);
    this->core->open(now, exchange, ExchangePurpose::Query, std::move(request), out);
}

auto RequestRouter::onTable(Instant now, TablePointer table, Outbox &out) -> void
{
    this->core->onTable(now, std::move(table), out);
}

auto RequestRouter::onPolicies(const std::vector<ServicePolicy> &policies) -> void
{
    this->core->onPolicies(policies);
}

auto RequestRouter::onMembership(Instant now, const MembershipView &view, Outbox &out) -> void
{
    this->core->onMembership(now, view, out);
}

auto RequestRouter::onMessage(Instant now, const DaemonId &from, const PeerMessage &message,
                              Outbox &out) -> bool
{
    const auto *end = std::get_if<ForwardEnd>(&message);
    if (end == nullptr) {
        return false;
    }
    this->core->onForwardEnd(now, from, *end, out);
    return true;
}

auto RequestRouter::tick(Instant now, Outbox &out) -> void
{
    this->core->tick(now, out);
}

auto RequestRouter::beginShutdown(Instant lastEnd) -> void
{
    this->core->beginShutdown(lastEnd);
}

auto RequestRouter::isIdle() const -> bool
{
    return this->core->isIdle();
}

} // namespace gooseberrywall
