#include "ownership/internal/operationsplanner.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

constexpr std::size_t suspectedCrashLimit = 256;
constexpr std::size_t quarantineLimit = 1024;

template<typename Value>
auto dropOldest(std::vector<Value> &list, std::size_t limit) -> void
{
    if (list.size() > limit) {
        list.erase(list.begin(), list.end() - static_cast<std::ptrdiff_t>(limit));
    }
}

auto isQuarantined(const CellRecord &record, const RequestId &id) -> bool
{
    return std::any_of(record.quarantine.begin(), record.quarantine.end(),
                       [&](const auto &entry) { return entry.id == id; });
}

auto suspectedCrashesOf(const CellRecord &record, const RequestId &id) -> int
{
    return static_cast<int>(
        std::count_if(record.suspectedCrashes.begin(), record.suspectedCrashes.end(),
                      [&](const auto &entry) { return entry.request.id == id; }));
}

auto dropSuspectedCrashes(CellRecord &record, const RequestId &id) -> void
{
    std::erase_if(record.suspectedCrashes,
                  [&](const auto &entry) { return entry.request.id == id; });
}

auto applyCrash(const PlanningContext &context, const CrashSuspects &crash, CellRecord &record)
    -> void
{
    for (const auto &suspect : crash.suspects) {
        const SuspectedCrash suspectedCrash{suspect, crash.upstream, crash.incarnation};
        const auto isKnown = std::find(record.suspectedCrashes.begin(),
                                       record.suspectedCrashes.end(), suspectedCrash)
                             != record.suspectedCrashes.end();
        if (isKnown || isQuarantined(record, suspect.id)) {
            continue;
        }
        record.suspectedCrashes.push_back(suspectedCrash);
        const auto limit = context.cellView.policies.of(suspect.service).quarantineAfterCrashes;
        if (suspectedCrashesOf(record, suspect.id) >= limit) {
            dropSuspectedCrashes(record, suspect.id);
            record.quarantine.push_back(suspect);
        }
    }
    dropOldest(record.suspectedCrashes, suspectedCrashLimit);
    dropOldest(record.quarantine, quarantineLimit);
}

auto applyOrder(const PlanningContext &context, const OperatorOrder &order, CellRecord &record)
    -> void
{
    if (order.action == OperatorAction::LiftQuarantine) {
        const RequestId id{order.subject};
        std::erase_if(record.quarantine, [&](const auto &entry) { return entry.id == id; });
        dropSuspectedCrashes(record, id);
        return;
    }
    const auto entry =
        std::find_if(record.upstreams.begin(), record.upstreams.end(),
                     [&](const auto &upstream) { return upstream.id.value == order.subject; });
    if (entry == record.upstreams.end()) {
        return;
    }
    entry->drainOrdered = order.action == OperatorAction::Drain;
    const auto *vm = context.cellView.vm(entry->id.value);
    const auto isLeaving = vm != nullptr && vm->state == VmState::Leaving;
    if (!entry->drainOrdered && !isLeaving && entry->state == UpstreamState::Leaving) {
        entry->state = UpstreamState::Live;
    }
}

} // namespace

auto applyOperations(const PlanningContext &context, CellRecord &record) -> void
{
    // Before the crash reports, since crashes that are still reported came after these completions.
    for (const auto &request : context.reports.clearedRequests()) {
        std::erase_if(record.suspectedCrashes, [&](const auto &suspectedCrash) {
            return suspectedCrash.request == request;
        });
    }
    for (const auto &crash : context.reports.crashReports()) {
        applyCrash(context, crash, record);
    }
    for (const auto &order : context.reports.operatorOrders()) {
        applyOrder(context, order, record);
    }
}

} // namespace gooseberrywall
