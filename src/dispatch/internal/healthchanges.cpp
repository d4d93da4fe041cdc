#include "dispatch/healthchanges.h"

#include <cmath>
#include <utility>

namespace gooseberrywall {

namespace {

/// A limit that differs by less than this share from the last one is no change.
constexpr double limitChangeShare = 0.1;
/// Average grants above this multiple of the limit, and this many more, are too many.
constexpr double overLimitFactor = 1.5;
constexpr double overLimitSlack = 2;

auto isOverLimit(const UpstreamStatus &upstream) -> bool
{
    // The average goes back to the time before the upstream became cold.
    return !upstream.isCold
           && upstream.grantedPerSecond
                  > overLimitFactor * upstream.requestLimit.perSecond + overLimitSlack;
}

} // namespace

auto toString(HealthChange::Kind kind) -> std::string_view
{
    switch (kind) {
    case HealthChange::Kind::Joined:
        return "joined";
    case HealthChange::Kind::Gone:
        return "gone";
    case HealthChange::Kind::Usable:
        return "usable";
    case HealthChange::Kind::Unusable:
        return "unusable";
    case HealthChange::Kind::Limited:
        return "limited";
    case HealthChange::Kind::Unlimited:
        return "unlimited";
    case HealthChange::Kind::OverLimit:
        return "over_limit";
    case HealthChange::Kind::Cold:
        return "cold";
    case HealthChange::Kind::Warm:
        return "warm";
    }
    return "unusable";
}

auto HealthChanges::update(const std::vector<UpstreamStatus> &upstreams)
    -> std::vector<HealthChange>
{
    using Kind = HealthChange::Kind;
    std::vector<HealthChange> result;
    std::map<UpstreamId, UpstreamStatus> next;
    for (const auto &upstream : upstreams) {
        const auto before = this->lastStatuses.find(upstream.id);
        if (before == this->lastStatuses.end()) {
            result.push_back(HealthChange{Kind::Joined, upstream});
        } else if (before->second.isUsable != upstream.isUsable) {
            result.push_back(
                HealthChange{upstream.isUsable ? Kind::Usable : Kind::Unusable, upstream});
        }
        const auto wasCold = before != this->lastStatuses.end() && before->second.isCold;
        if (wasCold != upstream.isCold) {
            result.push_back(HealthChange{upstream.isCold ? Kind::Cold : Kind::Warm, upstream});
        }
        if (const auto kind = this->limitChange(upstream)) {
            result.push_back(HealthChange{*kind, upstream});
        }
        const auto wasOverLimit = before != this->lastStatuses.end() && isOverLimit(before->second);
        if (isOverLimit(upstream) && !wasOverLimit) {
            result.push_back(HealthChange{Kind::OverLimit, upstream});
        }
        next.emplace(upstream.id, upstream);
    }
    for (const auto &[id, upstream] : this->lastStatuses) {
        if (!next.contains(id)) {
            result.push_back(HealthChange{Kind::Gone, upstream});
            this->returnedLimits.erase(id);
        }
    }
    this->lastStatuses = std::move(next);
    return result;
}

auto HealthChanges::limitChange(const UpstreamStatus &upstream) -> std::optional<HealthChange::Kind>
{
    if (upstream.isCold) {
        // The limit may be the bound for cold upstreams.
        return std::nullopt;
    }
    const auto known = this->returnedLimits.find(upstream.id);
    const auto wasLimited = known != this->returnedLimits.end();
    if (!upstream.requestLimit.isLimited()) {
        this->returnedLimits.erase(upstream.id);
        return wasLimited ? std::optional(HealthChange::Kind::Unlimited) : std::nullopt;
    }
    const auto limit = upstream.requestLimit.perSecond;
    if (wasLimited
        && std::abs(limit - known->second.perSecond)
               <= limitChangeShare * known->second.perSecond) {
        return std::nullopt;
    }
    this->returnedLimits[upstream.id] = upstream.requestLimit;
    return HealthChange::Kind::Limited;
}

} // namespace gooseberrywall
