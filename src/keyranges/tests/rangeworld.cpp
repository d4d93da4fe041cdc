#include "keyranges/tests/rangeworld.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

constexpr Duration stepTime = std::chrono::milliseconds{10};
constexpr Duration orderTimeout = std::chrono::milliseconds{600};
constexpr Duration planEvery = std::chrono::milliseconds{300};
/// Work that a release waits for.
constexpr int longestWorkMs = 300;
constexpr double slowClock = 1.02;
constexpr int sampledKeys = 64;

} // namespace

RangeWorld::RangeWorld(std::uint64_t seed, int upstreamCount, RangeWorldFaults faults)
    : random(seed)
    , faults(faults)
    , planner(RangePlannerSettings{})
{
    for (auto index = 0; index < upstreamCount; ++index) {
        Upstream upstream;
        upstream.entry.id = UpstreamId{"u" + std::to_string(index)};
        upstream.entry.address = Address{"10.0.0." + std::to_string(index + 1) + ":80"};
        upstream.entry.slots = 3;
        upstream.entry.life = Incarnation{1};
        this->upstreams.push_back(upstream);
    }
    this->startGrantor();
}

auto RangeWorld::startGrantor() -> void
{
    this->grantor = std::make_unique<RangeGrantor>(this->settings, this->term);
    this->grantor->setUpstreams(this->entries(), this->moment);
    this->grantor->adopt(this->stored, this->moment);
    this->unwritten.reset();
    this->grantorStartsAt.reset();
}

auto RangeWorld::run(Duration time) -> void
{
    const auto end = this->moment + time;
    while (this->moment < end) {
        this->step();
    }
}

auto RangeWorld::replaceGrantor(Duration pause) -> void
{
    ++this->term;
    this->grantor->setAuthorityEnd(Instant{});
    this->grantorStartsAt = this->moment + pause;
}

auto RangeWorld::crash(int index, std::optional<Duration> returnAfter) -> void
{
    auto &upstream = this->upstreams.at(static_cast<std::size_t>(index));
    upstream.isUp = false;
    upstream.holds.clear();
    upstream.seen.clear();
    if (returnAfter) {
        upstream.returnsAt = this->moment + *returnAfter;
    }
}

auto RangeWorld::drain(int index) -> void
{
    this->upstreams.at(static_cast<std::size_t>(index)).entry.isDraining = true;
    this->grantor->setUpstreams(this->entries(), this->moment);
}

auto RangeWorld::setHotKeys(KeySpan span, std::uint32_t perSecond) -> void
{
    this->hotSpan = span;
    this->hotPerSecond = perSecond;
}

auto RangeWorld::step() -> void
{
    this->moment += stepTime;
    for (auto &upstream : this->upstreams) {
        if (upstream.returnsAt && *upstream.returnsAt <= this->moment) {
            upstream.returnsAt.reset();
            upstream.isUp = true;
            upstream.entry.life = upstream.entry.life.next();
            this->grantor->setUpstreams(this->entries(), this->moment);
        }
    }
    if (this->grantorStartsAt && *this->grantorStartsAt <= this->moment) {
        this->startGrantor();
    }
    std::vector<Delivery> due;
    std::copy_if(this->deliveries.begin(), this->deliveries.end(), std::back_inserter(due),
                 [&](const Delivery &each) { return each.at <= this->moment; });
    std::erase_if(this->deliveries, [&](const Delivery &each) { return each.at <= this->moment; });
    for (const auto &delivery : due) {
        this->deliver(delivery);
    }
    while (!this->ends.empty() && this->ends.front().first <= this->moment) {
        const auto end = this->ends.front().second;
        this->ends.pop_front();
        this->grantor->onOrderEnd(end, this->moment);
    }
    if (!this->grantorStartsAt) {
        const auto authority =
            this->isStoreDown ? Instant{} : this->moment + std::chrono::seconds{1};
        this->grantor->setAuthorityEnd(authority);
        this->grantor->advance(this->moment);
        if (this->moment >= this->planAt && !this->isStoreDown) {
            this->planAt = this->moment + planEvery;
            std::map<KeyPosition, std::uint32_t> counts;
            const auto requests = this->hotPerSecond * planEvery.count() / 1'000'000;
            for (std::int64_t number = 0; number < requests; ++number) {
                ++counts[static_cast<KeyPosition>(this->hotSpan.first
                                                  + this->random() % this->hotSpan.size())];
            }
            this->planner.observe(counts, this->moment);
            std::vector<UpstreamDemand> demand;
            for (const auto &upstream : this->upstreams) {
                demand.push_back(UpstreamDemand{upstream.entry.id, upstream.entry.slots,
                                                std::chrono::milliseconds{80}, 0,
                                                upstream.isUp && !upstream.entry.isDraining});
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
                          this->find(order.upstream)->entry.life};
        if (order.kind == RangeOrder::Kind::Release) {
            delivery.at += std::chrono::milliseconds{this->random() % longestWorkMs};
        }
        if (this->chance(this->faults.unanswered)) {
            delivery.isAnswered = false;
            const auto isLate = this->random() % 2 == 0;
            delivery.at += std::chrono::milliseconds{isLate ? 2000 + this->random() % 10'000 : 0};
        }
        this->deliveries.push_back(delivery);
    }
    this->checkOwners();
}

auto RangeWorld::deliver(const Delivery &delivery) -> void
{
    auto *upstream = this->find(delivery.order.upstream);
    const auto isCurrent = delivery.grantor == this->term;
    RangeOrderEnd end;
    end.call = delivery.order.call;
    const auto isSameLife = upstream->isUp && upstream->entry.life == delivery.life;
    end.kind = isSameLife ? this->apply(*upstream, delivery) : RangeOrderEnd::Kind::NotSent;
    end.handover = delivery.order.kind == RangeOrder::Kind::Release ? "warm" : "";
    if (!isCurrent) {
        return;
    }
    if (delivery.isAnswered) {
        this->ends.emplace_back(this->moment, end);
        return;
    }
    end.kind = RangeOrderEnd::Kind::NoAnswer;
    const auto at = std::max(this->moment, delivery.arrived + orderTimeout);
    const auto place = std::find_if(this->ends.begin(), this->ends.end(),
                                    [&](const auto &each) { return each.first > at; });
    this->ends.insert(place, {at, end});
}

auto RangeWorld::apply(Upstream &upstream, const Delivery &delivery) -> RangeOrderEnd::Kind
{
    const auto &order = delivery.order;
    const auto overlaps = [&](const Hold &hold) {
        return hold.span.first <= order.range.last && hold.span.last >= order.range.first;
    };
    if (order.kind == RangeOrder::Kind::Grant) {
        const auto isTooLow =
            std::any_of(upstream.seen.begin(), upstream.seen.end(), [&](const Hold &hold) {
                return overlaps(hold) && hold.fence > order.fence;
            });
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
        if (hold.span.first < order.range.first) {
            next.push_back({{hold.span.first, static_cast<KeyPosition>(order.range.first - 1)},
                            hold.fence,
                            hold.until});
        }
        if (hold.span.last > order.range.last) {
            next.push_back({{static_cast<KeyPosition>(order.range.last + 1), hold.span.last},
                            hold.fence,
                            hold.until});
        }
    }
    if (order.kind == RangeOrder::Kind::Grant) {
        const auto hold = Duration{
            static_cast<std::int64_t>(static_cast<double>(order.holdTime.count()) * slowClock)};
        next.push_back({order.range, order.fence, delivery.arrived + hold});
        upstream.seen.push_back({order.range, order.fence, Instant{}});
    }
    upstream.holds = std::move(next);
    return RangeOrderEnd::Kind::Accepted;
}

auto RangeWorld::writeRecord() -> void
{
    if (this->isStoreDown) {
        return;
    }
    std::uint64_t version = 0;
    if (auto record = this->grantor->takeRecord(version)) {
        this->unwritten = std::move(record);
        this->unwrittenVersion = version;
    }
    if (!this->unwritten) {
        return;
    }
    this->stored = *this->unwritten;
    if (this->chance(this->faults.uncertainWrites)) {
        return;
    }
    this->unwritten.reset();
    this->grantor->onRecordStored(this->unwrittenVersion, this->moment);
}

auto RangeWorld::checkOwners() -> void
{
    for (std::uint32_t key = 0; key < 65536; key += 65536 / sampledKeys) {
        auto owners = 0;
        for (const auto &upstream : this->upstreams) {
            for (const auto &hold : upstream.holds) {
                if (!upstream.isUp || !hold.span.contains(static_cast<KeyPosition>(key))
                    || hold.until <= this->moment) {
                    continue;
                }
                ++owners;
                auto &highest = this->fences[static_cast<KeyPosition>(key)];
                if (hold.fence <= highest.first && highest.second != upstream.entry.id) {
                    ++this->tooLow;
                }
                if (hold.fence > highest.first) {
                    highest = {hold.fence, upstream.entry.id};
                }
            }
        }
        this->doubles += owners > 1 ? 1 : 0;
    }
}

auto RangeWorld::servedKeys() const -> std::uint32_t
{
    std::uint32_t served = 0;
    for (const auto &span : this->grantor->owners(this->moment)) {
        const auto owner =
            std::find_if(this->upstreams.begin(), this->upstreams.end(), [&](const auto &each) {
                return span.owner == each.entry.id && each.isUp;
            });
        if (owner == this->upstreams.end()) {
            continue;
        }
        for (const auto &hold : owner->holds) {
            const auto first = std::max(hold.span.first, span.span.first);
            const auto last = std::min(hold.span.last, span.span.last);
            if (hold.until > this->moment && first <= last) {
                served += std::uint32_t{last} - first + 1;
            }
        }
    }
    return served;
}

auto RangeWorld::ownersOf(KeySpan span) const -> std::size_t
{
    std::vector<UpstreamId> owners;
    for (const auto &owned : this->grantor->owners(this->moment)) {
        const auto overlaps = owned.span.first <= span.last && owned.span.last >= span.first;
        if (overlaps && owned.owner
            && std::find(owners.begin(), owners.end(), *owned.owner) == owners.end()) {
            owners.push_back(*owned.owner);
        }
    }
    return owners.size();
}

auto RangeWorld::chance(double probability) -> bool
{
    return std::uniform_real_distribution<double>(0, 1)(this->random) < probability;
}

auto RangeWorld::entries() const -> std::vector<UpstreamEntry>
{
    std::vector<UpstreamEntry> result;
    for (const auto &upstream : this->upstreams) {
        result.push_back(upstream.entry);
    }
    return result;
}

auto RangeWorld::find(const UpstreamId &id) -> Upstream *
{
    const auto found = std::find_if(this->upstreams.begin(), this->upstreams.end(),
                                    [&](const auto &each) { return each.entry.id == id; });
    return found == this->upstreams.end() ? nullptr : &*found;
}

} // namespace gooseberrywall
