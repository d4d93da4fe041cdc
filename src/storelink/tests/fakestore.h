#pragma once

#include "storelink/types/storecalls.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// A store in virtual time with keys, leases and watches, for tests. It can refuse calls, leave
/// them unanswered, and lose answers.
class FakeStore
{
public:
    /// Refusing: refuses each call. Silent: leaves calls open until they time out. AnswersLost:
    /// executes calls, but answers Unknown.
    enum class Mode : std::uint8_t { Normal, Refusing, Silent, AnswersLost };

    /// @returns the function by which the tested class sends its calls
    auto sender() -> SendStoreCall
    {
        return [this](StoreCall call, Duration timeout, std::function<void(StoreAnswer)> done) {
            this->calls.push_back(Call{std::move(call), this->moment + timeout, std::move(done),
                                       this->moment + this->answerDelay});
            if (const auto *watch = std::get_if<StoreWatch>(&this->calls.back().call)) {
                this->calls.back().waitsUntil = this->calls.back().dueAt + watch->wait;
            }
        };
    }

    /// Takes a call that never arrives; it ends as Unknown after `timeout`.
    auto loseCall(Duration timeout, std::function<void(StoreAnswer)> done) -> void
    {
        this->lostCalls.push_back(Call{StoreGet{}, this->moment + timeout, std::move(done), {}});
    }

    /// Drops all open calls without an answer; each ends as Unknown at its time-out, or when its
    /// connection is found dead.
    auto loseOpenCalls(Duration deadConnectionTimeout) -> void
    {
        for (auto &call : std::exchange(this->calls, {})) {
            call.deadline = std::min(call.deadline, this->moment + deadConnectionTimeout);
            this->lostCalls.push_back(std::move(call));
        }
    }

    /// Moves the clock forward, ends the leases that have expired, and answers the open calls.
    auto advance(Duration step) -> void
    {
        this->moment += step;
        for (auto lease = this->data.leases.begin(); lease != this->data.leases.end();) {
            const auto isExpired =
                lease->second.expiresAt <= this->moment && !this->areLeasesPaused;
            if (isExpired) {
                this->endLease(lease->first);
                lease = this->data.leases.erase(lease);
            } else {
                ++lease;
            }
        }
        auto lost = std::exchange(this->lostCalls, {});
        for (auto &call : lost) {
            if (call.deadline <= this->moment) {
                call.done(StoreAnswer{});
            } else {
                this->lostCalls.push_back(std::move(call));
            }
        }
        auto openCalls = std::exchange(this->calls, {});
        for (auto &call : openCalls) {
            this->serve(call);
        }
    }

    auto put(const std::string &key, const std::string &value) -> void
    {
        this->write(StoreWrite{key, value, StoreLease{}});
    }

    auto remove(const std::string &key) -> void
    {
        this->data.items.erase(key);
        this->data.history.push_back(
            StoreItem{key, "", StoreRevision{++this->data.revision}, {}, {}, true});
    }

    /// Drops the history of changes: watches from an earlier revision fail.
    auto compact() -> void
    {
        this->data.compactedRevision = this->data.revision;
        this->data.history.clear();
    }

    /// Keeps a copy of the keys and leases as they are.
    auto keepCopy() -> void { this->kept = this->data; }
    /// Comes back from the copy: what was written since is gone, and revisions and leases are given
    /// out again.
    auto restoreCopy() -> void
    {
        this->data = this->kept;
        ++this->era;
    }

    [[nodiscard]] auto now() const -> Instant { return this->moment; }
    /// @returns how many calls have been executed; a watch counts when it is answered
    [[nodiscard]] auto callCount() const -> int { return this->executedCalls; }
    /// @returns how many leases have been opened, ended ones included
    [[nodiscard]] auto leaseCount() const -> std::uint64_t { return this->data.lastLeaseId; }
    [[nodiscard]] auto find(const std::string &key) const -> const StoreItem *
    {
        const auto found = this->data.items.find(key);
        return found == this->data.items.end() ? nullptr : &found->second;
    }

    Mode mode = Mode::Normal;
    bool areLeasesPaused = false;
    /// A call is executed this long after it was sent.
    Duration answerDelay{0};
    /// This share of the calls is executed and not answered.
    double lostAnswerShare = 0;
    /// Answers to watches of this prefix are lost; empty: none are.
    std::string lostWatchPrefix;
    /// Keys in one page; small, so that tests with few keys read several pages.
    std::size_t pageSize = 2;

private:
    struct Call
    {
        StoreCall call;
        Instant deadline;
        std::function<void(StoreAnswer)> done;
        /// Executed then at the earliest.
        Instant dueAt;
        /// A watch without a change is answered then.
        Instant waitsUntil = {};
    };
    struct Lease
    {
        Instant expiresAt;
        Duration timeToLive{0};
    };

    /// What a copy has.
    struct Data
    {
        std::map<std::string, StoreItem> items;
        std::vector<StoreItem> history;
        std::map<std::uint64_t, Lease> leases;
        std::uint64_t revision = 1;
        std::uint64_t compactedRevision = 0;
        std::uint64_t lastLeaseId = 0;
    };

    auto serve(Call &call) -> void
    {
        StoreAnswer answer;
        if (this->mode == Mode::Refusing) {
            answer.kind = StoreAnswer::Kind::Refused;
            answer.era = this->era;
            call.done(answer);
            return;
        }
        if (this->mode == Mode::Silent) {
            this->keepUntilTimeout(call);
            return;
        }
        if (call.dueAt > this->moment) {
            this->keepUntilTimeout(call);
            return;
        }
        auto isLost = false;
        if (const auto *watch = std::get_if<StoreWatch>(&call.call)) {
            answer = this->watch(*watch);
            if (answer.kind == StoreAnswer::Kind::Ok && answer.items.empty()
                && call.waitsUntil > this->moment) {
                this->keepUntilTimeout(call);
                return;
            }
            isLost = !this->lostWatchPrefix.empty() && watch->prefix == this->lostWatchPrefix;
        } else {
            answer = std::visit([this](const auto &each) { return this->answer(each); }, call.call);
        }
        ++this->executedCalls;
        if (this->mode == Mode::AnswersLost) {
            call.done(StoreAnswer{});
            return;
        }
        if (isLost
            || std::uniform_real_distribution<double>(0, 1)(this->random) < this->lostAnswerShare) {
            this->lostCalls.push_back(std::move(call));
            return;
        }
        answer.era = this->era;
        this->addEra(answer);
        call.done(answer);
    }

    /// Numbers go out with the era, as an adapter adds it.
    auto addEra(StoreAnswer &answer) const -> void
    {
        answer.revision = storeRevision(this->era, answer.revision.value);
        for (auto &item : answer.items) {
            item.revision = storeRevision(this->era, item.revision.value);
            item.created = storeRevision(this->era, item.created.value);
        }
    }

    auto keepUntilTimeout(Call &call) -> void
    {
        if (call.deadline <= this->moment) {
            call.done(StoreAnswer{});
            return;
        }
        this->calls.push_back(std::move(call));
    }

    auto answer(const StoreGet &call) -> StoreAnswer
    {
        StoreAnswer answer;
        const auto *item = this->find(call.key);
        answer.kind = item == nullptr ? StoreAnswer::Kind::NotFound : StoreAnswer::Kind::Ok;
        if (item != nullptr) {
            answer.items = {*item};
        }
        answer.revision = StoreRevision{this->data.revision};
        return answer;
    }

    auto answer(const StoreRange &call) -> StoreAnswer
    {
        StoreAnswer answer;
        answer.kind = StoreAnswer::Kind::Ok;
        answer.revision = StoreRevision{this->data.revision};
        for (const auto &[key, item] : this->data.items) {
            if (!key.starts_with(call.prefix) || key <= call.after) {
                continue;
            }
            if (answer.items.size() == this->pageSize) {
                answer.hasMore = true;
                break;
            }
            answer.items.push_back(item);
        }
        return answer;
    }

    auto watch(const StoreWatch &call) -> StoreAnswer
    {
        StoreAnswer answer;
        const auto after = numberOf(call.after);
        if (after > this->data.revision || after < this->data.compactedRevision) {
            answer.kind = StoreAnswer::Kind::HistoryGone;
            return answer;
        }
        answer.kind = StoreAnswer::Kind::Ok;
        answer.revision = StoreRevision{this->data.revision};
        std::copy_if(this->data.history.begin(), this->data.history.end(),
                     std::back_inserter(answer.items), [&](const StoreItem &item) {
                         return item.key.starts_with(call.prefix) && item.revision.value > after;
                     });
        return answer;
    }

    auto answer(const StoreWatch &call) -> StoreAnswer { return this->watch(call); }

    auto answer(const StoreTransaction &call) -> StoreAnswer
    {
        StoreAnswer answer;
        for (const auto &condition : call.conditions) {
            const auto *item = this->find(condition.key);
            const auto actual = item == nullptr ? StoreRevision{} : item->revision;
            if (actual.value != numberOf(condition.revision)) {
                answer.kind = StoreAnswer::Kind::ConditionFailed;
                return answer;
            }
        }
        for (const auto &write : call.writes) {
            if (write.lease.value != 0 && !this->data.leases.contains(write.lease.value)) {
                answer.kind = StoreAnswer::Kind::NotFound;
                return answer;
            }
            this->write(write);
        }
        answer.kind = StoreAnswer::Kind::Ok;
        answer.revision = StoreRevision{this->data.revision};
        return answer;
    }

    auto answer(const StoreLeaseOpen &call) -> StoreAnswer
    {
        StoreAnswer answer;
        answer.kind = StoreAnswer::Kind::Ok;
        answer.lease = StoreLease{++this->data.lastLeaseId};
        this->data.leases[this->data.lastLeaseId] =
            Lease{this->moment + call.timeToLive, call.timeToLive};
        return answer;
    }

    auto answer(const StoreLeaseRenew &call) -> StoreAnswer
    {
        StoreAnswer answer;
        const auto found = this->data.leases.find(call.lease.value);
        answer.kind =
            found == this->data.leases.end() ? StoreAnswer::Kind::NotFound : StoreAnswer::Kind::Ok;
        if (found != this->data.leases.end()) {
            found->second.expiresAt = this->moment + found->second.timeToLive;
        }
        return answer;
    }

    auto answer(const StoreLeaseEnd &call) -> StoreAnswer
    {
        this->endLease(call.lease.value);
        this->data.leases.erase(call.lease.value);
        StoreAnswer answer;
        answer.kind = StoreAnswer::Kind::Ok;
        return answer;
    }

    auto write(const StoreWrite &write) -> void
    {
        const auto known = this->data.items.find(write.key);
        StoreItem item;
        item.key = write.key;
        item.value = write.value;
        item.lease = write.lease;
        item.revision = StoreRevision{++this->data.revision};
        item.created = known == this->data.items.end() ? item.revision : known->second.created;
        this->data.items[write.key] = item;
        this->data.history.push_back(item);
    }

    auto endLease(std::uint64_t lease) -> void
    {
        std::vector<std::string> keys;
        for (const auto &[key, item] : this->data.items) {
            if (item.lease.value == lease) {
                keys.push_back(key);
            }
        }
        for (const auto &key : keys) {
            this->remove(key);
        }
    }

    Instant moment = Instant{std::chrono::seconds{10}};
    std::deque<Call> calls;
    std::deque<Call> lostCalls;
    Data data;
    Data kept;
    std::uint64_t era = 0;
    int executedCalls = 0;
    std::mt19937_64 random{5};
};

} // namespace gooseberrywall
