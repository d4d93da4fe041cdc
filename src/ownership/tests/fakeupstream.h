#pragma once

#include "protocol/types/upstreammessages.h"

#include <map>

namespace gooseberrywall {

/// A minimal upstream that accepts, refuses and revokes grants; its clock is passed in.
class FakeUpstream
{
public:
    FakeUpstream() = default;
    FakeUpstream(Incarnation incarnation, bool checksSender, bool grantsExpire)
        : incarnation(incarnation)
        , checksSender(checksSender)
        , grantsExpire(grantsExpire)
    {
    }

    auto apply(UpstreamInstant clock, const GrantBatch &batch) -> GrantBatchAnswer
    {
        GrantBatchAnswer answer;
        answer.incarnation = this->incarnation;
        answer.clock = clock;
        const auto isRead = batch.incarnation.value == 0;
        const auto isSuperseded = this->checksSender && batch.term < this->highestTerm;
        answer.refused = isSuperseded || (!isRead && batch.incarnation != this->incarnation);
        if (!answer.refused && !isRead) {
            this->highestTerm = std::max(this->highestTerm, batch.term);
            for (const auto &order : batch.orders) {
                const auto status = this->applyOrder(clock, order);
                answer.results.push_back({order.shard, status, this->grants[order.shard].highest});
            }
        }
        answer.highestTerm = this->highestTerm;
        for (const auto &[shard, grant] : this->grants) {
            if (this->holds(clock, shard)) {
                answer.held.push_back({shard, grant.highest, this->untilOf(grant)});
            }
        }
        return answer;
    }

    /// @returns the fence under which the upstream would run a request of the shard; nothing if it
    ///          doesn't hold the shard
    [[nodiscard]] auto holds(UpstreamInstant clock, const ShardId &shard) const
        -> std::optional<Fence>
    {
        const auto grant = this->grants.find(shard);
        const auto isHeld = grant != this->grants.end() && grant->second.held
                            && (!this->grantsExpire || clock < grant->second.until);
        return isHeld ? std::optional(grant->second.highest) : std::nullopt;
    }

    struct Grant
    {
        Fence highest;
        bool held = false;
        UpstreamInstant until{};
    };
    std::map<ShardId, Grant> grants;
    Incarnation incarnation;

private:
    auto applyOrder(UpstreamInstant clock, const GrantOrder &order) -> GrantStatus
    {
        auto &grant = this->grants[order.shard];
        // An upstream that doesn't check the sender accepts any order until its end.
        if (this->checksSender && order.fence < grant.highest) {
            return GrantStatus::StaleFence;
        }
        if (order.action == GrantAction::Revoke) {
            grant.highest = order.fence;
            grant.held = false;
            return GrantStatus::Done;
        }
        if (this->grantsExpire && order.until.value() <= clock) {
            return GrantStatus::Expired;
        }
        grant.highest = order.fence;
        grant.held = true;
        grant.until = order.until.value_or(UpstreamInstant{});
        return GrantStatus::Done;
    }

    [[nodiscard]] auto untilOf(const Grant &grant) const -> std::optional<UpstreamInstant>
    {
        return this->grantsExpire ? std::optional(grant.until) : std::nullopt;
    }

    bool checksSender = true;
    bool grantsExpire = true;
    Term highestTerm;
};

} // namespace gooseberrywall
