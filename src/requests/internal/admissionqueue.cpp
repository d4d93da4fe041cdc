#include "requests/admissionqueue.h"

#include "common/durations.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// A request needs its expected cost, this part of it as a reserve, and time for its answer.
constexpr int costReserveDivisor = 4;
constexpr Duration answerReserve = std::chrono::milliseconds{3};
/// Long work may wait in the queue for this many times its expected cost.
constexpr int longWorkDelayFactor = 4;
constexpr Duration shortestRetryAfter = std::chrono::milliseconds{10};

auto requiredTime(const QueuedItem &item) -> Duration
{
    return item.cost + item.cost / costReserveDivisor + answerReserve;
}

auto latestStart(const QueuedItem &item) -> Instant
{
    return item.deadline - requiredTime(item);
}

} // namespace

AdmissionQueue::AdmissionQueue(QueueLimits limits)
    : limits(limits)
{
}

auto AdmissionQueue::configure(QueueLimits limits, const std::vector<CallerShare> &shares) -> void
{
    this->limits = limits;
    this->shares.clear();
    for (const auto &share : shares) {
        this->shares[share.caller] = std::max<double>(1.0, share.share);
    }
    for (auto &[caller, callerQueue] : this->callerQueues) {
        callerQueue.share = this->shareOf(caller);
    }
}

auto AdmissionQueue::shareOf(const CallerId &caller) const -> double
{
    const auto share = this->shares.find(caller);
    return share == this->shares.end() ? 1.0 : share->second;
}

auto AdmissionQueue::callerQueueOf(const CallerId &caller) -> CallerQueue &
{
    const auto [position, isNew] = this->callerQueues.try_emplace(caller);
    if (isNew) {
        position->second.share = this->shareOf(caller);
        position->second.virtualTime = this->virtualTime;
    }
    return position->second;
}

auto AdmissionQueue::expectedWait(const QueuedItem &item, const SlotUse &slots) const -> Duration
{
    const auto own = this->callerQueues.find(item.caller);
    const bool hasQueue = own != this->callerQueues.end();
    const auto ownBacklog =
        hasQueue ? own->second.classQueue(item.isLong).backlogTime : Duration{0};
    const double ownShare = hasQueue ? own->second.share : this->shareOf(item.caller);
    auto workAhead = ownBacklog;
    bool hasLongWork = slots.runningLong > 0;
    for (const auto &[caller, callerQueue] : this->callerQueues) {
        hasLongWork = hasLongWork || callerQueue.longWork.backlogTime.count() > 0;
        if (caller == item.caller) {
            continue;
        }
        const auto entitledWork = scaled(ownBacklog + item.cost, callerQueue.share / ownShare);
        workAhead += std::min(callerQueue.classQueue(item.isLong).backlogTime, entitledWork);
    }
    const int longSlots = std::max(1, std::min(this->limits.longWorkSlots, slots.allowed));
    const int shortSlots = std::max(1, slots.allowed - (hasLongWork ? longSlots : 0));
    const int running = item.isLong ? slots.runningLong : slots.running - slots.runningLong;
    const int usableSlots = item.isLong ? longSlots : shortSlots;
    const auto residual = running >= usableSlots ? item.cost / 2 : Duration{0};
    return residual + workAhead / usableSlots;
}

auto AdmissionQueue::refuse(Reason reason, Duration retryAfter) const -> Admission
{
    return {reason, std::max(retryAfter, shortestRetryAfter), {}};
}

auto AdmissionQueue::isOverShare(const QueuedItem &item) const -> bool
{
    const auto own = this->callerQueues.find(item.caller);
    if (own == this->callerQueues.end() || this->callerQueues.size() < 2) {
        return false;
    }
    double shares = 0.0;
    Duration totalBacklog{0};
    for (const auto &[caller, callerQueue] : this->callerQueues) {
        shares += callerQueue.share;
        totalBacklog += callerQueue.backlogTime();
    }
    return own->second.backlogTime() > scaled(totalBacklog, own->second.share / shares);
}

auto AdmissionQueue::offer(Instant now, const QueuedItem &item, const SlotUse &slots) -> Admission
{
    const auto wait = this->expectedWait(item, slots);
    if (now + wait + requiredTime(item) > item.deadline) {
        return this->refuse(Reason::DeadlineTooShort, wait);
    }
    const auto longWorkDelay = item.isLong ? longWorkDelayFactor * item.cost : Duration{0};
    const auto delayLimit = std::max(this->limits.maximalDelay, longWorkDelay);
    if (wait > delayLimit) {
        const bool isOverShare = this->isOverShare(item);
        return this->refuse(isOverShare ? Reason::CallerShareExceeded : Reason::QueueFull,
                            wait - delayLimit / 2);
    }
    auto admission = Admission{};
    if (this->items.size() >= this->limits.maximalItems) {
        admission = this->makeRoom(item, wait);
    }
    if (admission.reason == Reason::None) {
        this->insert(item);
    }
    return admission;
}

auto AdmissionQueue::makeRoom(const QueuedItem &item, Duration wait) -> Admission
{
    const auto itemsPerShare = [](const CallerQueue &callerQueue) {
        return static_cast<double>(callerQueue.itemCount) / callerQueue.share;
    };
    const auto largest =
        std::max_element(this->callerQueues.begin(), this->callerQueues.end(),
                         [&itemsPerShare](const auto &left, const auto &right) {
                             return itemsPerShare(left.second) < itemsPerShare(right.second);
                         });
    if (largest == this->callerQueues.end() || largest->first == item.caller) {
        return this->refuse(Reason::QueueFull, wait / 2);
    }
    auto &callerQueue = largest->second;
    auto &ready = callerQueue.shortWork.ready.empty() ? callerQueue.longWork.ready
                                                      : callerQueue.shortWork.ready;
    if (ready.empty()) {
        return this->refuse(Reason::QueueFull, wait / 2);
    }
    const auto victim = ready.rbegin()->second;
    this->remove(victim);
    return {Reason::None, Duration{0}, {victim}};
}

auto AdmissionQueue::insert(const QueuedItem &item) -> void
{
    auto &callerQueue = this->callerQueueOf(item.caller);
    auto &classQueue = callerQueue.classQueue(item.isLong);
    ++callerQueue.itemCount;
    if (item.ready) {
        classQueue.backlogTime += item.cost;
        classQueue.ready.emplace(latestStart(item), item.job);
    }
    this->latestStarts.emplace(latestStart(item), item.job);
    this->items.emplace(item.job, Entry{item, &callerQueue});
}

auto AdmissionQueue::putBack(const QueuedItem &item) -> void
{
    this->insert(item);
}

auto AdmissionQueue::markReady(JobId job) -> void
{
    const auto found = this->items.find(job);
    if (found == this->items.end() || found->second.item.ready) {
        return;
    }
    auto &entry = found->second;
    entry.item.ready = true;
    auto &classQueue = entry.callerQueue->classQueue(entry.item.isLong);
    classQueue.backlogTime += entry.item.cost;
    classQueue.ready.emplace(latestStart(entry.item), job);
}

auto AdmissionQueue::remove(JobId job) -> void
{
    const auto found = this->items.find(job);
    if (found == this->items.end()) {
        return;
    }
    const auto item = found->second.item;
    auto &callerQueue = *found->second.callerQueue;
    auto &classQueue = callerQueue.classQueue(item.isLong);
    if (item.ready) {
        classQueue.backlogTime -= item.cost;
    }
    --callerQueue.itemCount;
    classQueue.ready.erase({latestStart(item), job});
    this->latestStarts.erase({latestStart(item), job});
    this->items.erase(found);
    this->eraseCallerQueueIfEmpty(item.caller);
}

auto AdmissionQueue::eraseCallerQueueIfEmpty(const CallerId &caller) -> void
{
    const auto callerQueue = this->callerQueues.find(caller);
    if (callerQueue->second.itemCount == 0) {
        this->callerQueues.erase(callerQueue);
    }
}

auto AdmissionQueue::take(const SlotUse &slots) -> std::optional<QueuedItem>
{
    if (slots.running >= slots.allowed) {
        return std::nullopt;
    }
    const bool longAllowed =
        slots.runningLong < std::max(1, std::min(this->limits.longWorkSlots, slots.allowed));
    CallerQueue *next = nullptr;
    for (auto &[caller, callerQueue] : this->callerQueues) {
        const bool hasWork = !callerQueue.shortWork.ready.empty()
                             || (longAllowed && !callerQueue.longWork.ready.empty());
        if (hasWork && (next == nullptr || callerQueue.virtualTime < next->virtualTime)) {
            next = &callerQueue;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    const auto &shorts = next->shortWork.ready;
    const auto &longs = next->longWork.ready;
    const bool takesLong =
        longAllowed && !longs.empty() && (shorts.empty() || *longs.begin() < *shorts.begin());
    const auto job = takesLong ? longs.begin()->second : shorts.begin()->second;
    const auto item = this->items.at(job).item;
    this->virtualTime = std::max(this->virtualTime, next->virtualTime);
    next->virtualTime += static_cast<double>(item.cost.count()) / next->share;
    this->remove(job);
    return item;
}

auto AdmissionQueue::expire(Instant now) -> std::vector<JobId>
{
    std::vector<JobId> expired;
    while (!this->latestStarts.empty() && this->latestStarts.begin()->first < now) {
        const auto job = this->latestStarts.begin()->second;
        expired.push_back(job);
        this->remove(job);
    }
    return expired;
}

auto AdmissionQueue::clear() -> std::vector<JobId>
{
    std::vector<JobId> jobs;
    for (const auto &[start, job] : this->latestStarts) {
        jobs.push_back(job);
    }
    this->items.clear();
    this->latestStarts.clear();
    this->callerQueues.clear();
    return jobs;
}

} // namespace gooseberrywall
