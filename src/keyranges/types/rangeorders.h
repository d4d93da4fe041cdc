#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "dispatch/types/permits.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywall {

/// A call to an upstream about the keys that it owns.
struct RangeOrder
{
    enum class Kind : std::uint8_t { Grant, Release };

    Kind kind = Kind::Grant;
    CallId call;
    UpstreamId upstream;
    Address address;
    KeySpan range;
    /// Above that of every earlier owner of these keys.
    std::uint64_t fence = 0;
    /// Grants only: counted by the upstream from the order's arrival.
    Duration holdTime{0};
    /// Grants only: what the last owner returned with its release; keeps the keys warm.
    std::string handover;
    auto operator==(const RangeOrder &) const -> bool = default;
};

/// How a RangeOrder ended.
struct RangeOrderEnd
{
    enum class Kind : std::uint8_t {
        Accepted,
        /// The upstream has seen a higher fence.
        FenceTooLow,
        /// Another upstream has the address.
        OtherUpstream,
        /// The upstream doesn't take the order as it stands.
        Rejected,
        /// Surely not sent.
        NotSent,
        /// Sent; may have arrived, and may be carried out later.
        NoAnswer,
    };

    CallId call;
    Kind kind = Kind::NoAnswer;
    std::string handover;
    auto operator==(const RangeOrderEnd &) const -> bool = default;
};

/// An upstream that holds keys, or may hold them.
struct RangeHolder
{
    UpstreamId id;
    Incarnation incarnation;
    Address address;
    auto operator==(const RangeHolder &) const -> bool = default;
};

/// What the store keeps of one span: everyone who may hold it.
struct RangeRow
{
    KeySpan range;
    RangeHolder owner;
    /// Earlier owners that may still hold the span; empty once they have released it.
    std::vector<RangeHolder> earlierOwners;
    auto operator==(const RangeRow &) const -> bool = default;
};

/// Owners of all keys of a service, as the store keeps them.
struct RangeRecord
{
    std::vector<RangeRow> rows;
    auto operator==(const RangeRecord &) const -> bool = default;
};

/// A span that is to have another owner.
struct RangeMove
{
    KeySpan range;
    UpstreamId target;
    auto operator==(const RangeMove &) const -> bool = default;
};

} // namespace gooseberrywall
