#include "stubs/upstream/runlog.h"

#include <unordered_map>
#include <utility>

namespace gooseberrywall {

RunLog::RunLog(std::size_t capacity)
    : capacity(capacity)
{
}

auto RunLog::start(RunRecord record) -> RunNumber
{
    this->kept.push_back(std::move(record));
    this->startedCount += 1;
    if (this->observer != nullptr) {
        this->observer(RunNumber{this->startedCount}, this->kept.back());
    }
    if (this->kept.size() > this->capacity) {
        this->kept.pop_front();
        this->droppedCount += 1;
    }
    return RunNumber{this->startedCount};
}

auto RunLog::finish(RunNumber run, Instant end, RunStatus status, bool effect) -> void
{
    this->effectCount += effect ? 1 : 0;
    if (run.value <= this->droppedCount) {
        return;
    }
    auto &record = this->kept.at(run.value - this->droppedCount - 1);
    record.end = end;
    record.status = status;
    record.effect = effect;
    if (this->observer != nullptr) {
        this->observer(run, record);
    }
}

auto RunLog::doubleRuns() const -> std::vector<RequestId>
{
    std::unordered_map<RequestId, int> starts;
    std::vector<RequestId> found;
    for (const auto &record : this->kept) {
        if (record.idempotent) {
            continue;
        }
        starts[record.id] += 1;
        if (starts[record.id] == 2) {
            found.push_back(record.id);
        }
    }
    return found;
}

} // namespace gooseberrywall
