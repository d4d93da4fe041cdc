#pragma once

#include "edge/wireadapter.h"

#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// Keeps the state of an upstream as the entry's value.
struct TextWire
{
    static auto service() -> ServiceName { return ServiceName{"service"}; }
    static auto storeCall(const StoreCall &) -> WireCall { return {}; }
    static auto storeAnswer(const StoreCall &, const WholeMessage &) -> StoreAnswer { return {}; }
    static auto configurationKey() -> std::string { return "configuration"; }
    static auto operatorPrefix() -> std::string { return "operators/"; }
    static auto isEvacuationKey(const std::string &) -> bool { return false; }
    static auto evacuatedDomain(const StoreItem &) -> std::optional<FailureDomain> { return {}; }
    static auto configuration(const std::string &) -> std::optional<RouteConfiguration>
    {
        return {};
    }
    static auto upstreamPrefix() -> std::string { return "upstreams/"; }
    static auto upstreamEntry(const StoreItem &item) -> std::optional<UpstreamEntry>
    {
        UpstreamEntry entry;
        entry.id = UpstreamId{item.key.substr(upstreamPrefix().size())};
        entry.service = service();
        entry.address = Address{entry.id.value + ":80"};
        entry.slots = 3;
        entry.isDraining = item.value == "draining";
        return entry;
    }
    static auto order(const RangeOrder &) -> WireCall { return {}; }
    static auto orderEnd(const RangeOrder &, const WholeMessage &) -> RangeOrderEnd { return {}; }
    static auto orderStatement(const MessageHead &) -> OrderStatement { return {}; }
    static auto doReleasesRaiseFences() -> bool { return true; }
    static auto callerFields(const MessageHead &) -> CallerFields { return {}; }
    static auto attemptHeaders(const UpstreamId &, Duration) -> std::vector<HttpHeader>
    {
        return {};
    }
    static auto targetHeaders(const UpstreamId &) -> std::vector<HttpHeader> { return {}; }
    static auto answerFields(const MessageHead &, bool) -> AnswerFields { return {}; }
    static auto echoHeader() -> std::string { return {}; }
    static auto refusalHeaders(const RequestId &, std::optional<Duration>)
        -> std::vector<HttpHeader>
    {
        return {};
    }
};

} // namespace gooseberrywall
