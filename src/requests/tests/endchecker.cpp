#include "requests/tests/endchecker.h"

#include <algorithm>
#include <sstream>

namespace gooseberrywall {

namespace {

/// RouterSettings::endMargin and one tick.
constexpr Duration endMargin = std::chrono::milliseconds{155};

auto isOwnAnswer(const CallerView &view, const RequestEnd &end) -> bool
{
    return end.status == 200 && end.body == view.request.id.value + '\n' + view.request.body;
}

/// Counts the sendings of one request that ended as refused although they ran. A run counts for the
/// last sending before it. Counting stops at the first sending of unknown end, since later runs may
/// belong to that one.
auto countRefusedThatRan(const std::vector<const CallerView *> &views,
                         const std::vector<RunRecord> &runs) -> int
{
    int count = 0;
    for (std::size_t index = 0; index < views.size(); ++index) {
        const auto &view = *views[index];
        const bool isCertain = view.ends.size() == 1 && view.ends[0].kind != EndKind::Unknown;
        if (!isCertain) {
            break;
        }
        const auto until = index + 1 < views.size() ? views[index + 1]->sentAt : Instant::max();
        const bool ran = std::any_of(runs.begin(), runs.end(), [&](const RunRecord &run) {
            return run.start >= view.sentAt && run.start < until;
        });
        count += ran && view.ends[0].kind == EndKind::Refused ? 1 : 0;
    }
    return count;
}

} // namespace

auto Violations::text() const -> std::string
{
    std::ostringstream text;
    text << "double_runs=" << this->doubleRuns << " refused_that_ran=" << this->refusedThatRan
         << " wrong_answers=" << this->wrongAnswers << " without_end=" << this->withoutEnd
         << " several_ends=" << this->severalEnds << " late_ends=" << this->lateEnds;
    return text.str();
}

auto checkEnds(TestCell &cell, const std::vector<std::string> &upstreams,
               const std::set<std::size_t> &abandoned) -> Violations
{
    Violations found;
    std::map<RequestId, std::vector<RunRecord>> runs;
    for (const auto &id : upstreams) {
        for (const auto &record : cell.model(id).runs().records()) {
            runs[record.id].push_back(record);
        }
    }
    for (const auto &[id, records] : runs) {
        found.doubleRuns += !records.front().idempotent && records.size() > 1 ? 1 : 0;
    }
    std::map<RequestId, std::vector<const CallerView *>> viewsById;
    for (std::size_t index = 0; index < cell.callers().size(); ++index) {
        const auto &view = cell.callers()[index];
        viewsById[view.request.id].push_back(&view);
        if (abandoned.contains(index)) {
            continue;
        }
        found.withoutEnd += view.ends.empty() ? 1 : 0;
        found.severalEnds += view.ends.size() > 1 ? 1 : 0;
        found.lateEnds += view.endedAt > view.request.deadline + endMargin ? 1 : 0;
        for (const auto &end : view.ends) {
            const bool isAnswer = end.kind == EndKind::Answer;
            found.wrongAnswers += isAnswer && !isOwnAnswer(view, end) ? 1 : 0;
        }
    }
    for (const auto &[id, views] : viewsById) {
        found.refusedThatRan += countRefusedThatRan(views, runs[id]);
    }
    return found;
}

} // namespace gooseberrywall
