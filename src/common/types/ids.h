#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace gooseberrywall {

/// A name that can't be confused with a name of another kind.
/// @tparam Tag names the kind; never instantiated.
template<typename Tag>
struct Name
{
    std::string value;

    auto operator<=>(const Name &) const = default;
    [[nodiscard]] auto empty() const -> bool { return this->value.empty(); }
};

/// A number that can't be confused with a number of another kind. Zero means "none".
/// @tparam Tag names the kind; never instantiated.
template<typename Tag>
struct Number
{
    std::uint64_t value = 0;

    auto operator<=>(const Number &) const = default;
    [[nodiscard]] auto next() const -> Number { return Number{this->value + 1}; }
};

using DaemonId = Name<struct DaemonIdTag>;
using UpstreamId = Name<struct UpstreamIdTag>;
using ServiceName = Name<struct ServiceNameTag>;
using CallerId = Name<struct CallerIdTag>;
using FailureDomain = Name<struct FailureDomainTag>;
/// A caller's own id of a request, the same on each resend.
using RequestId = Name<struct RequestIdTag>;
/// The key of a request, as the caller wrote it.
using Key = Name<struct KeyTag>;
/// Unique per write; a writer recognises its own write by it after an ambiguous store answer.
using OperationId = Name<struct OperationIdTag>;
/// A network address, "ip:port".
using Address = Name<struct AddressTag>;

/// Distinguishes successive lives of a process that keeps its id.
using Incarnation = Number<struct IncarnationTag>;
/// Counts the grantors of one upstream; each takeover increments it.
using Term = Number<struct TermTag>;
/// Identifies one attempt to run a request at an upstream or to forward it to a grantor.
using AttemptId = Number<struct AttemptIdTag>;
/// Matches an answer of the store or an upstream to the call that asked for it.
using CallId = Number<struct CallIdTag>;
/// Identifies a caller's open HTTP exchange inside one daemon.
using ExchangeId = Number<struct ExchangeIdTag>;
/// Counts the writes of a cell's record; a table with a higher version replaces one with a lower.
using RecordVersion = Number<struct RecordVersionTag>;
/// The store's version of one of its keys; zero if the key doesn't exist.
using StoreVersion = Number<struct StoreVersionTag>;

} // namespace gooseberrywall

template<typename Tag>
struct std::hash<gooseberrywall::Name<Tag>>
{
    auto operator()(const gooseberrywall::Name<Tag> &name) const noexcept -> std::size_t
    {
        return std::hash<std::string>{}(name.value);
    }
};

template<typename Tag>
struct std::hash<gooseberrywall::Number<Tag>>
{
    auto operator()(const gooseberrywall::Number<Tag> &number) const noexcept -> std::size_t
    {
        return std::hash<std::uint64_t>{}(number.value);
    }
};
