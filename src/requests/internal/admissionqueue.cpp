#include "requests/admissionqueue.h"

#include "common/durations.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// Part of the expected cost that is kept in reserve, and time for the answer to come back.
constexpr int costReserveDivisor = 4;
constexpr Duration answerReserve = std::chrono::milliseconds{3};
/// Long work may wait for this many runs of its kind.
constexpr int patientRuns = 4;
constexpr Duration shortestRetryAfter = std::chrono::milliseconds{10};

auto neededTime(const QueuedItem &item) -> Duration
{
    return item.cost + item.cost / costReserveDivisor + answerReserve;
}

auto latestStart(const QueuedItem &item) -> Instant
{
    return item.deadline - neededTime(item);
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
    const auto [place, isNew] = this->callerQueues.try_emplace(caller);
    if (isNew) {
        place->second.share = this->shareOf(caller);
        place->second.virtualTime = this->virtualTime;
    }
    return place->second;
}

auto AdmissionQueue::expectedWait(const QueuedItem &item, const SlotUse &slots) const -> Duration
{
    const auto own = this->callerQueues.find(item.caller);
    const bool hasLine = own != this->callerQueues.end();
    const auto ownBacklog = hasLine ? own->second.classQueue(item.isLong).backlogTime : Duration{0};
    const double ownShare = hasLine ? own->second.share : this->shareOf(item.caller);
    auto ahead = ownBacklog;
    bool longWaits = slots.runningLong > 0;
    for (const auto &[caller, callerQueue] : this->callerQueues) {
        longWaits = longWaits || callerQueue.longWork.backlogTime.count() > 0;
        if (caller == item.caller) {
            continue;
        }
        const auto entitled = scaled(ownBacklog + item.cost, callerQueue.share / ownShare);
        ahead += std::min(callerQueue.classQueue(item.isLong).backlogTime, entitled);
    }
    const int longSlots = std::max(1, std::min(this->limits.longWorkSlots, slots.allowed));
    const int shortSlots = std::max(1, slots.allowed - (longWaits ? longSlots : 0));
    const int running = item.isLong ? slots.runningLong : slots.running - slots.runningLong;
    const int usable = item.isLong ? longSlots : shortSlots;
    const auto residual = running >= usable ? item.cost / 2 : Duration{0};
    return residual + ahead / usable;
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
    Duration total{0};
    for (const auto &[caller, callerQueue] : this->callerQueues) {
        shares += callerQueue.share;
        total += callerQueue.backlogTime();
    }
    return own->second.backlogTime() > scaled(total, own->second.share / shares);
}

auto AdmissionQueue::offer(Instant now, const QueuedItem &item, const SlotUse &slots) -> Admission
{
    const auto wait = this->expectedWait(item, slots);
    if (now + wait + neededTime(item) > item.deadline) {
        return this->refuse(Reason::DeadlineTooShort, wait);
    }
    const auto patience = item.isLong ? patientRuns * item.cost : Duration{0};
    const auto limit = std::max(this->limits.maximalDelay, patience);
    if (wait > limit) {
        const bool isOverShare = this->isOverShare(item);
        return this->refuse(isOverShare ? Reason::CallerShareExceeded : Reason::QueueFull,
                            wait - limit / 2);
    }
    auto admission = Admission{};
    if (this->items.size() >= this->limits.items) {
        admission = this->makeRoom(item, wait);
    }
    if (admission.reason == Reason::None) {
        this->insert(item);
    }
    return admission;
}

auto AdmissionQueue::makeRoom(const QueuedItem &item, Duration wait) -> Admission
{
    const auto weight = [](const CallerQueue &callerQueue) {
        return static_cast<double>(callerQueue.items) / callerQueue.share;
    };
    const auto heaviest = std::max_element(this->callerQueues.begin(), this->callerQueues.end(),
                                           [&weight](const auto &left, const auto &right) {
                                               return weight(left.second) < weight(right.second);
                                           });
    if (heaviest == this->callerQueues.end() || heaviest->first == item.caller) {
        return this->refuse(Reason::QueueFull, wait / 2);
    }
    auto &callerQueue = heaviest->second;
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
    ++callerQueue.items;
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
    --callerQueue.items;
    classQueue.ready.erase({latestStart(item), job});
    this->latestStarts.erase({latestStart(item), job});
    this->items.erase(found);
    this->eraseCallerQueueIfEmpty(item.caller);
}

auto AdmissionQueue::eraseCallerQueueIfEmpty(const CallerId &caller) -> void
{
    const auto callerQueue = this->callerQueues.find(caller);
    if (callerQueue->second.items == 0) {
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
    CallerQueue *best = nullptr;
    for (auto &[caller, callerQueue] : this->callerQueues) {
        const bool hasWork = !callerQueue.shortWork.ready.empty()
                             || (longAllowed && !callerQueue.longWork.ready.empty());
        if (hasWork && (best == nullptr || callerQueue.virtualTime < best->virtualTime)) {
            best = &callerQueue;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const auto &shorts = best->shortWork.ready;
    const auto &longs = best->longWork.ready;
    const bool takesLong =
        longAllowed && !longs.empty() && (shorts.empty() || *longs.begin() < *shorts.begin());
    const auto job = takesLong ? longs.begin()->second : shorts.begin()->second;
    const auto item = this->items.at(job).item;
    this->virtualTime = std::max(this->virtualTime, best->virtualTime);
    best->virtualTime += static_cast<double>(item.cost.count()) / best->share;
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
