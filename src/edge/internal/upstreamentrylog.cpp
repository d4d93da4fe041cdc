#include "edge/upstreamentrylog.h"

#include "common/durations.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

/// Longer times say no more than "long ago".
constexpr Duration longestLoggedTime = std::chrono::hours{1};

auto loggedTime(Duration time) -> std::int64_t
{
    return toMilliseconds(std::min(time, longestLoggedTime));
}

} // namespace

UpstreamEntryLog::UpstreamEntryLog(Logger &logger)
    : logger(logger)
{
}

auto UpstreamEntryLog::update(const std::vector<UpstreamEntry> &entries,
                              const UpstreamEntryOrigin &origin) -> void
{
    std::map<UpstreamId, Logged> next;
    for (const auto &entry : entries) {
        const auto state = entry.isDraining  ? State::Draining
                           : entry.isMissing ? State::Missing
                                             : State::Ready;
        next[entry.id] = Logged{entry.incarnation, state};
    }
    // The first list would be one line for each upstream.
    const auto former = std::exchange(this->rows, next);
    if (former.empty()) {
        LogLine line("upstreams_listed");
        line.with("upstreams", static_cast<std::int64_t>(entries.size()))
            .with("revision", static_cast<std::int64_t>(numberOf(origin.revision)))
            .with("era", static_cast<std::int64_t>(eraOf(origin.revision)))
            .with("read_ms", loggedTime(origin.sinceRead));
        this->logger.write(LogLevel::Info, line.text());
        return;
    }
    for (const auto &[id, row] : next) {
        const auto before = former.find(id);
        if (before == former.end() || before->second != row) {
            this->write(id, row, origin);
        }
    }
    for (const auto &[id, row] : former) {
        if (!next.contains(id)) {
            this->write(id, Logged{row.incarnation, State::Dropped}, origin);
        }
    }
}

auto UpstreamEntryLog::toString(State state) -> std::string_view
{
    switch (state) {
    case State::Ready:
        return "ready";
    case State::Draining:
        return "draining";
    case State::Missing:
        return "missing";
    case State::Dropped:
        return "dropped";
    }
    return "ready";
}

auto UpstreamEntryLog::write(const UpstreamId &upstream, const Logged &row,
                             const UpstreamEntryOrigin &origin) -> void
{
    LogLine line("upstream_entry");
    line.with("upstream", upstream.value)
        .with("life", static_cast<std::int64_t>(row.incarnation.value))
        .with("state", toString(row.state))
        .with("by", origin.cause)
        .with("revision", static_cast<std::int64_t>(numberOf(origin.revision)))
        .with("era", static_cast<std::int64_t>(eraOf(origin.revision)))
        .with("call_ms", loggedTime(origin.sinceCall))
        .with("read_ms", loggedTime(origin.sinceRead))
        .with("failed_ms", loggedTime(origin.sinceFailure));
    this->logger.write(LogLevel::Info, line.text());
}

} // namespace gooseberrywall
