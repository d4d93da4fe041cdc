#pragma once

#include "protocol/types/storemessages.h"

#include <map>
#include <string>

namespace gooseberrywall {

/// A fault of one call to the store.
enum class StoreFault : std::uint8_t {
    None,
    /// Refused without effect.
    Refused,
    /// Neither takes effect nor is answered.
    Dropped,
    /// Takes effect, but the answer is lost.
    AnswerLost,
    /// Takes effect only after the call's timeout; not answered.
    Late,
};

/// A minimal store with compare-and-swap and leases.
class FakeStore
{
public:
    struct Counters
    {
        int gets = 0;
        int writes = 0;
        int leases = 0;
    };

    auto apply(Instant now, const StoreRequest &request) -> StoreAnswer
    {
        if (const auto *get = std::get_if<StoreGet>(&request)) {
            ++this->counters.gets;
            return this->read(get->key);
        }
        if (const auto *swap = std::get_if<StoreCompareAndSwap>(&request)) {
            ++this->counters.writes;
            return this->swap(*swap);
        }
        ++this->counters.leases;
        if (const auto *leaseRequest = std::get_if<StoreLease>(&request)) {
            return this->grant(now, *leaseRequest);
        }
        this->leases.clear();
        return {StoreStatus::Ok, {}, {}, 0, {}};
    }

    Counters counters;
    std::map<std::string, StoreItem> items;

private:
    struct Lease
    {
        std::string holder;
        Instant until;
    };

    auto read(const std::string &key) -> StoreAnswer
    {
        const auto item = this->items.find(key);
        if (item == this->items.end()) {
            return {StoreStatus::Conflict, {}, {}, 0, {}};
        }
        return {StoreStatus::Ok, {item->second}, {}, 0, {}};
    }

    auto swap(const StoreCompareAndSwap &request) -> StoreAnswer
    {
        auto &item = this->items[request.key];
        if (item.version != request.expected) {
            return {StoreStatus::Conflict, {item}, {}, 0, {}};
        }
        item = {request.key, request.value, item.version.next()};
        return {StoreStatus::Ok, {item}, {}, 0, {}};
    }

    auto grant(Instant now, const StoreLease &leaseRequest) -> StoreAnswer
    {
        auto &lease = this->leases[leaseRequest.name];
        if (lease.holder != leaseRequest.holder && now < lease.until) {
            return {StoreStatus::Conflict, {}, {}, 0, lease.holder};
        }
        lease = {leaseRequest.holder, now + leaseRequest.timeToLive};
        return {StoreStatus::Ok, {}, {}, 0, lease.holder};
    }

    std::map<std::string, Lease> leases;
};

} // namespace gooseberrywall
