#pragma once

#include "dispatch/types/upstreamentry.h"
#include "edge/types/wiretypes.h"
#include "http1/types/messagehead.h"
#include "keyranges/types/rangeorders.h"
#include "routing/types/routeconfiguration.h"
#include "storelink/types/storecalls.h"

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// Translates between the daemon's types and the protocols of a platform's store, upstreams and
/// callers. Stateless.
template<typename Adapter>
concept WireAdapter = requires(const Adapter &wire, const StoreCall &call,
                               const WholeMessage &message, const MessageHead &head,
                               const RangeOrder &order, const StoreItem &item,
                               const UpstreamId &upstream, const RequestId &request,
                               Duration duration)
{
    {
        wire.storeCall(call)
        } -> std::same_as<WireCall>;
    {
        wire.storeAnswer(call, message)
        } -> std::same_as<StoreAnswer>;
    {
        wire.configurationKey()
        } -> std::same_as<std::string>;
    {
        wire.configuration(item.value)
        } -> std::same_as<std::optional<RouteConfiguration>>;
    {
        // Of all keys that the operators write.
        wire.operatorPrefix()
        } -> std::same_as<std::string>;
    {
        wire.isEvacuationKey(item.key)
        } -> std::same_as<bool>;
    {
        // The failure domain that an evacuation key evacuates; nothing if it can't be read.
        wire.evacuatedDomain(item)
        } -> std::same_as<std::optional<FailureDomain>>;
    {
        wire.upstreamPrefix()
        } -> std::same_as<std::string>;
    {
        wire.upstreamEntry(item)
        } -> std::same_as<std::optional<UpstreamEntry>>;
    {
        wire.order(order)
        } -> std::same_as<WireCall>;
    {
        wire.orderEnd(order, message)
        } -> std::same_as<RangeOrderEnd>;
    {
        wire.orderStatement(head)
        } -> std::same_as<OrderStatement>;
    {
        // An upstream that has answered a release refuses grants with lower fences from then on.
        wire.doReleasesRaiseFences()
        } -> std::same_as<bool>;
    {
        wire.callerFields(head)
        } -> std::same_as<CallerFields>;
    {
        wire.attemptHeaders(upstream, duration)
        } -> std::same_as<std::vector<HttpHeader>>;
    {
        wire.targetHeaders(upstream)
        } -> std::same_as<std::vector<HttpHeader>>;
    {
        wire.answerFields(head, true)
        } -> std::same_as<AnswerFields>;
    {
        wire.echoHeader()
        } -> std::same_as<std::string>;
    {
        wire.refusalHeaders(request, std::optional<Duration>{})
        } -> std::same_as<std::vector<HttpHeader>>;
};

} // namespace gooseberrywall
