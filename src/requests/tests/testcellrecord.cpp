// The part of TestCell that handles the record and the upstreams.
#include "requests/tests/testcell.h"

#include "ownership/internal/fencerules.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

auto TestCell::addUpstream(const std::string &id, int grantor, int standby,
                           UpstreamModelSettings settings) -> void
{
    settings.id = {id};
    settings.grantsExpire = false;
    this->servers[{id}].model =
        std::make_unique<UpstreamModel>(settings, Incarnation{1}, this->time);
    UpstreamEntry entry;
    entry.id = {id};
    entry.service = this->policy.service;
    entry.domain = {"domain of " + id};
    entry.incarnation = {1};
    entry.grantor = this->daemonId(grantor);
    entry.grantorIncarnation = {1};
    entry.term = {++this->lastTerm};
    if (standby >= 0) {
        entry.standby = this->daemonId(standby);
        entry.standbyIncarnation = {1};
    }
    this->record.upstreams.push_back(std::move(entry));
}

auto TestCell::assign(std::uint32_t shard, const std::string &upstream) -> void
{
    const auto entry = std::find_if(this->record.upstreams.begin(), this->record.upstreams.end(),
                                    [&](const auto &other) { return other.id.value == upstream; });
    auto &target = this->record.shards.at(shard);
    makeOwned(target, entry->id, fenceAfter(target.fence, entry->term));
}

auto TestCell::takeOver(const std::string &upstream, int grantor, int standby) -> void
{
    for (auto &entry : this->record.upstreams) {
        if (entry.id.value != upstream) {
            continue;
        }
        entry.grantor = this->daemonId(grantor);
        entry.term = {++this->lastTerm};
        entry.standby = standby >= 0 ? this->daemonId(standby) : DaemonId{};
        for (auto &shard : this->record.shards) {
            if (shard.owner == entry.id) {
                shard.fence = fenceAfter(shard.fence, entry.term);
            }
        }
    }
}

auto TestCell::grant() -> void
{
    for (const auto &entry : this->record.upstreams) {
        auto &server = this->servers.at(entry.id);
        GrantBatch batch{entry.grantor, entry.term, server.model->incarnation(), {}};
        for (const auto &shard : this->record.shards) {
            const bool isOwned = shard.stage == ShardStage::Owned && shard.owner == entry.id;
            const auto held = server.model->heldFence(this->time, shard.id);
            if (isOwned && held != shard.fence) {
                batch.orders.push_back({shard.id, shard.fence, GrantAction::Grant, {}, {}});
            }
            if (!isOwned && held) {
                batch.orders.push_back(
                    {shard.id, Fence{held->term, held->sequence + 1}, GrantAction::Revoke, {}, {}});
            }
        }
        if (entry.incarnation == server.model->incarnation()) {
            server.model->receive(this->time, CallId{}, std::move(batch));
        }
        this->collectReplies(entry.id);
    }
}

auto TestCell::advanceUpstream(const std::string &id) -> void
{
    this->servers.at({id}).model->advance(this->time);
    this->collectReplies({id});
}

auto TestCell::collectReplies(const UpstreamId &id) -> void
{
    auto &server = this->servers.at(id);
    for (const auto &reply : server.model->takeReplies()) {
        if (this->chance(this->faults.loseAnswer)) {
            continue;
        }
        const auto delay =
            this->chance(this->faults.delayAnswer) ? longestDelay : this->linkDelay();
        this->after(delay, [this, reply] { this->answerCall(reply.call.value, reply.answer); });
    }
    const auto next = server.model->nextChange();
    if (next && (!server.wakeAt || *next < *server.wakeAt || *server.wakeAt <= this->time)) {
        server.wakeAt = next;
        this->schedule(*next, [this, id] {
            this->servers.at(id).model->advance(this->time);
            this->collectReplies(id);
        });
    }
}

auto TestCell::model(const std::string &id) -> UpstreamModel &
{
    return *this->servers.at({id}).model;
}

} // namespace gooseberrywall
