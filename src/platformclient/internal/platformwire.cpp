#include "platformclient/platformwire.h"

#include "http/jsonfields.h"
#include "http/percentcoding.h"
#include "platformclient/internal/base64.h"

#include <array>
#include <utility>

namespace gooseberrywall::platformwire {

namespace {

using jsonfields::decoded;
using jsonfields::durationOf;
using jsonfields::enumeratorOf;
using jsonfields::json;
using jsonfields::MalformedField;
using jsonfields::numberOf;
using jsonfields::textOf;

constexpr std::array<std::string_view, 2> roleNames{"daemon", "upstream"};
constexpr std::array<std::string_view, 2> stateNames{"live", "leaving"};
constexpr std::array<std::string_view, 2> statusNames{"ok", "conflict"};

auto valueOf(const json &object) -> std::string
{
    auto value = base64Decode(object.at("value").get_ref<const std::string &>());
    if (!value.has_value()) {
        throw MalformedField("value isn't base64");
    }
    return std::move(*value);
}

auto toJson(const StoreGet &request) -> json
{
    return {{"call", "get"}, {"key", percentEncode(request.key)}};
}

auto toJson(const StoreCompareAndSwap &request) -> json
{
    return {{"call", "compare_and_swap"},
            {"key", percentEncode(request.key)},
            {"value", base64Encode(request.value)},
            {"expected", request.expected.value}};
}

auto toJson(const StoreList &request) -> json
{
    return {{"call", "list"}, {"prefix", percentEncode(request.prefix)}};
}

auto toJson(const StoreLease &request) -> json
{
    return {{"call", "lease"},
            {"name", percentEncode(request.name)},
            {"holder", percentEncode(request.holder)},
            {"time_to_live_us", request.timeToLive.count()}};
}

auto toJson(const StoreLeaseRelease &request) -> json
{
    return {{"call", "release"},
            {"name", percentEncode(request.name)},
            {"holder", percentEncode(request.holder)}};
}

auto toJson(const StoreWatch &request) -> json
{
    return {{"call", "watch"},
            {"prefix", percentEncode(request.prefix)},
            {"since", request.since},
            {"timeout_us", request.timeout.count()}};
}

auto toJson(const StoreVmList &) -> json
{
    return {{"call", "vms"}};
}

auto requestOf(const json &object) -> StoreRequest
{
    const auto call = object.at("call").get<std::string>();
    if (call == "get") {
        return StoreGet{textOf(object, "key")};
    }
    if (call == "compare_and_swap") {
        return StoreCompareAndSwap{textOf(object, "key"), valueOf(object),
                                   StoreVersion{numberOf<std::uint64_t>(object, "expected")}};
    }
    if (call == "list") {
        return StoreList{textOf(object, "prefix")};
    }
    if (call == "lease") {
        return StoreLease{textOf(object, "name"), textOf(object, "holder"),
                          durationOf(object, "time_to_live_us")};
    }
    if (call == "release") {
        return StoreLeaseRelease{textOf(object, "name"), textOf(object, "holder")};
    }
    if (call == "watch") {
        return StoreWatch{textOf(object, "prefix"), numberOf<std::uint64_t>(object, "since"),
                          durationOf(object, "timeout_us")};
    }
    if (call == "vms") {
        return StoreVmList{};
    }
    throw MalformedField("the call is of an unknown kind");
}

auto vmToJson(const VmEntry &vm) -> json
{
    return {{"id", percentEncode(vm.id)},
            {"role", roleNames.at(static_cast<std::size_t>(vm.role))},
            {"state", stateNames.at(static_cast<std::size_t>(vm.state))},
            {"service", percentEncode(vm.service.value)},
            {"domain", percentEncode(vm.domain.value)},
            {"address", percentEncode(vm.address.value)}};
}

auto vmOf(const json &object) -> VmEntry
{
    VmEntry vm;
    vm.id = textOf(object, "id");
    vm.role = enumeratorOf<VmRole>(object, "role", roleNames);
    vm.state = enumeratorOf<VmState>(object, "state", stateNames);
    vm.service = {textOf(object, "service")};
    vm.domain = {textOf(object, "domain")};
    vm.address = {textOf(object, "address")};
    return vm;
}

auto answerOf(const json &object) -> StoreAnswer
{
    StoreAnswer answer;
    // Only Ok and Conflict are sent; they are the first two enumerators.
    answer.status = enumeratorOf<StoreStatus>(object, "status", statusNames);
    answer.revision = numberOf<std::uint64_t>(object, "revision");
    answer.leaseHolder = textOf(object, "holder");
    for (const auto &item : object.at("items")) {
        answer.items.push_back({textOf(item, "key"), valueOf(item),
                                StoreVersion{numberOf<std::uint64_t>(item, "version")}});
    }
    for (const auto &vm : object.at("vms")) {
        answer.vms.push_back(vmOf(vm));
    }
    return answer;
}

} // namespace

auto encodeRequest(const StoreRequest &request) -> HttpRequest
{
    const auto body = std::visit([](const auto &call) { return toJson(call); }, request).dump();
    return {
        HttpMethod::Post, std::string(callTarget), {{"Content-Type", "application/json"}}, body};
}

auto decodeRequest(std::string_view body) -> std::optional<StoreRequest>
{
    return decoded(body, [](const json &object) { return requestOf(object); });
}

auto encodeAnswer(const StoreAnswer &answer) -> std::string
{
    auto items = json::array();
    for (const auto &item : answer.items) {
        items.push_back({{"key", percentEncode(item.key)},
                         {"value", base64Encode(item.value)},
                         {"version", item.version.value}});
    }
    auto vms = json::array();
    for (const auto &vm : answer.vms) {
        vms.push_back(vmToJson(vm));
    }
    return json{{"status", statusNames.at(static_cast<std::size_t>(answer.status))},
                {"revision", answer.revision},
                {"holder", percentEncode(answer.leaseHolder)},
                {"items", std::move(items)},
                {"vms", std::move(vms)}}
        .dump();
}

auto decodeAnswer(std::string_view body) -> std::optional<StoreAnswer>
{
    return decoded(body, [](const json &object) { return answerOf(object); });
}

auto decodeVm(std::string_view body) -> std::optional<VmEntry>
{
    return decoded(body, [](const json &object) { return vmOf(object); });
}

auto encodeVm(const VmEntry &vm) -> std::string
{
    return vmToJson(vm).dump();
}

} // namespace gooseberrywall::platformwire
