#include "node/vmlistpoller.h"

#include <utility>

namespace gooseberrywall {

namespace {

constexpr Duration coordinatorPollInterval = std::chrono::milliseconds{500};
constexpr Duration bootstrapPollInterval = std::chrono::seconds{1};
constexpr Duration callTimeout = std::chrono::seconds{1};

} // namespace

auto VmListPoller::tick(Instant now, bool isCoordinator, bool hasTable, Outbox &out) -> void
{
    const auto isListNeeded = isCoordinator || !hasTable;
    if (!isListNeeded || this->pendingCall || now < this->nextPoll) {
        return;
    }
    this->nextPoll = now + (isCoordinator ? coordinatorPollInterval : bootstrapPollInterval);
    this->pendingCall = out.toStore(StoreVmList{}, callTimeout);
}

auto VmListPoller::onStoreAnswer(CallId call, const StoreAnswer &answer) -> bool
{
    if (call != this->pendingCall) {
        return false;
    }
    this->pendingCall.reset();
    if (answer.status == StoreStatus::Ok) {
        this->list = answer.vms;
    }
    return true;
}

auto VmListPoller::takeList() -> std::optional<std::vector<VmEntry>>
{
    return std::exchange(this->list, std::nullopt);
}

} // namespace gooseberrywall
