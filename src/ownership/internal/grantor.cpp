#include "ownership/grantor.h"

#include "ownership/internal/authoritytracker.h"
#include "ownership/internal/servicepolicies.h"
#include "ownership/internal/upstreamsession.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

auto formerTermOf(const UpstreamEntry &entry, const DaemonIdentity &self) -> std::optional<Term>
{
    for (const auto &former : entry.formerGrantors) {
        if (former.daemon == self.id && former.incarnation == self.incarnation) {
            return former.term;
        }
    }
    return std::nullopt;
}

} // namespace

Grantor::Grantor(DaemonIdentity self, GrantorSettings settings)
    : self(std::move(self))
    , settings(settings)
    , policies(std::make_unique<ServicePolicies>())
    , authority(std::make_unique<AuthorityTracker>(settings.authorityInterval))
{
}

Grantor::~Grantor() = default;

auto Grantor::isMine(const UpstreamEntry &entry) const -> bool
{
    return entry.grantor == this->self.id && entry.grantorIncarnation == this->self.incarnation;
}

auto Grantor::isGrantorOf(const UpstreamId &upstream) const -> bool
{
    const auto *entry = this->table == nullptr ? nullptr : this->table->upstream(upstream);
    return entry != nullptr && this->isMine(*entry);
}

auto Grantor::contextFor(Instant now, const UpstreamSession &session) const -> SessionContext
{
    const auto &policy = this->policies->of(session.service());
    const auto mayOrder = authorityKind(policy) != AuthorityKind::Bounded
                          || this->authority->isConfirmed(now, policy.grantorAuthority);
    return {now, this->self, this->settings, policy, mayOrder, this->table->record().coordinator};
}

auto Grantor::onTable(Instant now, TablePointer newTable, Outbox &out) -> void
{
    const auto isNewer =
        newTable != nullptr
        && (this->table == nullptr || newTable->version() > this->table->version());
    if (!isNewer) {
        return;
    }
    this->handlePause(now);
    this->table = std::move(newTable);
    std::map<UpstreamId, std::vector<ShardEntry>> shards;
    for (const auto &upstream : this->table->record().upstreams) {
        if (this->isMine(upstream) || formerTermOf(upstream, this->self)) {
            shards[upstream.id];
        }
    }
    for (const auto &shard : this->table->record().shards) {
        const auto owned = shards.find(shard.owner);
        if (owned != shards.end() && shard.stage != ShardStage::Unowned) {
            owned->second.push_back(shard);
        }
    }
    std::erase_if(this->sessions,
                  [&](const auto &session) { return !shards.contains(session.first); });
    for (auto &[id, ownShards] : shards) {
        this->updateSession(now, *this->table->upstream(id), std::move(ownShards), out);
    }
}

auto Grantor::updateSession(Instant now, const UpstreamEntry &entry, std::vector<ShardEntry> shards,
                            Outbox &out) -> void
{
    auto &session = this->sessions[entry.id];
    if (session == nullptr) {
        session = std::make_unique<UpstreamSession>(now, entry);
    }
    session->update(now, entry, this->isMine(entry), formerTermOf(entry, this->self),
                    std::move(shards));
    session->tick(this->contextFor(now, *session), out);
}

auto Grantor::onPolicies(const std::vector<ServicePolicy> &newPolicies) -> void
{
    this->policies->update(newPolicies);
}

auto Grantor::handlePause(Instant now) -> void
{
    const auto wasPaused =
        this->lastTickAt && now - *this->lastTickAt > this->settings.pauseThreshold;
    this->lastTickAt = now;
    if (!wasPaused) {
        return;
    }
    this->authority->reset();
    for (const auto &[id, session] : this->sessions) {
        session->resume(now);
    }
}

auto Grantor::tick(Instant now, Outbox &out) -> void
{
    this->handlePause(now);
    if (this->table == nullptr) {
        return;
    }
    this->requestAuthority(now, out);
    for (const auto &[id, session] : this->sessions) {
        session->tick(this->contextFor(now, *session), out);
    }
}

auto Grantor::requestAuthority(Instant now, Outbox &out) -> void
{
    const auto isNeeded =
        std::any_of(this->sessions.begin(), this->sessions.end(), [&](const auto &entry) {
            return authorityKind(this->policies->of(entry.second->service()))
                   != AuthorityKind::Unbounded;
        });
    if (!isNeeded) {
        return;
    }
    const auto sequence = this->authority->nextRequest(now);
    if (!sequence) {
        return;
    }
    for (const auto &[id, session] : this->sessions) {
        session->onAuthorityRequested(*sequence);
    }
    out.toPeer(this->table->record().coordinator,
               AuthorityRequest{*sequence, this->table->version()});
}

auto Grantor::onUpstreamAnswer(Instant now, CallId call, const UpstreamAnswer &answer, Outbox &out)
    -> bool
{
    this->handlePause(now);
    for (const auto &[id, session] : this->sessions) {
        if (session->onAnswer(this->contextFor(now, *session), call, answer, out)) {
            return true;
        }
    }
    return false;
}

auto Grantor::onMessage(Instant now, const DaemonId &, const PeerMessage &message, Outbox &out)
    -> void
{
    this->handlePause(now);
    const auto *answer = std::get_if<AuthorityAnswer>(&message);
    if (answer == nullptr || this->table == nullptr || !this->authority->onAnswer(*answer)) {
        return;
    }
    for (const auto &[id, session] : this->sessions) {
        session->onAuthorityConfirmed(answer->sequence);
        session->tick(this->contextFor(now, *session), out);
    }
}

auto Grantor::fenceFor(Instant now, const ShardId &shard) const -> std::optional<Fence>
{
    const auto *entry = this->table == nullptr ? nullptr : this->table->shard(shard);
    if (entry == nullptr) {
        return std::nullopt;
    }
    const auto session = this->sessions.find(entry->owner);
    if (session == this->sessions.end()) {
        return std::nullopt;
    }
    const auto isPaused =
        !this->lastTickAt || now - *this->lastTickAt > this->settings.pauseThreshold;
    if (isPaused && !this->policies->of(session->second->service()).checksSender) {
        return std::nullopt;
    }
    return session->second->fenceFor(this->contextFor(now, *session->second), *entry);
}

} // namespace gooseberrywall
