#pragma once

#include "http/clocktimer.h"
#include "http/httppool.h"
#include "loadtool/runaudit.h"

#include <functional>
#include <map>
#include <vector>

namespace gooseberrywall {

/// Fetches the runs of upstream stand-ins for an audit.
class RunCollector
{
public:
    /// @param base runs the calls; must outlive this
    /// @param upstreams the addresses of the stand-ins
    /// @param audit receives the runs
    RunCollector(event_base *base, std::vector<Address> upstreams, RunAudit &audit);

    /// Fetches new runs periodically, so that few are lost when a stand-in crashes.
    auto pollEvery(Duration time) -> void;

    /// Fetches new runs of all upstreams.
    /// @param done called when all upstreams have answered or failed
    auto collect(std::function<void()> done) -> void;

    /// @returns whether an upstream has restarted, so that records of runs may be lost
    [[nodiscard]] auto hasSeenRestart() const -> bool { return this->restartSeen; }

    /// @returns the number of upstreams whose last fetch failed
    [[nodiscard]] auto unreachableCount() const -> std::size_t;

private:
    struct Source
    {
        Incarnation incarnation;
        /// Number of the last run up to which all runs have ended and were fetched.
        std::uint64_t completeUpTo = 0;
        bool reachable = true;
    };

    auto fetch(const Address &upstream, std::uint64_t after, std::function<void()> done) -> void;
    /// @returns the number of the last run in the answer, or nothing if it has none
    auto processAnswer(const Address &upstream, const HttpAnswer &answer)
        -> std::optional<std::uint64_t>;
    auto readPage(const Address &upstream, const std::string &body) -> std::optional<std::uint64_t>;
    auto poll() -> void;

    std::vector<Address> upstreams;
    RunAudit &audit;
    std::map<Address, Source> sources;
    HttpPool pool;
    ClockTimer timer;
    Duration interval{0};
    bool restartSeen = false;
};

} // namespace gooseberrywall
