#include "dispatch/healthchanges.h"

#include <utility>

namespace gooseberrywall {

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
        next.emplace(upstream.id, upstream);
    }
    for (const auto &[id, upstream] : this->lastStatuses) {
        if (!next.contains(id)) {
            result.push_back(HealthChange{Kind::Gone, upstream});
        }
    }
    this->lastStatuses = std::move(next);
    return result;
}

} // namespace gooseberrywall
