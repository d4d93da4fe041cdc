#include "edge/tests/restoredstorecell.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

constexpr Duration stepTime = std::chrono::milliseconds{10};
/// Keys whose owners are checked, at equal distances.
constexpr std::uint32_t sampleDistance = 256;
const ServiceName service{"fitment"};
const Address entryDaemon{"10.9.0.1:7000"};

auto daemonAddress(std::size_t index) -> Address
{
    return Address{"10.0.0." + std::to_string(index) + ":7000"};
}

} // namespace

struct RestoredStoreCell::Daemon
{
    Logger logger{"error", 1};
    RequestLog log{this->logger, 0};
    PermitClient permits;
    GrantorRoles roles;
    GrantorWatch watch;

    Daemon(const GrantorRoleSettings &settings, const SendStoreCall &store,
           const SendRangeOrder &orders, const std::function<Instant()> &now)
        : permits(settings.peerAddress, settings.incarnation, PermitClientSettings{})
        , roles(settings, store, orders, now, this->logger, this->log)
        , watch(watchSettings(settings), store, now, this->permits, this->roles, this->logger)
    {
        ServiceSpec spec;
        spec.name = service;
        spec.isSharded = true;
        this->roles.setServices({spec});
        this->watch.setServices({spec});
    }

    static auto watchSettings(const GrantorRoleSettings &settings) -> GrantorWatchSettings
    {
        GrantorWatchSettings result;
        result.grantorPrefix = settings.grantorPrefix;
        result.daemon = settings.daemon;
        result.processorCores = settings.processorCores;
        return result;
    }
};

RestoredStoreCell::RestoredStoreCell(int daemonCount, int upstreamCount, bool doReleasesRaiseFences)
    : doReleasesRaiseFences(doReleasesRaiseFences)
{
    this->store.pageSize = 500;
    for (auto index = 0; index < upstreamCount; ++index) {
        UpstreamEntry entry;
        entry.id = UpstreamId{"u" + std::to_string(index)};
        entry.service = service;
        entry.address = Address{"10.1.0." + std::to_string(index) + ":80"};
        entry.slots = 3;
        this->entries.push_back(entry);
        this->upstreams.emplace(entry.id, Upstream{});
    }
    for (auto index = 0; index < daemonCount; ++index) {
        this->startDaemon(static_cast<std::size_t>(index));
    }
}

RestoredStoreCell::~RestoredStoreCell() = default;

auto RestoredStoreCell::startDaemon(std::size_t index) -> void
{
    GrantorRoleSettings settings;
    settings.daemon = DaemonId{"d" + std::to_string(index)};
    settings.peerAddress = daemonAddress(index);
    settings.incarnation = this->nextIncarnation++;
    settings.processorCores = 0.5;
    settings.startsWithSystem = this->store.now() == this->startedAt;
    settings.ranges.doReleasesRaiseFences = this->doReleasesRaiseFences;
    const auto send = [this, index, sender = this->store.sender()](
                          StoreCall call, Duration timeout, std::function<void(StoreAnswer)> done) {
        if (this->cutOff[index]) {
            this->store.loseCall(timeout, std::move(done));
            return;
        }
        sender(std::move(call), timeout,
               [this, index, done = std::move(done)](const StoreAnswer &answer) {
                   if (const auto found = this->daemons.find(index);
                       answer.era && found != this->daemons.end()) {
                       found->second->watch.onStoreEra(*answer.era);
                       found->second->roles.onStoreEra(*answer.era);
                   }
                   done(answer);
               });
    };
    auto &daemon = this->daemons[index];
    daemon = std::make_unique<Daemon>(
        settings, send,
        [this](const RangeOrder &order, std::function<void(RangeOrderEnd)> done) {
            this->orders.push_back(SentOrder{order, std::move(done), std::nullopt, Instant{},
                                             std::nullopt, this->store.now()});
        },
        [this] { return this->store.now(); });
    Route route;
    route.services = {WeightedService{service, 1}};
    route.timeout = this->workTime;
    daemon->roles.setRoutes({route});
    this->publishEntries();
}

auto RestoredStoreCell::publishEntries() -> void
{
    std::vector<UpstreamEntry> listed;
    for (std::size_t index = 0; index < this->entries.size(); ++index) {
        if (!this->lostEntries.contains(index)) {
            listed.push_back(this->entries[index]);
        }
    }
    for (const auto &[index, daemon] : this->daemons) {
        daemon->roles.onUpstreams(listed);
        daemon->roles.onUpstreamsListed(this->store.now(), true);
    }
}

auto RestoredStoreCell::loseEntry(std::size_t upstream, Duration time) -> void
{
    this->lostEntries[upstream] = this->store.now() + time;
}

auto RestoredStoreCell::holds(const UpstreamId &id, KeyPosition key) const -> bool
{
    const auto &holds = this->upstreams.at(id).holds;
    return std::any_of(holds.begin(), holds.end(), [&](const Hold &hold) {
        return hold.range.contains(key) && hold.endsAt > this->store.now();
    });
}

auto RestoredStoreCell::setLoad(KeyRange keys, double perSecond) -> void
{
    this->loadedKeys = keys;
    this->requestsPerSecond = perSecond;
}

auto RestoredStoreCell::grantorIndex() const -> std::optional<std::size_t>
{
    for (const auto &[index, daemon] : this->daemons) {
        if (daemon->roles.servingCount() > 0) {
            return index;
        }
    }
    return std::nullopt;
}

auto RestoredStoreCell::killGrantor(std::optional<Duration> restartAfter) -> void
{
    const auto index = this->grantorIndex();
    if (!index) {
        return;
    }
    this->daemons.erase(*index);
    if (restartAfter) {
        this->restarts[*index] = this->store.now() + *restartAfter;
    }
}

auto RestoredStoreCell::killAll() -> void
{
    for (const auto &[index, daemon] : this->daemons) {
        this->restarts[index] = this->store.now() + std::chrono::milliseconds{500};
    }
    this->daemons.clear();
}

auto RestoredStoreCell::setCutOff(std::size_t daemon, bool isCutOff) -> void
{
    this->cutOff[daemon] = isCutOff;
}

auto RestoredStoreCell::resetCounts() -> void
{
    this->grantedRequests = 0;
    this->servedRequests = 0;
    this->askedRequests = 0;
}

auto RestoredStoreCell::run(Duration time) -> void
{
    for (auto passed = Duration{0}; passed < time; passed += stepTime) {
        this->step();
    }
}

auto RestoredStoreCell::step() -> void
{
    for (auto restart = this->restarts.begin(); restart != this->restarts.end();) {
        if (restart->second > this->store.now()) {
            ++restart;
            continue;
        }
        this->startDaemon(restart->first);
        restart = this->restarts.erase(restart);
    }
    std::erase_if(this->lostEntries,
                  [&](const auto &lost) { return lost.second <= this->store.now(); });
    this->publishEntries();
    this->sendRequests();
    this->deliverDatagrams();
    for (const auto &[index, daemon] : this->daemons) {
        daemon->watch.advance();
        daemon->roles.advance();
    }
    this->carryOutOrders();
    this->checkOwners();
    this->store.advance(stepTime);
}

auto RestoredStoreCell::sendRequests() -> void
{
    const auto mean = this->requestsPerSecond * std::chrono::duration<double>(stepTime).count();
    std::poisson_distribution<int> count(std::max(1e-9, mean));
    const auto grantor = this->grantorIndex();
    for (auto left = count(this->random); left > 0; --left) {
        ++this->askedRequests;
        if (!grantor) {
            continue;
        }
        PermitRequest request;
        request.id = PermitId{entryDaemon, 1, this->nextRequest++};
        request.service = service;
        request.key = static_cast<KeyPosition>(this->loadedKeys.first
                                               + this->random() % this->loadedKeys.size());
        request.remaining = std::chrono::milliseconds{800};
        request.untilTarget = std::chrono::milliseconds{300};
        this->requestedKeys[request.id.sequence] = *request.key;
        this->datagrams.emplace_back(entryDaemon, PermitDatagram{daemonAddress(*grantor), request});
    }
}

auto RestoredStoreCell::deliverDatagrams() -> void
{
    for (const auto &[index, daemon] : this->daemons) {
        for (auto &datagram : daemon->roles.takeDatagrams()) {
            this->datagrams.emplace_back(daemonAddress(index), std::move(datagram));
        }
        for (auto &datagram : daemon->watch.takeDatagrams()) {
            this->datagrams.emplace_back(daemonAddress(index), std::move(datagram));
        }
    }
    for (const auto &[from, datagram] : std::exchange(this->datagrams, {})) {
        if (const auto *answer = std::get_if<PermitAnswer>(&datagram.message)) {
            if (answer->verdict.kind == PermitVerdict::Kind::Granted) {
                ++this->grantedRequests;
                const auto key = this->requestedKeys.at(answer->id.sequence);
                this->servedRequests += this->holds(answer->verdict.upstream, key) ? 1 : 0;
                PermitReport report;
                report.id = answer->id;
                report.service = service;
                report.upstream = answer->verdict.upstream;
                report.end = AttemptEnd::Answered;
                report.latency = std::chrono::milliseconds{80};
                this->datagrams.emplace_back(entryDaemon, PermitDatagram{from, report});
            }
            continue;
        }
        for (const auto &[index, daemon] : this->daemons) {
            if (daemonAddress(index) != datagram.peer) {
                continue;
            }
            if (const auto *announcement = std::get_if<GrantorAnnouncement>(&datagram.message)) {
                daemon->watch.onAnnouncement(from, *announcement);
            } else {
                daemon->roles.deliver(from, datagram.message);
            }
        }
    }
}

auto RestoredStoreCell::carryOutOrders() -> void
{
    constexpr Duration grantAnswerTime = std::chrono::milliseconds{10};
    constexpr Duration orderTimeout = std::chrono::milliseconds{1500};
    std::uniform_real_distribution<double> chance(0, 1);
    for (auto &sent : std::exchange(this->orders, {})) {
        auto &upstream = this->upstreams.at(sent.order.upstream);
        if (!sent.end) {
            RangeOrderEnd end;
            end.call = sent.order.call;
            if (chance(this->random) < this->lateOrderShare) {
                constexpr int spreadMs = 7000;
                sent.lateAt = this->store.now() + std::chrono::seconds{1}
                              + std::chrono::milliseconds{this->random() % spreadMs};
                sent.answerAt = this->store.now() + orderTimeout;
            } else {
                const auto isGrant = sent.order.kind == RangeOrder::Kind::Grant;
                const auto workEndsAt =
                    isGrant ? Instant{} : this->startWork(upstream, sent.order.range);
                end.kind = this->apply(upstream, sent.order, sent.sentAt);
                const auto answerTime = isGrant ? grantAnswerTime : this->releaseAnswerTime;
                sent.answerAt = std::max(this->store.now() + answerTime, workEndsAt);
                if (sent.answerAt > this->store.now() + orderTimeout) {
                    sent.answerAt = this->store.now() + orderTimeout;
                    end.kind = RangeOrderEnd::Kind::NoAnswer;
                }
            }
            sent.end = end;
        }
        if (sent.lateAt && *sent.lateAt <= this->store.now()) {
            if (sent.order.kind == RangeOrder::Kind::Release) {
                (void) this->startWork(upstream, sent.order.range);
            }
            (void) this->apply(upstream, sent.order, sent.sentAt);
            sent.lateAt.reset();
        }
        if (sent.done && sent.answerAt <= this->store.now()) {
            std::exchange(sent.done, nullptr)(*sent.end);
        }
        if (sent.done || sent.lateAt) {
            this->orders.push_back(std::move(sent));
        }
    }
}

auto RestoredStoreCell::startWork(Upstream &upstream, KeyRange released) const -> Instant
{
    const auto now = this->store.now();
    std::erase_if(upstream.work, [&](const Hold &work) { return work.endsAt <= now; });
    auto answeredAt = now;
    for (const auto &hold : upstream.holds) {
        const KeyRange range{std::max(hold.range.first, released.first),
                             std::min(hold.range.last, released.last)};
        if (range.first <= range.last && hold.endsAt > now) {
            const auto endsAt = std::min(now + this->workTime, hold.endsAt);
            upstream.work.push_back(Hold{range, 0, endsAt});
            answeredAt = std::max(answeredAt, endsAt);
        }
    }
    return answeredAt;
}

auto RestoredStoreCell::apply(Upstream &upstream, const RangeOrder &order, Instant sentAt)
    -> RangeOrderEnd::Kind
{
    const auto overlaps = [&](const Hold &hold) {
        return hold.range.first <= order.range.last && hold.range.last >= order.range.first;
    };
    const auto isGrant = order.kind == RangeOrder::Kind::Grant;
    const auto isTooLow = isGrant
                          && std::any_of(upstream.takenFences.begin(), upstream.takenFences.end(),
                                         [&](const Hold &hold) {
                                             return overlaps(hold) && hold.fence > order.fence;
                                         });
    if (isTooLow) {
        return RangeOrderEnd::Kind::FenceTooLow;
    }
    std::vector<Hold> next;
    for (const auto &hold : upstream.holds) {
        if (!overlaps(hold)) {
            next.push_back(hold);
            continue;
        }
        if (hold.range.first < order.range.first) {
            next.push_back({{hold.range.first, static_cast<KeyPosition>(order.range.first - 1)},
                            hold.fence,
                            hold.endsAt});
        }
        if (hold.range.last > order.range.last) {
            next.push_back({{static_cast<KeyPosition>(order.range.last + 1), hold.range.last},
                            hold.fence,
                            hold.endsAt});
        }
    }
    if (isGrant) {
        next.push_back({order.range, order.fence, sentAt + order.holdTime});
    }
    if (isGrant || this->doReleasesRaiseFences) {
        upstream.takenFences.push_back({order.range, order.fence, Instant{}});
    }
    upstream.holds = std::move(next);
    return RangeOrderEnd::Kind::Accepted;
}

auto RestoredStoreCell::checkOwners() -> void
{
    for (std::uint32_t sample = 0; sample < 65536; sample += sampleDistance) {
        const auto key = static_cast<KeyPosition>(sample);
        auto ownerCount = 0;
        for (const auto &[id, upstream] : this->upstreams) {
            for (const auto &hold : upstream.holds) {
                if (!hold.range.contains(key) || hold.endsAt <= this->store.now()) {
                    continue;
                }
                ++ownerCount;
                auto &highest = this->highestFences[key];
                this->lowFences += hold.fence <= highest.first && highest.second != id ? 1 : 0;
                if (hold.fence > highest.first) {
                    highest = {hold.fence, id};
                }
            }
        }
        this->ownerConflicts += ownerCount > 1 ? 1 : 0;
        this->checkWork(key);
    }
}

auto RestoredStoreCell::checkWork(KeyPosition key) -> void
{
    for (const auto &[id, worker] : this->upstreams) {
        const auto isAtWork =
            std::any_of(worker.work.begin(), worker.work.end(), [&](const Hold &work) {
                return work.range.contains(key) && work.endsAt > this->store.now();
            });
        const auto isGivenOn =
            isAtWork
            && std::any_of(this->upstreams.begin(), this->upstreams.end(), [&](const auto &other) {
                   return other.first != id && this->holds(other.first, key);
               });
        this->givenOnAtWork += isGivenOn ? 1 : 0;
    }
}

} // namespace gooseberrywall
