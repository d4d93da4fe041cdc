#include "loadtool/loadreport.h"

#include <iomanip>
#include <nlohmann/json.hpp>
#include <sstream>

namespace gooseberrywall {

namespace {

using nlohmann::json;

constexpr double microsPerSecond = 1e6;
constexpr double microsPerMilli = 1e3;

auto answersPerSecond(const LoadRunReport &report) -> double
{
    const auto seconds = static_cast<double>(report.elapsed.count()) / microsPerSecond;
    return static_cast<double>(report.tally.count(CallEndKind::Answer)) / seconds;
}

auto millis(Duration span) -> double
{
    return static_cast<double>(span.count()) / microsPerMilli;
}

auto auditJson(const LoadRunReport &report) -> json
{
    const auto &audit = *report.audit;
    return {{"runs", audit.runs},
            {"dropped", audit.dropped},
            {"unreachable_upstreams", report.unreachableUpstreams},
            {"double_runs", audit.doubleRuns},
            {"double_effects", audit.doubleEffects},
            {"overlapping_owners", audit.overlappingOwners},
            {"refused_but_run", audit.refusedButRun},
            {"answered_without_run", audit.answeredWithoutRun},
            {"unaudited_answers", audit.unauditedAnswers},
            {"unreadable_lines", report.unreadableLines}};
}

} // namespace

auto toText(const LoadRunReport &report) -> std::string
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(3);
    const auto &tally = report.tally;
    text << "requests " << tally.total() << " in " << millis(report.elapsed) / microsPerMilli
         << " s, " << answersPerSecond(report) << " answers/s, resends " << tally.resends() << '\n';
    for (int kind = 0; kind < callEndKinds; ++kind) {
        const auto end = static_cast<CallEndKind>(kind);
        text << "  " << toString(end) << ' ' << tally.count(end) << '\n';
    }
    for (const auto &[reason, count] : tally.reasons()) {
        text << "    " << reason << ' ' << count << '\n';
    }
    if (!tally.unresolved().empty()) {
        text << "unresolved " << tally.unresolved().size() << ", asked for: answer "
             << tally.outcomeQueries(CallEndKind::Answer) << " refused "
             << tally.outcomeQueries(CallEndKind::Refused) << " unknown "
             << tally.outcomeQueries(CallEndKind::Unknown) << '\n';
    }
    const auto latencies = tally.latencies();
    text << "latency ms: p50 " << millis(latencies.p50) << " p90 " << millis(latencies.p90)
         << " p99 " << millis(latencies.p99) << " p99.9 " << millis(latencies.p999) << " max "
         << millis(latencies.longest) << '\n';
    if (const auto gap = tally.longestUnavailability(report.elapsed)) {
        text << "longest unavailability ms: at least " << millis(gap->atLeast) << ", at most "
             << millis(gap->atMost) << ", of " << gap->key.value << " from " << millis(gap->start)
             << '\n';
    }
    if (report.audit.has_value()) {
        text << "audit: " << auditJson(report).dump() << '\n';
    }
    return text.str();
}

auto toJsonText(const LoadRunReport &report) -> std::string
{
    const auto &tally = report.tally;
    auto ends = json::object();
    for (int kind = 0; kind < callEndKinds; ++kind) {
        const auto end = static_cast<CallEndKind>(kind);
        ends[std::string(toString(end))] = tally.count(end);
    }
    const auto latencies = tally.latencies();
    json result{{"requests", tally.total()},
                {"elapsed_us", report.elapsed.count()},
                {"answers_per_second", answersPerSecond(report)},
                {"resends", tally.resends()},
                {"unresolved", tally.unresolved().size()},
                {"inquiries",
                 {{"answer", tally.outcomeQueries(CallEndKind::Answer)},
                  {"refused", tally.outcomeQueries(CallEndKind::Refused)},
                  {"unknown", tally.outcomeQueries(CallEndKind::Unknown)}}},
                {"ends", std::move(ends)},
                {"reasons", tally.reasons()},
                {"latency_us",
                 {{"p50", latencies.p50.count()},
                  {"p90", latencies.p90.count()},
                  {"p99", latencies.p99.count()},
                  {"p999", latencies.p999.count()},
                  {"max", latencies.longest.count()}}}};
    if (const auto gap = tally.longestUnavailability(report.elapsed)) {
        result["longest_unavailability"] = {{"key", gap->key.value},
                                            {"at_least_us", gap->atLeast.count()},
                                            {"at_most_us", gap->atMost.count()},
                                            {"start_us", gap->start.count()}};
    }
    if (report.audit.has_value()) {
        result["audit"] = auditJson(report);
    }
    return result.dump();
}

} // namespace gooseberrywall
