#include "common/durations.h"
#include "edge/grantorrole.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace gooseberrywall {

auto GrantorRole::onStatement(const UpstreamStatement &statement) -> void
{
    const auto isOwn =
        std::any_of(this->upstreams.begin(), this->upstreams.end(),
                    [&](const auto &entry) { return entry.id == statement.upstream; });
    if (!this->serving || !isOwn) {
        return;
    }
    this->broker->onStatement(statement, this->now());
    this->takeInChanges();
}

auto GrantorRole::takeInChanges() -> void
{
    for (auto &change : this->broker->takeChanges()) {
        if (change.kind == UpstreamChange::Kind::Answered) {
            this->statements.push_back(std::move(change.statement));
            continue;
        }
        const auto isLeaving = change.kind == UpstreamChange::Kind::Leaving;
        const auto &statement = change.statement;
        LogLine line(isLeaving                                     ? "upstream_leaving"
                     : change.kind == UpstreamChange::Kind::Paused ? "upstream_paused"
                                                                   : "upstream_resumed");
        line.with("service", this->spec.name.value)
            .with("upstream", statement.upstream.value)
            .with("entry", statement.entry.value);
        if (!statement.request.empty()) {
            line.with("request", statement.request.value);
        }
        if (!isLeaving && statement.pause) {
            line.with("pause_ms", toMilliseconds(*statement.pause));
        }
        this->log(LogLevel::Info, line);
        if (isLeaving) {
            this->leavingUpstreams[statement.upstream] = statement.incarnation;
            this->statements.push_back(std::move(change.statement));
        }
    }
}

auto GrantorRole::endLeaving() -> void
{
    std::erase_if(this->leavingUpstreams, [&](const auto &row) {
        const auto isKnown =
            std::any_of(this->upstreams.begin(), this->upstreams.end(), [&](const auto &entry) {
                return entry.id == row.first && entry.incarnation == row.second;
            });
        if (!isKnown) {
            LogLine line("upstream_left");
            line.with("service", this->spec.name.value).with("upstream", row.first.value);
            this->log(LogLevel::Info, line);
        }
        return !isKnown;
    });
}

auto GrantorRole::takeStatements() -> std::vector<UpstreamStatement>
{
    return std::exchange(this->statements, {});
}

auto GrantorRole::pausedUpstreamCount() const -> std::uint64_t
{
    return this->serving ? this->broker->pausedUpstreamCount(this->now()) : 0;
}

auto GrantorRole::busiestSharePercent() const -> std::uint64_t
{
    constexpr double percent = 100;
    const auto share = this->serving ? this->broker->busiestShare(this->now()) : std::nullopt;
    return static_cast<std::uint64_t>(std::llround(percent * share.value_or(0)));
}

} // namespace gooseberrywall
