#include "membership/tests/membershipcell.h"

#include "peerlink/peercodec.h"

#include <capnp/message.h>
#include <capnp/serialize.h>

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr Duration stepLength = std::chrono::milliseconds{1};
constexpr int stepsPerTick = 10;
/// Time between the end of a pause and the delivery of messages that came meanwhile: a daemon
/// checks its clock before it reads its sockets.
constexpr Duration readDelay = std::chrono::milliseconds{15};
/// TCP/IP headers, and the frames of a remote call and of its return.
constexpr std::uint64_t overheadBytesPerMessage = 160;

auto sizeOf(const PeerMessage &message) -> std::uint64_t
{
    capnp::MallocMessageBuilder builder;
    writePeerMessage(message, builder.initRoot<wire::Message>());
    return overheadBytesPerMessage
           + capnp::computeSerializedSizeInWords(builder) * sizeof(capnp::word);
}

} // namespace

MembershipCell::MembershipCell(int size, int domains, int seedCount, std::uint64_t randomSeed)
    : domains(domains)
    , seedCount(std::min(seedCount, size))
    , random(randomSeed)
    , nodes(size)
{
    for (int index = 0; index < size; ++index) {
        this->start(index, 1);
    }
}

auto MembershipCell::idOf(int index) -> DaemonId
{
    return DaemonId{"d" + std::to_string(index)};
}

auto MembershipCell::identityOf(int index, std::uint64_t incarnation) const -> DaemonIdentity
{
    const auto number = std::to_string(index);
    return {idOf(index), Incarnation{incarnation},
            FailureDomain{"gr-north-" + std::to_string(this->domainOf(index))},
            Address{"10.0.0." + number + ":7001"}};
}

auto MembershipCell::start(int index, std::uint64_t incarnation) -> void
{
    std::vector<MemberClaim> seeds;
    for (int seed = 0; seed < this->seedCount; ++seed) {
        const auto identity = this->identityOf(seed, 0);
        seeds.push_back({identity.id, Incarnation{}, identity.domain, identity.peerAddress});
    }
    auto &node = this->nodes.at(index);
    node.membership = std::make_unique<Membership>(this->identityOf(index, incarnation),
                                                   MembershipSettings{}, seeds, this->random());
    node.dead = false;
    node.lastVersion = 0;
    node.lastStates.clear();
}

auto MembershipCell::run(Duration time) -> void
{
    const auto end = this->now + time;
    while (this->now < end) {
        this->step();
    }
}

auto MembershipCell::runUntil(Duration limit, const std::function<bool()> &condition) -> Duration
{
    const auto begin = this->now;
    while (this->now - begin < limit) {
        if (condition()) {
            return this->now - begin;
        }
        this->run(std::chrono::milliseconds{10});
    }
    return limit;
}

auto MembershipCell::pause(int index, Duration time) -> void
{
    this->nodes.at(index).pausedUntil = this->now + time;
}

auto MembershipCell::restart(int index) -> void
{
    const auto *own = this->at(index).view().find(idOf(index));
    this->start(index, own->incarnation.value + 1);
}

auto MembershipCell::leave(int index) -> void
{
    this->at(index).leave(this->now, this->out);
    this->flush(index);
}

auto MembershipCell::state(int observer, int subject) -> std::optional<MemberState>
{
    const auto *claim = this->at(observer).view().find(idOf(subject));
    if (claim == nullptr) {
        return std::nullopt;
    }
    return claim->state;
}

auto MembershipCell::agrees() -> bool
{
    for (int observer = 0; observer < this->size(); ++observer) {
        if (this->isDead(observer)) {
            continue;
        }
        const auto &members = this->at(observer).view().members;
        if (static_cast<int>(members.size()) != this->size()) {
            return false;
        }
        for (const auto &member : members) {
            const auto isDead = this->isDead(indexOf(member.id));
            if (member.state != (isDead ? MemberState::Removed : MemberState::Alive)) {
                return false;
            }
        }
    }
    return true;
}

auto MembershipCell::resetCounters() -> void
{
    this->falseRemovalCount = 0;
    for (auto &node : this->nodes) {
        node.traffic = {};
    }
}

auto MembershipCell::step() -> void
{
    this->now += stepLength;
    while (!this->inFlight.empty() && this->inFlight.begin()->first <= this->now) {
        const auto delivery = std::move(this->inFlight.begin()->second);
        this->inFlight.erase(this->inFlight.begin());
        this->deliver(delivery);
    }
    const auto phase = this->now.time_since_epoch() / stepLength % stepsPerTick;
    for (int index = 0; index < this->size(); ++index) {
        auto &node = this->nodes.at(index);
        if (index % stepsPerTick != phase || node.dead || node.pausedUntil > this->now) {
            continue;
        }
        node.membership->tick(this->now, this->out);
        this->flush(index);
        this->countRemovals(node);
    }
}

auto MembershipCell::deliver(const Delivery &delivery) -> void
{
    auto &node = this->nodes.at(delivery.to);
    if (node.dead) {
        return;
    }
    if (node.pausedUntil > this->now) {
        // The message waits in the socket and is read after the pause.
        this->inFlight.emplace(node.pausedUntil + readDelay, delivery);
        return;
    }
    node.traffic.messages += 1;
    node.traffic.bytes += sizeOf(delivery.message);
    node.membership->onMessage(this->now, idOf(delivery.from), delivery.message, this->out);
    this->flush(delivery.to);
    this->countRemovals(node);
}

auto MembershipCell::flush(int from) -> void
{
    for (const auto &send : this->out.peerSends) {
        const auto to = indexOf(send.to);
        auto &node = this->nodes.at(from);
        node.traffic.messages += 1;
        node.traffic.bytes += sizeOf(send.message);
        const auto isCut = this->faults.cut && this->faults.cut(idOf(from), send.to);
        if (isCut || this->chance(this->faults.lossPercent)) {
            continue;
        }
        const auto copies = this->chance(this->faults.duplicatePercent) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const auto jitter = this->faults.jitter.count() == 0
                                    ? Duration{0}
                                    : Duration{static_cast<Duration::rep>(
                                        this->random() % this->faults.jitter.count())};
            this->inFlight.emplace(this->now + this->faults.delay + jitter,
                                   Delivery{from, to, send.message});
        }
    }
    this->out.clear();
}

auto MembershipCell::countRemovals(Node &node) -> void
{
    if (node.membership->viewVersion() == node.lastVersion) {
        return;
    }
    node.lastVersion = node.membership->viewVersion();
    for (const auto &member : node.membership->view().members) {
        auto &last = node.lastStates[member.id];
        const auto isNew = member.state == MemberState::Removed && last != MemberState::Removed;
        if (isNew && !this->isDead(indexOf(member.id))) {
            this->falseRemovalCount += 1;
        }
        last = member.state;
    }
}

auto MembershipCell::chance(int percent) -> bool
{
    return percent > 0 && static_cast<int>(this->random() % 100) < percent;
}

} // namespace gooseberrywall
