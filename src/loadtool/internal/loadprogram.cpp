#include "loadtool/internal/loadprogram.h"

#include "loadtool/loadrunner.h"
#include "loadtool/runcollector.h"
#include "loadtool/runjson.h"

#include <chrono>
#include <event2/event.h>
#include <memory>

namespace gooseberrywall {

namespace {

using BasePointer = std::unique_ptr<event_base, decltype(&event_base_free)>;

/// The timers of a default event base have a resolution of only one millisecond.
auto makePreciseBase() -> BasePointer
{
    const std::unique_ptr<event_config, decltype(&event_config_free)> config(event_config_new(),
                                                                             &event_config_free);
    event_config_set_flag(config.get(), EVENT_BASE_FLAG_PRECISE_TIMER);
    return {event_base_new_with_config(config.get()), &event_base_free};
}

auto unixMillisNow() -> UnixMillis
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

auto finishAudit(const LoadProgramSettings &settings, const RunCollector &collector,
                 RunAudit &audit, LoadRunReport &report) -> void
{
    if (!settings.runLogDirectory.empty()) {
        report.unreadableLines = readRunLogs(settings.runLogDirectory, audit);
    } else if (settings.upstreams.empty()) {
        return;
    } else if (report.unreachableUpstreams > 0 || collector.hasSeenRestart()) {
        audit.markIncomplete();
    }
    report.audit = audit.result(report.tally.ends());
}

template<LoadTarget Target>
auto runAgainst(event_base *base, const LoadProgramSettings &settings) -> LoadRunReport
{
    Target target(base, settings.load, settings.targets, settings.connections);
    const auto stop = [base] { event_base_loopbreak(base); };
    RunAudit audit;
    RunCollector collector(base, settings.upstreams, audit);
    if (settings.auditInterval > Duration{0} && !settings.upstreams.empty()) {
        collector.pollEvery(settings.auditInterval);
    }
    LoadRunner<Target> runner(base, RequestMix(settings.load, unixMillisNow()), target,
                              settings.load.resends, stop);
    runner.start();
    event_base_dispatch(base);
    const auto elapsed = runner.elapsed();
    if (settings.queriesOutcomes && !runner.tally().unresolved().empty()) {
        runner.queryOutcomes(stop);
        event_base_dispatch(base);
    }
    LoadRunReport report;
    report.tally = runner.tally();
    report.elapsed = elapsed;
    if (!settings.upstreams.empty()) {
        collector.collect(stop);
        event_base_dispatch(base);
        report.unreachableUpstreams = collector.unreachableCount();
    }
    finishAudit(settings, collector, audit, report);
    return report;
}

} // namespace

auto runLoad(const LoadProgramSettings &settings) -> LoadRunReport
{
    const auto base = makePreciseBase();
    if (settings.direct) {
        return runAgainst<DirectTarget>(base.get(), settings);
    }
    return runAgainst<DaemonTarget>(base.get(), settings);
}

} // namespace gooseberrywall
