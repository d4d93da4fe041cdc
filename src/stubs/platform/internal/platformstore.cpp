#include "stubs/platform/platformstore.h"

#include <algorithm>
#include <array>
#include <utility>

namespace gooseberrywall {

namespace {

auto withStatus(StoreStatus status) -> StoreAnswer
{
    StoreAnswer answer;
    answer.status = status;
    return answer;
}

auto isWrite(const StoreRequest &request) -> bool
{
    return std::holds_alternative<StoreCompareAndSwap>(request)
           || std::holds_alternative<StoreLease>(request)
           || std::holds_alternative<StoreLeaseRelease>(request);
}

/// Decrements the number of faults still to be simulated.
/// @returns whether there was one left
auto consumeFault(int &remaining) -> bool
{
    if (remaining <= 0) {
        return false;
    }
    remaining -= 1;
    return true;
}

} // namespace

PlatformStore::PlatformStore(std::size_t valueLimitBytes)
    : valueLimitBytes(valueLimitBytes)
{
}

auto PlatformStore::receive(Instant now, CallId call, const StoreRequest &request) -> void
{
    this->advance(now);
    this->countCall(request);
    if (this->activeFaults.down) {
        this->reply(now, call, withStatus(StoreStatus::Unavailable));
        return;
    }
    if (const auto *watch = std::get_if<StoreWatch>(&request)) {
        this->startWatch(now, call, *watch);
        return;
    }
    const auto answer =
        isWrite(request) ? this->performWrite(now, request) : this->performRequest(now, request);
    this->reply(now, call, answer);
    this->answerWatches(now);
}

auto PlatformStore::performWrite(Instant now, const StoreRequest &request) -> StoreAnswer
{
    if (consumeFault(this->activeFaults.lostWrites)) {
        return withStatus(StoreStatus::Ambiguous);
    }
    auto answer = this->performRequest(now, request);
    if (consumeFault(this->activeFaults.lostWriteAnswers)) {
        return withStatus(StoreStatus::Ambiguous);
    }
    return answer;
}

auto PlatformStore::performRequest(Instant now, const StoreRequest &request) -> StoreAnswer
{
    return std::visit(
        [this, now](const auto &call) -> StoreAnswer {
            if constexpr (std::is_same_v<std::decay_t<decltype(call)>, StoreWatch>) {
                return this->okAnswer();
            } else {
                return this->perform(now, call);
            }
        },
        request);
}

auto PlatformStore::perform(Instant, const StoreGet &call) -> StoreAnswer
{
    auto answer = this->okAnswer();
    const auto item = this->peek(call.key);
    if (!item.has_value()) {
        answer.status = StoreStatus::Conflict;
        return answer;
    }
    answer.items.push_back(*item);
    return answer;
}

auto PlatformStore::perform(Instant now, const StoreCompareAndSwap &call) -> StoreAnswer
{
    if (call.value.size() > this->valueLimitBytes) {
        return withStatus(StoreStatus::Unavailable);
    }
    const auto present = this->peek(call.key);
    const auto version = present.has_value() ? present->version : StoreVersion{};
    if (version != call.expected) {
        auto answer = this->okAnswer();
        answer.status = StoreStatus::Conflict;
        if (present.has_value()) {
            answer.items.push_back(*present);
        }
        return answer;
    }
    this->revision += 1;
    this->entries[call.key] = {call.value, version.next(), this->revision,
                               now + this->activeFaults.watchDelay};
    auto answer = this->okAnswer();
    answer.items.push_back(*this->peek(call.key));
    return answer;
}

auto PlatformStore::perform(Instant, const StoreList &call) -> StoreAnswer
{
    auto answer = this->okAnswer();
    for (auto entry = this->entries.lower_bound(call.prefix);
         entry != this->entries.end() && entry->first.starts_with(call.prefix); ++entry) {
        answer.items.push_back({entry->first, entry->second.value, entry->second.version});
    }
    return answer;
}

auto PlatformStore::perform(Instant now, const StoreLease &call) -> StoreAnswer
{
    auto answer = this->okAnswer();
    auto &lease = this->leases[call.name];
    if (lease.holder.empty() || lease.end <= now || lease.holder == call.holder) {
        lease = {call.holder, now + call.timeToLive};
    } else {
        answer.status = StoreStatus::Conflict;
    }
    answer.leaseHolder = lease.holder;
    return answer;
}

auto PlatformStore::perform(Instant now, const StoreLeaseRelease &call) -> StoreAnswer
{
    auto answer = this->okAnswer();
    const auto lease = this->leases.find(call.name);
    if (lease == this->leases.end() || lease->second.end <= now) {
        return answer;
    }
    if (lease->second.holder != call.holder) {
        answer.status = StoreStatus::Conflict;
        answer.leaseHolder = lease->second.holder;
        return answer;
    }
    this->leases.erase(lease);
    return answer;
}

auto PlatformStore::perform(Instant now, const StoreVmList &) -> StoreAnswer
{
    auto answer = this->okAnswer();
    answer.vms = this->vms.visible(now);
    return answer;
}

auto PlatformStore::startWatch(Instant now, CallId call, const StoreWatch &watch) -> void
{
    this->watches.push_back({call, watch, now + watch.timeout});
    this->answerWatches(now);
}

auto PlatformStore::answerWatches(Instant now) -> void
{
    std::vector<WaitingWatch> waiting;
    for (auto &watch : this->watches) {
        auto answer = this->watchAnswer(now, watch.watch);
        if (!answer.has_value() && watch.deadline <= now) {
            // Not the newest revision: the next watch would miss changes that watches report with
            // a delay.
            answer = this->okAnswer();
            answer->revision = watch.watch.since;
        }
        if (!answer.has_value()) {
            waiting.push_back(std::move(watch));
            continue;
        }
        this->reply(now, watch.call, std::move(*answer));
    }
    this->watches = std::move(waiting);
}

auto PlatformStore::watchAnswer(Instant now, const StoreWatch &watch) -> std::optional<StoreAnswer>
{
    auto answer = this->okAnswer();
    answer.revision = watch.since;
    const auto repeated = std::find_if(
        this->repeatedChanges.begin(), this->repeatedChanges.end(),
        [&watch](const StoreItem &item) { return item.key.starts_with(watch.prefix); });
    if (repeated != this->repeatedChanges.end()) {
        answer.items.push_back(std::move(*repeated));
        this->repeatedChanges.erase(repeated);
        return answer;
    }
    for (auto entry = this->entries.lower_bound(watch.prefix);
         entry != this->entries.end() && entry->first.starts_with(watch.prefix); ++entry) {
        const auto &[key, content] = *entry;
        if (content.revision > watch.since && content.watchableFrom <= now) {
            answer.items.push_back({key, content.value, content.version});
            answer.revision = std::max(answer.revision, content.revision);
        }
    }
    if (answer.items.empty()) {
        return std::nullopt;
    }
    if (consumeFault(this->activeFaults.doubleWatchEvents)) {
        this->repeatedChanges.push_back(answer.items.front());
    }
    return answer;
}

auto PlatformStore::advance(Instant now) -> void
{
    this->answerWatches(now);
    std::vector<DelayedReply> later;
    for (auto &entry : this->delayed) {
        if (entry.due <= now) {
            this->due.push_back(std::move(entry.reply));
            continue;
        }
        later.push_back(std::move(entry));
    }
    this->delayed = std::move(later);
}

auto PlatformStore::forget(CallId call) -> void
{
    std::erase_if(this->watches, [call](const auto &watch) { return watch.call == call; });
    std::erase_if(this->delayed, [call](const auto &entry) { return entry.reply.call == call; });
}

auto PlatformStore::takeReplies() -> std::vector<StoreReply>
{
    return std::exchange(this->due, {});
}

auto PlatformStore::nextChange() const -> std::optional<Instant>
{
    std::optional<Instant> next;
    const auto consider = [&next](Instant candidate) {
        next = next.has_value() ? std::min(*next, candidate) : candidate;
    };
    for (const auto &entry : this->delayed) {
        consider(entry.due);
    }
    for (const auto &waiting : this->watches) {
        consider(waiting.deadline);
        for (const auto &[key, content] : this->entries) {
            if (key.starts_with(waiting.watch.prefix) && content.revision > waiting.watch.since) {
                consider(content.watchableFrom);
            }
        }
    }
    return next;
}

auto PlatformStore::setFaults(Instant now, StoreFaults faults) -> void
{
    this->advance(now);
    this->activeFaults = faults;
    if (!faults.down) {
        return;
    }
    for (const auto &watch : std::exchange(this->watches, {})) {
        this->reply(now, watch.call, withStatus(StoreStatus::Unavailable));
    }
}

auto PlatformStore::peek(const std::string &key) const -> std::optional<StoreItem>
{
    const auto entry = this->entries.find(key);
    if (entry == this->entries.end()) {
        return std::nullopt;
    }
    return StoreItem{key, entry->second.value, entry->second.version};
}

auto PlatformStore::reply(Instant now, CallId call, StoreAnswer answer) -> void
{
    if (this->activeFaults.answerDelay <= Duration{0}) {
        this->due.push_back({call, std::move(answer)});
        return;
    }
    this->delayed.push_back({now + this->activeFaults.answerDelay, {call, std::move(answer)}});
}

auto PlatformStore::okAnswer() const -> StoreAnswer
{
    auto answer = withStatus(StoreStatus::Ok);
    answer.revision = this->revision;
    return answer;
}

auto PlatformStore::countCall(const StoreRequest &request) -> void
{
    auto &counts = this->callCounts;
    const std::array<std::uint64_t *, std::variant_size_v<StoreRequest>> counters{
        &counts.gets,     &counts.compareAndSwaps, &counts.lists,  &counts.leases,
        &counts.releases, &counts.watches,         &counts.vmLists};
    *counters.at(request.index()) += 1;
}

} // namespace gooseberrywall
