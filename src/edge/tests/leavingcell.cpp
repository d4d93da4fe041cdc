#include "edge/tests/leavingcell.h"

#include "edge/tests/leavingdaemon.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

using std::chrono::milliseconds;

/// A dead connection is found by its probes after this time.
constexpr Duration deadConnectionTimeout = std::chrono::seconds{3};
/// An upstream's entry is removed so long after it has started to drain.
constexpr Duration drainTime = std::chrono::seconds{3};
constexpr Duration answerTime = milliseconds{50};
const std::string prefix = TextWire::upstreamPrefix();
const ServiceName service = TextWire::service();

auto daemonAddress(std::size_t index) -> Address
{
    return Address{"10.0.0." + std::to_string(index) + ":7000"};
}

auto upstreamId(int number) -> UpstreamId
{
    return UpstreamId{"u" + std::to_string(number)};
}

} // namespace

LeavingCell::LeavingCell(int daemonCount, int upstreamCount)
{
    this->store.pageSize = 500;
    for (auto number = 0; number < upstreamCount; ++number) {
        this->start(number);
    }
    for (auto number = 0; number < daemonCount; ++number) {
        const auto index = static_cast<std::size_t>(number);
        GrantorRoleSettings settings;
        settings.daemon = DaemonId{"d" + std::to_string(number)};
        settings.peerAddress = daemonAddress(index);
        settings.incarnation = index + 1;
        settings.processorCores = 0.5;
        this->daemons[index] = std::make_unique<Daemon>(settings, this->store, this->store.sender(),
                                                        [this] { return this->store.now(); });
    }
}

LeavingCell::~LeavingCell() = default;

auto LeavingCell::run(Duration time) -> void
{
    for (auto passed = Duration{0}; passed < time; passed += stepTime) {
        this->step();
    }
}

auto LeavingCell::start(int upstream) -> void
{
    this->running.insert(upstreamId(upstream));
    this->store.put(prefix + upstreamId(upstream).value, "ready");
}

auto LeavingCell::leave(int upstream, LeaveKind kind) -> void
{
    this->leaves[upstreamId(upstream)] = Leave{kind, std::nullopt, Duration{0}, false};
}

auto LeavingCell::loseEntry(int upstream, Duration absence) -> void
{
    this->store.remove(prefix + upstreamId(upstream).value);
    this->registrations[upstreamId(upstream)] = this->store.now() + absence;
}

auto LeavingCell::isStoreAway() const -> bool
{
    return this->store.mode != FakeStore::Mode::Normal;
}

auto LeavingCell::stopStore() -> void
{
    this->store.mode = FakeStore::Mode::Silent;
}

auto LeavingCell::startStore() -> void
{
    this->store.loseOpenCalls(deadConnectionTimeout);
    this->store.mode = FakeStore::Mode::Normal;
}

auto LeavingCell::restoreStore(Duration absence) -> void
{
    this->store.restoreCopy();
    this->startStore();
    for (const auto &id : this->running) {
        if (this->store.find(prefix + id.value) == nullptr && !this->leaves.contains(id)) {
            this->registrations[id] = this->store.now() + absence;
        }
    }
    for (auto &[id, leave] : this->leaves) {
        if (this->store.find(prefix + id.value) != nullptr) {
            leave = Leave{leave.kind, std::nullopt, Duration{0}, false};
        }
    }
}

auto LeavingCell::hasGrantor() const -> bool
{
    return std::any_of(this->daemons.begin(), this->daemons.end(),
                       [](const auto &row) { return row.second->roles.servingCount() > 0; });
}

auto LeavingCell::leftUpstreamsInUse(Duration since) const -> int
{
    auto count = 0;
    for (const auto &[index, daemon] : this->daemons) {
        if (daemon->roles.servingCount() == 0) {
            continue;
        }
        for (const auto &entry : daemon->entries) {
            const auto leave = this->leaves.find(entry.id);
            const auto hasLeft = leave != this->leaves.end() && leave->second.acknowledgedAt
                                 && this->store.now() - *leave->second.acknowledgedAt > since;
            count += hasLeft && !entry.isDraining ? 1 : 0;
        }
    }
    return count;
}

auto LeavingCell::killGrantor() -> void
{
    const auto found =
        std::find_if(this->daemons.begin(), this->daemons.end(),
                     [](const auto &row) { return row.second->roles.servingCount() > 0; });
    if (found != this->daemons.end()) {
        this->daemons.erase(found);
    }
}

auto LeavingCell::refuseGrantor(Duration time) -> void
{
    for (const auto &[index, daemon] : this->daemons) {
        if (daemon->roles.servingCount() > 0) {
            daemon->refusedUntil = this->store.now() + time;
        }
    }
}

auto LeavingCell::refuseDaemons(const StoreRefusal &refusal) -> void
{
    auto reachingCount = refusal.reachingCount;
    for (const auto &[index, daemon] : this->daemons) {
        if (daemon->roles.servingCount() > 0 || reachingCount-- <= 0) {
            daemon->refusedUntil = this->store.now() + refusal.time;
            daemon->refusal = refusal;
        }
    }
}

auto LeavingCell::isGrantorUsing(int upstream) const -> bool
{
    return std::any_of(this->daemons.begin(), this->daemons.end(), [&](const auto &row) {
        const auto &entries = row.second->entries;
        return row.second->roles.servingCount() > 0
               && std::any_of(entries.begin(), entries.end(), [&](const auto &entry) {
                      return entry.id == upstreamId(upstream) && !entry.isDraining;
                  });
    });
}

auto LeavingCell::resignGrantor() -> void
{
    for (const auto &[index, daemon] : this->daemons) {
        if (daemon->roles.servingCount() > 0) {
            daemon->roles.resign();
        }
    }
}

auto LeavingCell::sendOnlyFromGrantor() -> void
{
    for (const auto &[index, daemon] : this->daemons) {
        if (daemon->roles.servingCount() == 0) {
            this->quiet.insert(index);
        }
    }
}

auto LeavingCell::silenceGrantors(Duration time) -> void
{
    this->grantorsSilentUntil = this->store.now() + time;
}

auto LeavingCell::longestUseAfterLeave() const -> Duration
{
    return this->longestUse;
}

auto LeavingCell::resetCounts() -> void
{
    this->longestUse = Duration{0};
    this->worst.clear();
    this->sent = 0;
    this->directlySent = 0;
    this->unsent = 0;
}

auto LeavingCell::step() -> void
{
    this->advanceLeaves();
    this->sendRequests();
    this->deliverDatagrams();
    for (const auto &[index, daemon] : this->daemons) {
        daemon->advance(this->store.now());
    }
    this->store.advance(stepTime);
}

auto LeavingCell::advanceLeaves() -> void
{
    const auto now = this->store.now();
    if (this->isStoreAway()) {
        this->storeAwayTime += stepTime;
        return;
    }
    std::erase_if(this->registrations, [&](const auto &row) {
        const auto isDue = row.second <= now;
        if (isDue && !this->leaves.contains(row.first)) {
            this->store.put(prefix + row.first.value, "ready");
        }
        return isDue;
    });
    for (auto &[id, leave] : this->leaves) {
        if (!leave.acknowledgedAt) {
            leave.acknowledgedAt = now;
            leave.awayBefore = this->storeAwayTime;
            leave.isEntryRemoved = leave.kind == LeaveKind::Removed;
            if (leave.isEntryRemoved) {
                this->store.remove(prefix + id.value);
            } else {
                this->store.put(prefix + id.value, "draining");
            }
        }
        if (!leave.isEntryRemoved && now - *leave.acknowledgedAt >= drainTime) {
            leave.isEntryRemoved = true;
            this->store.remove(prefix + id.value);
        }
    }
}

auto LeavingCell::sendRequests() -> void
{
    const auto now = this->store.now();
    for (const auto &[index, daemon] : this->daemons) {
        PermitRequest request;
        request.service = service;
        request.remaining = milliseconds{800};
        request.untilTarget = milliseconds{300};
        if (!this->quiet.contains(index) && now >= daemon->nextRequestAt) {
            daemon->nextRequestAt =
                now
                + this->sendInterval * std::uniform_int_distribution<int>(5, 15)(this->random) / 10;
            daemon->permits.ask(ExchangeId{this->nextRequest++}, request, now);
        }
        for (const auto &result : daemon->permits.takeResults()) {
            if (!result.verdict) {
                const auto chosen = daemon->direct.choose(request, now);
                if (!chosen || chosen->kind != PermitVerdict::Kind::Granted) {
                    ++this->unsent;
                    continue;
                }
                daemon->directSentAt = now;
                daemon->direct.onSent(chosen->upstream, now);
                daemon->running.push_back({chosen->upstream, std::nullopt, now + answerTime});
                this->onSent(index, chosen->upstream, true);
            } else if (result.verdict->kind == PermitVerdict::Kind::Granted) {
                daemon->running.push_back({result.verdict->upstream, result.id, now + answerTime});
                this->onSent(index, result.verdict->upstream, false);
            } else {
                ++this->unsent;
            }
        }
        std::erase_if(daemon->running, [&](const Daemon::Running &each) {
            if (each.endsAt > now) {
                return false;
            }
            const auto hint = this->hasLeft(each.upstream) ? LeaveHint::MayLeave : LeaveHint::Stays;
            if (each.permit) {
                PermitReport report;
                report.id = *each.permit;
                report.service = service;
                report.upstream = each.upstream;
                report.end = AttemptEnd::Answered;
                report.latency = answerTime;
                report.leaveHint = hint;
                daemon->permits.report(report);
            } else {
                daemon->direct.onEnd(each.upstream, AttemptEnd::Answered, now);
            }
            this->onAnswer(*daemon, each.upstream, each.endsAt - answerTime);
            return true;
        });
    }
}

auto LeavingCell::onAnswer(Daemon &daemon, const UpstreamId &upstream, Instant askedAt) -> void
{
    UpstreamStatement answer;
    answer.upstream = upstream;
    answer.leaveHint = this->hasLeft(upstream) ? LeaveHint::MayLeave : LeaveHint::Stays;
    answer.askedAt = askedAt;
    daemon.upstreams.onStatements({answer});
}

auto LeavingCell::hasLeft(const UpstreamId &upstream) const -> bool
{
    const auto leave = this->leaves.find(upstream);
    return leave != this->leaves.end() && leave->second.acknowledgedAt;
}

auto LeavingCell::onSent(std::size_t daemon, const UpstreamId &upstream, bool isDirect) -> void
{
    ++this->sent;
    this->directlySent += isDirect ? 1 : 0;
    if (!this->hasLeft(upstream)) {
        return;
    }
    const auto leave = this->leaves.find(upstream);
    const auto use = this->store.now() - *leave->second.acknowledgedAt
                     - (this->storeAwayTime - leave->second.awayBefore);
    if (use > this->longestUse) {
        this->longestUse = use;
        const auto *const kind = leave->second.kind == LeaveKind::Removed ? "removed" : "draining";
        const auto leftAt = std::chrono::duration_cast<milliseconds>(
            leave->second.acknowledgedAt->time_since_epoch());
        this->worst = upstream.value + " " + kind + " at " + std::to_string(leftAt.count())
                      + " ms, sent by daemon " + std::to_string(daemon)
                      + (isDirect ? " without a permit" : " with a permit");
    }
}

auto LeavingCell::deliverDatagrams() -> void
{
    const auto now = this->store.now();
    for (const auto &[index, daemon] : this->daemons) {
        const auto send = [&, from = daemonAddress(index)](std::vector<PermitDatagram> sent) {
            for (auto &datagram : sent) {
                this->datagrams.emplace_back(from, std::move(datagram));
            }
        };
        send(daemon->permits.takeDatagrams());
        send(daemon->roles.takeDatagrams());
        send(daemon->grantors.takeDatagrams());
    }
    for (const auto &[from, datagram] : std::exchange(this->datagrams, {})) {
        for (const auto &[index, daemon] : this->daemons) {
            if (daemonAddress(index) != datagram.peer) {
                continue;
            }
            if (const auto *answer = std::get_if<PermitAnswer>(&datagram.message)) {
                if (now >= this->grantorsSilentUntil) {
                    daemon->permits.onAnswer(from, *answer, now);
                }
            } else if (const auto *heard = std::get_if<GrantorAnnouncement>(&datagram.message)) {
                daemon->grantors.onAnnouncement(from, *heard);
            } else {
                daemon->roles.deliver(from, datagram.message);
            }
        }
    }
}

} // namespace gooseberrywall
