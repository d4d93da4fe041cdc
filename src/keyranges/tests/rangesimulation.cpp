#include "keyranges/tests/rangesimulation.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

constexpr Duration stepDuration = std::chrono::milliseconds{10};
constexpr Duration orderTimeout = std::chrono::milliseconds{600};
constexpr Duration releaseTimeout = std::chrono::milliseconds{1500};
constexpr Duration planInterval = std::chrono::milliseconds{300};
/// An upstream answers a release after the requests that it runs, which last up to this long.
constexpr int longestReleaseDelayMs = 300;
/// Work takes this long where none is set.
constexpr Duration shortestWork = std::chrono::milliseconds{longestReleaseDelayMs};
/// Upstreams that a restored store has lost register again within this time.
constexpr Duration registrationTime = std::chrono::milliseconds{2300};
constexpr double clockSlowdown = 1.02;
/// Keys whose owners are checked, at equal distances.
constexpr int sampledKeyCount = 64;

} // namespace

RangeSimulation::RangeSimulation(std::uint64_t seed, int upstreamCount,
                                 RangeSimulationFaults faults)
    : random(seed)
    , faults(faults)
    , planner(RangePlannerSettings{})
{
    for (auto index = 0; index < upstreamCount; ++index) {
        Upstream upstream;
        upstream.entry.id = UpstreamId{"u" + std::to_string(index)};
        upstream.entry.address = Address{"10.0.0." + std::to_string(index + 1) + ":80"};
        upstream.entry.slots = 3;
        upstream.entry.incarnation = Incarnation{1};
        this->upstreams.push_back(upstream);
    }
    this->startGrantor();
}

auto RangeSimulation::startGrantor() -> void
{
    this->grantor = std::make_unique<RangeGrantor>(this->settings, this->term);
    this->grantor->setLongestWork(std::max(this->longestWork, shortestWork));
    this->grantor->setUpstreams(this->entries(), this->moment);
    if (this->isRecordOutdated) {
        this->grantor->adoptOutdated(this->storedRecord, this->moment);
    } else {
        this->grantor->adopt(this->storedRecord, this->moment);
    }
    this->unwrittenRecord.reset();
    this->grantorStartsAt.reset();
}

auto RangeSimulation::run(Duration time) -> void
{
    const auto end = this->moment + time;
    while (this->moment < end) {
        this->step();
    }
}

auto RangeSimulation::replaceGrantor(Duration pause) -> void
{
    ++this->term;
    this->grantor->setAuthorityEnd(Instant{});
    this->grantorStartsAt = this->moment + pause;
}

auto RangeSimulation::restoreCopy(Duration pause) -> void
{
    this->storedRecord = this->recordCopy;
    this->isRecordOutdated = true;
    this->restoredAt = this->moment;
    for (auto &upstream : this->upstreams) {
        constexpr int lostOneOf = 4;
        const auto isLost = this->random() % lostOneOf == 0;
        const auto delay = this->random() % static_cast<std::uint64_t>(registrationTime.count());
        upstream.listedFrom = this->moment + Duration{isLost ? static_cast<int>(delay) : 0};
    }
    this->replaceGrantor(pause);
}

auto RangeSimulation::freeze(int index, Duration time) -> void
{
    this->upstreams.at(static_cast<std::size_t>(index)).frozenUntil = this->moment + time;
}

auto RangeSimulation::crash(int index, std::optional<Duration> restartAfter,
                            Duration registrationDelay) -> void
{
    auto &upstream = this->upstreams.at(static_cast<std::size_t>(index));
    upstream.isUp = false;
    upstream.registrationDelay = registrationDelay;
    upstream.holds.clear();
    upstream.takenFences.clear();
    upstream.work.clear();
    if (restartAfter) {
        upstream.restartsAt = this->moment + *restartAfter;
    }
}

auto RangeSimulation::drain(int index) -> void
{
    this->upstreams.at(static_cast<std::size_t>(index)).entry.isDraining = true;
    this->grantor->setUpstreams(this->entries(), this->moment);
}

auto RangeSimulation::setEvacuated(int index, bool isEvacuated) -> void
{
    auto &entry = this->upstreams.at(static_cast<std::size_t>(index)).entry;
    entry.isEvacuated = isEvacuated;
    entry.evacuatedAt = isEvacuated ? this->moment : Instant{};
    this->grantor->setUpstreams(this->entries(), this->moment);
}

auto RangeSimulation::setHotKeys(KeyRange range, std::uint32_t requestsPerSecond) -> void
{
    this->hotRange = range;
    this->hotRequestsPerSecond = requestsPerSecond;
}

auto RangeSimulation::step() -> void
{
    this->moment += stepDuration;
    for (auto &upstream : this->upstreams) {
        if (upstream.restartsAt && *upstream.restartsAt <= this->moment) {
            upstream.restartsAt.reset();
            upstream.isUp = true;
            upstream.entry.incarnation = upstream.entry.incarnation.next();
            upstream.registersAt = this->moment + upstream.registrationDelay;
        }
        if (upstream.registersAt && *upstream.registersAt <= this->moment) {
            upstream.registersAt.reset();
            upstream.registered = upstream.entry.incarnation;
            this->grantor->setUpstreams(this->entries(), this->moment);
        }
    }
    if (this->grantorStartsAt && *this->grantorStartsAt <= this->moment) {
        this->startGrantor();
    }
    for (const auto &upstream : this->upstreams) {
        const auto isListedNow = upstream.listedFrom <= this->moment
                                 && upstream.listedFrom > this->moment - stepDuration;
        if (isListedNow) {
            this->grantor->setUpstreams(this->entries(), this->moment);
        }
    }
    this->grantor->setAreAllUpstreamsListed(this->moment >= this->restoredAt + registrationTime);
    std::vector<Delivery> due;
    std::copy_if(this->deliveries.begin(), this->deliveries.end(), std::back_inserter(due),
                 [&](const Delivery &each) { return each.executedAt <= this->moment; });
    std::erase_if(this->deliveries,
                  [&](const Delivery &each) { return each.executedAt <= this->moment; });
    for (const auto &delivery : due) {
        this->deliver(delivery);
    }
    while (!this->orderEnds.empty() && this->orderEnds.front().at <= this->moment) {
        const auto end = this->orderEnds.front();
        this->orderEnds.pop_front();
        // A later grantor doesn't learn how the orders of earlier ones end.
        if (end.grantorTerm == this->term) {
            this->grantor->onOrderEnd(end.end, this->moment);
        }
    }
    if (!this->grantorStartsAt) {
        const auto authority =
            this->isStoreDown ? Instant{} : this->moment + std::chrono::seconds{1};
        this->grantor->setAuthorityEnd(authority);
        this->grantor->advance(this->moment);
        if (this->moment >= this->nextPlanAt && !this->isStoreDown) {
            this->nextPlanAt = this->moment + planInterval;
            std::map<KeyPosition, std::uint32_t> counts;
            const auto requests = this->hotRequestsPerSecond * planInterval.count() / 1'000'000;
            for (std::int64_t number = 0; number < requests; ++number) {
                ++counts[static_cast<KeyPosition>(this->hotRange.first
                                                  + this->random() % this->hotRange.size())];
            }
            this->planner.observe(counts, this->moment);
            std::vector<UpstreamStatus> demand;
            for (const auto &upstream : this->upstreams) {
                UpstreamStatus status;
                status.id = upstream.entry.id;
                status.slots = upstream.entry.slots;
                status.expectedLatency = std::chrono::milliseconds{80};
                status.isUsable = upstream.isUp && upstream.entry.takesNewWork();
                status.isEvacuated = upstream.entry.isEvacuated;
                demand.push_back(status);
            }
            this->grantor->move(this->planner.plan(this->grantor->views(), demand, this->moment),
                                this->moment);
        }
        this->writeRecord();
    }
    for (const auto &order : this->grantor->takeOrders()) {
        Delivery delivery{this->moment + std::chrono::milliseconds{2},
                          this->moment + std::chrono::milliseconds{2},
                          this->term,
                          order,
                          true,
                          this->find(order.upstream)->entry.incarnation};
        if (order.kind == RangeOrder::Kind::Release) {
            delivery.executedAt +=
                std::chrono::milliseconds{this->random() % longestReleaseDelayMs};
        }
        if (this->chance(this->faults.unansweredOrderShare)) {
            delivery.isAnswered = false;
            const auto isLate = this->random() % 2 == 0;
            delivery.executedAt +=
                std::chrono::milliseconds{isLate ? 2000 + this->random() % 10'000 : 0};
        }
        const auto thawsAt = this->find(order.upstream)->frozenUntil;
        if (thawsAt > this->moment) {
            delivery.isAnswered = false;
            delivery.executedAt = std::max(delivery.executedAt, thawsAt);
        }
        if (!delivery.isAnswered) {
            // Also where the order is carried out only later.
            this->endOrder(this->moment + orderTimeout,
                           RangeOrderEnd{order.call, RangeOrderEnd::Kind::NoAnswer, ""});
        }
        this->deliveries.push_back(delivery);
    }
    this->checkOwners();
}

auto RangeSimulation::deliver(const Delivery &delivery) -> void
{
    auto *upstream = this->find(delivery.order.upstream);
    RangeOrderEnd end;
    end.call = delivery.order.call;
    const auto isSameIncarnation =
        upstream->isUp && upstream->entry.incarnation == delivery.incarnation;
    const auto isRelease = delivery.order.kind == RangeOrder::Kind::Release;
    auto answeredAt = this->moment;
    if (isSameIncarnation && isRelease && this->longestWork > Duration{0}) {
        answeredAt = this->startWork(*upstream, delivery.order.range);
    }
    end.kind = isSameIncarnation ? this->apply(*upstream, delivery) : RangeOrderEnd::Kind::NotSent;
    end.handover = isRelease ? "warm" : "";
    if (delivery.isAnswered && delivery.grantorTerm == this->term) {
        const auto timeoutAt = std::max(this->moment, delivery.arrivedAt + releaseTimeout);
        if (answeredAt > timeoutAt) {
            end = RangeOrderEnd{end.call, RangeOrderEnd::Kind::NoAnswer, ""};
        }
        this->endOrder(std::min(answeredAt, timeoutAt), end);
    }
}

auto RangeSimulation::startWork(Upstream &upstream, KeyRange released) -> Instant
{
    std::erase_if(upstream.work, [&](const Work &work) { return work.endsAt <= this->moment; });
    auto isHeld = false;
    for (const auto &hold : upstream.holds) {
        const KeyRange range{std::max(hold.range.first, released.first),
                             std::min(hold.range.last, released.last)};
        if (range.first > range.last || hold.endsAt <= this->moment) {
            continue;
        }
        isHeld = true;
        const auto length = static_cast<std::uint64_t>(this->longestWork.count());
        const Duration rest{static_cast<std::int64_t>(this->random() % length)};
        upstream.work.push_back(Work{range, std::min(this->moment + rest, hold.endsAt)});
    }
    auto answeredAt = this->moment;
    for (const auto &work : upstream.work) {
        const auto isReleased =
            work.range.first <= released.last && work.range.last >= released.first;
        answeredAt = isHeld && isReleased ? std::max(answeredAt, work.endsAt) : answeredAt;
    }
    return answeredAt;
}

auto RangeSimulation::endOrder(Instant endAt, const RangeOrderEnd &end) -> void
{
    const auto position = std::find_if(this->orderEnds.begin(), this->orderEnds.end(),
                                       [&](const auto &each) { return each.at > endAt; });
    this->orderEnds.insert(position, OrderEnd{endAt, this->term, end});
}

auto RangeSimulation::apply(Upstream &upstream, const Delivery &delivery) -> RangeOrderEnd::Kind
{
    const auto &order = delivery.order;
    const auto overlaps = [&](const Hold &hold) {
        return hold.range.first <= order.range.last && hold.range.last >= order.range.first;
    };
    if (order.kind == RangeOrder::Kind::Grant) {
        const auto isTooLow = std::any_of(
            upstream.takenFences.begin(), upstream.takenFences.end(),
            [&](const Hold &hold) { return overlaps(hold) && hold.fence > order.fence; });
        if (isTooLow) {
            return RangeOrderEnd::Kind::FenceTooLow;
        }
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
    if (order.kind == RangeOrder::Kind::Grant) {
        const auto holdTime = Duration{
            static_cast<std::int64_t>(static_cast<double>(order.holdTime.count()) * clockSlowdown)};
        next.push_back({order.range, order.fence, delivery.arrivedAt + holdTime});
    }
    if (order.kind == RangeOrder::Kind::Grant || this->settings.doReleasesRaiseFences) {
        upstream.takenFences.push_back({order.range, order.fence, Instant{}});
    }
    upstream.holds = std::move(next);
    return RangeOrderEnd::Kind::Accepted;
}

auto RangeSimulation::writeRecord() -> void
{
    if (this->isStoreDown) {
        return;
    }
    std::uint64_t version = 0;
    if (auto record = this->grantor->takeRecord(version)) {
        this->unwrittenRecord = std::move(record);
        this->unwrittenRecordVersion = version;
    }
    if (!this->unwrittenRecord) {
        return;
    }
    this->storedRecord = *this->unwrittenRecord;
    this->isRecordOutdated = false;
    if (this->chance(this->faults.unansweredWriteShare)) {
        return;
    }
    this->unwrittenRecord.reset();
    this->grantor->onRecordStored(this->unwrittenRecordVersion, this->moment);
}

auto RangeSimulation::checkOwners() -> void
{
    for (std::uint32_t key = 0; key < 65536; key += 65536 / sampledKeyCount) {
        auto ownerCount = 0;
        for (const auto &upstream : this->upstreams) {
            for (const auto &hold : upstream.holds) {
                if (!upstream.isUp || !hold.range.contains(static_cast<KeyPosition>(key))
                    || hold.endsAt <= this->moment) {
                    continue;
                }
                ++ownerCount;
                auto &highest = this->highestFences[static_cast<KeyPosition>(key)];
                if (hold.fence <= highest.first && highest.second != upstream.entry.id) {
                    ++this->lowFences;
                }
                if (hold.fence > highest.first) {
                    highest = {hold.fence, upstream.entry.id};
                }
            }
        }
        this->ownerConflicts += ownerCount > 1 ? 1 : 0;
        const auto isHeldBy = [&](const Upstream &upstream) {
            return upstream.isUp
                   && std::any_of(upstream.holds.begin(), upstream.holds.end(),
                                  [&](const Hold &hold) {
                                      return hold.range.contains(static_cast<KeyPosition>(key))
                                             && hold.endsAt > this->moment;
                                  });
        };
        for (const auto &worker : this->upstreams) {
            const auto isGivenOn =
                this->isAtWork(worker, static_cast<KeyPosition>(key))
                && std::any_of(this->upstreams.begin(), this->upstreams.end(),
                               [&](const Upstream &each) {
                                   return each.entry.id != worker.entry.id && isHeldBy(each);
                               });
            this->givenOnAtWork += isGivenOn ? 1 : 0;
        }
    }
}

auto RangeSimulation::isAtWork(const Upstream &upstream, KeyPosition key) const -> bool
{
    return upstream.isUp
           && std::any_of(upstream.work.begin(), upstream.work.end(), [&](const Work &work) {
                  return work.range.contains(key) && work.endsAt > this->moment;
              });
}

auto RangeSimulation::servedKeyCount() const -> std::uint32_t
{
    std::uint32_t served = 0;
    for (const auto &owned : this->grantor->owners(this->moment)) {
        const auto owner =
            std::find_if(this->upstreams.begin(), this->upstreams.end(), [&](const auto &each) {
                return owned.owner == each.entry.id && each.isUp;
            });
        if (owner == this->upstreams.end()) {
            continue;
        }
        for (const auto &hold : owner->holds) {
            const auto first = std::max(hold.range.first, owned.keys.first);
            const auto last = std::min(hold.range.last, owned.keys.last);
            if (hold.endsAt > this->moment && first <= last) {
                served += std::uint32_t{last} - first + 1;
            }
        }
    }
    return served;
}

auto RangeSimulation::timeUntilServed(Duration limit) -> Duration
{
    constexpr std::uint32_t keyCount = 65536;
    const auto start = this->moment;
    while (this->moment < start + limit && this->servedKeyCount() < keyCount) {
        this->step();
    }
    return this->moment - start;
}

auto RangeSimulation::ownerCountOf(KeyRange range) const -> std::size_t
{
    std::vector<UpstreamId> owners;
    for (const auto &owned : this->grantor->owners(this->moment)) {
        const auto overlaps = owned.keys.first <= range.last && owned.keys.last >= range.first;
        if (overlaps && owned.owner
            && std::find(owners.begin(), owners.end(), *owned.owner) == owners.end()) {
            owners.push_back(*owned.owner);
        }
    }
    return owners.size();
}

auto RangeSimulation::chance(double probability) -> bool
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

auto RangeSimulation::entries() const -> std::vector<UpstreamEntry>
{
    std::vector<UpstreamEntry> result;
    for (const auto &upstream : this->upstreams) {
        if (upstream.listedFrom <= this->moment) {
            result.push_back(upstream.entry);
            result.back().incarnation = upstream.registered;
        }
    }
    return result;
}

auto RangeSimulation::find(const UpstreamId &id) -> Upstream *
{
    const auto found = std::find_if(this->upstreams.begin(), this->upstreams.end(),
                                    [&](const auto &each) { return each.entry.id == id; });
    return found == this->upstreams.end() ? nullptr : &*found;
}

} // namespace gooseberrywall
