#pragma once

#include "common/types/fence.h"
#include "common/types/ids.h"
#include "common/types/instant.h"
#include "common/types/shardid.h"
#include "peerlink/schema/peer.capnp.h"
#include "protocol/types/request.h"

#include <kj/debug.h>
#include <optional>
#include <string>
#include <string_view>

/// Conversions of values that occur in several messages.
namespace gooseberrywall::wirevalues {

inline auto toText(const std::string &text) -> capnp::Text::Reader
{
    return {text.c_str(), text.size()};
}

inline auto toData(const std::string &bytes) -> capnp::Data::Reader
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

inline auto fromText(capnp::Text::Reader text) -> std::string
{
    return {text.begin(), text.size()};
}

inline auto fromData(capnp::Data::Reader bytes) -> std::string
{
    return {reinterpret_cast<const char *>(bytes.begin()), bytes.size()};
}

/// Maximum number of elements of a list in a message. A list of empty structs takes no bytes on the
/// wire, so that without a limit a few bytes could expand to hundreds of megabytes.
inline constexpr unsigned maximalListLength = 65'536;

/// @returns the list unchanged
/// @throws kj::Exception if it has more than maximalListLength elements
template<typename List>
auto withCheckedLength(List list) -> List
{
    KJ_REQUIRE(list.size() <= maximalListLength, "a list in a message has too many elements");
    return list;
}

inline auto writeShard(const ShardId &shard, wire::Shard::Builder builder) -> void
{
    builder.setService(toText(shard.service.value));
    builder.setNumber(shard.number);
}

inline auto readShard(wire::Shard::Reader reader) -> ShardId
{
    return {ServiceName{fromText(reader.getService())}, reader.getNumber()};
}

inline auto writeFence(const Fence &fence, wire::Fence::Builder builder) -> void
{
    builder.setTerm(fence.term);
    builder.setSequence(fence.sequence);
}

inline auto readFence(wire::Fence::Reader reader) -> Fence
{
    return {reader.getTerm(), reader.getSequence()};
}

/// @returns the enumerator; std::nullopt if the number is greater than that of `last`
template<typename Enum>
auto readEnum(std::uint8_t number, Enum last) -> std::optional<Enum>
{
    if (number > static_cast<std::uint8_t>(last)) {
        return std::nullopt;
    }
    return static_cast<Enum>(number);
}

inline auto writeEnd(const RequestEnd &end, wire::RequestEnd::Builder builder) -> void
{
    builder.setKind(static_cast<std::uint8_t>(end.kind));
    builder.setReason(static_cast<std::uint8_t>(end.reason));
    builder.setRetryAfter(end.retryAfter.count());
    builder.setStatus(end.status);
    builder.setBody(toData(end.body));
}

inline auto readEnd(wire::RequestEnd::Reader reader) -> std::optional<RequestEnd>
{
    const auto kind = readEnum(reader.getKind(), EndKind::Unknown);
    const auto reason = readEnum(reader.getReason(), static_cast<Reason>(reasonCount - 1));
    if (!kind || !reason) {
        return std::nullopt;
    }
    return RequestEnd{*kind, *reason, Duration{reader.getRetryAfter()}, reader.getStatus(),
                      fromData(reader.getBody())};
}

} // namespace gooseberrywall::wirevalues
