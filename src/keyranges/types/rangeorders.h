#pragma once

#include "common/types/ids.h"
#include "common/types/instant.h"
#include "dispatch/types/permits.h"

#include <cstdint>
#include <string>
#include <vector>

namespace gooseberrywall {

/// An order to an upstream: to hold a range of keys for a time, or to release it.
struct RangeOrder
{
    enum class Kind : std::uint8_t { Grant, Release };

    Kind kind = Kind::Grant;
    CallId call;
    UpstreamId upstream;
    Address address;
    KeyRange range;
    /// Fencing token, above that of each earlier owner of these keys.
    std::uint64_t fence = 0;
    /// Grants only: how long the upstream may hold the keys, counted from the order's arrival.
    Duration holdTime{0};
    /// Grants only: what the previous owner returned with its release, so that the keys stay warm.
    std::string handover;
    /// Grants only: prolongs one that the upstream has accepted, with the same fence.
    bool isRenewal = false;
    auto operator==(const RangeOrder &) const -> bool = default;
};

/// How a RangeOrder ended.
struct RangeOrderEnd
{
    enum class Kind : std::uint8_t {
        Accepted,
        /// The upstream has seen a higher fencing token.
        FenceTooLow,
        /// The address belongs to another upstream now.
        OtherUpstream,
        /// The upstream refused the order for another reason; it has no effect.
        Rejected,
        /// The order was never sent.
        NotSent,
        /// Sent without an answer: the upstream may have carried it out, or may still do so.
        NoAnswer,
    };

    CallId call;
    Kind kind = Kind::NoAnswer;
    /// Accepted releases only: what the upstream returned for the next owner.
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

/// One range of the stored record, with every upstream that may hold it.
struct RangeRow
{
    KeyRange range;
    /// The owner, or the one that it is moving to.
    RangeHolder owner;
    /// Earlier owners that may still hold the range; empty once they have released it.
    std::vector<RangeHolder> earlierOwners;
    /// The store has lost later changes: any upstream may hold the range until earlier grants have
    /// run out, and `owner` is only likely to; it is empty where none is known.
    bool isOutdated = false;
    auto operator==(const RangeRow &) const -> bool = default;
};

/// Owners of the keys of a service, as the store keeps them; ranges without an owner are left out.
struct RangeRecord
{
    std::vector<RangeRow> rows;
    auto operator==(const RangeRecord &) const -> bool = default;
};

/// A range that is to move to another owner.
struct RangeMove
{
    KeyRange range;
    UpstreamId target;
    auto operator==(const RangeMove &) const -> bool = default;
};

} // namespace gooseberrywall
