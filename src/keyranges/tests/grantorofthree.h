#pragma once

#include "keyranges/rangegrantor.h"

#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

inline constexpr KeyRange allKeys{0, 65535};

inline auto holderOf(const UpstreamEntry &entry) -> RangeHolder
{
    return RangeHolder{entry.id, entry.incarnation, entry.address};
}

/// A grantor of upstreams "a", "b" and "c", where releases raise fences.
struct GrantorOfThree
{
    RangeGrantorSettings settings;
    Instant now{std::chrono::seconds{100}};
    std::vector<UpstreamEntry> entries;
    RangeGrantor grantor{this->settings, 2};

    GrantorOfThree()
        : settings(raisingFences())
    {
        for (const auto *id : {"a", "b", "c"}) {
            UpstreamEntry entry;
            entry.id = UpstreamId{id};
            entry.address = Address{"10.0.0.1:80" + std::string{id}};
            entry.incarnation = Incarnation{200};
            this->entries.push_back(entry);
        }
        this->grantor.setAuthorityEnd(this->now + std::chrono::seconds{60});
        this->grantor.setUpstreams(this->entries, this->now);
        this->grantor.setAreAllUpstreamsListed(true);
    }

    static auto raisingFences() -> RangeGrantorSettings
    {
        RangeGrantorSettings result;
        result.doReleasesRaiseFences = true;
        return result;
    }

    auto storeRecord() -> void
    {
        std::uint64_t version = 0;
        if (this->grantor.takeRecord(version)) {
            this->grantor.onRecordStored(version, this->now);
        }
    }

    /// Answers orders until one grants keys to an upstream.
    /// @param answer of an order; nothing where it stays open
    /// @returns when that order was issued; nothing if that doesn't happen within `limit`
    template<typename Answer>
    auto grantTimeOf(const std::string &upstream, Duration limit, const Answer &answer)
        -> std::optional<Instant>
    {
        const auto end = this->now + limit;
        for (; this->now < end; this->now += std::chrono::milliseconds{10}) {
            this->storeRecord();
            this->grantor.advance(this->now);
            for (const auto &order : this->grantor.takeOrders()) {
                if (order.kind == RangeOrder::Kind::Grant
                    && order.upstream == UpstreamId{upstream}) {
                    return this->now;
                }
                if (const std::optional<RangeOrderEnd::Kind> kind = answer(order)) {
                    this->grantor.onOrderEnd({order.call, *kind, ""}, this->now);
                }
            }
        }
        return std::nullopt;
    }
};

inline auto accepted(const RangeOrder & /*order*/) -> std::optional<RangeOrderEnd::Kind>
{
    return RangeOrderEnd::Kind::Accepted;
}

} // namespace gooseberrywall
