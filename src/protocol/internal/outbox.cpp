#include "protocol/outbox.h"

#include <utility>

namespace gooseberrywall {

auto Outbox::toPeer(DaemonId to, PeerMessage message) -> void
{
    this->peerSends.push_back({std::move(to), std::move(message)});
}

auto Outbox::toStore(StoreRequest request, Duration timeout) -> CallId
{
    this->lastCall = this->lastCall.next();
    this->storeSends.push_back({this->lastCall, std::move(request), timeout});
    return this->lastCall;
}

auto Outbox::toUpstream(UpstreamId upstream, Address address, UpstreamRequest request,
                        Duration timeout) -> CallId
{
    this->lastCall = this->lastCall.next();
    this->upstreamSends.push_back(
        {this->lastCall, std::move(upstream), std::move(address), std::move(request), timeout});
    return this->lastCall;
}

auto Outbox::toCaller(ExchangeId exchange, RequestEnd end) -> void
{
    this->callerSends.push_back({exchange, std::move(end)});
}

auto Outbox::log(std::string line) -> void
{
    this->logLines.push_back(std::move(line));
}

auto Outbox::clear() -> void
{
    this->peerSends.clear();
    this->storeSends.clear();
    this->upstreamSends.clear();
    this->callerSends.clear();
    this->logLines.clear();
}

} // namespace gooseberrywall
