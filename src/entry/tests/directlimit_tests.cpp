#include "entry/directchoice.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t daemonCount = 27;
const ServiceName service{"fitment"};
const UpstreamId limited{"u0"};
const Instant start{seconds{100}};

/// The entry daemons of a fleet without a grantor, and an upstream that names a request limit in
/// each answer.
class DaemonsWithoutGrantor
{
public:
    explicit DaemonsWithoutGrantor(double limitPerSecond)
        : limit{limitPerSecond}
    {
        UpstreamEntry entry;
        entry.id = limited;
        entry.service = service;
        for (std::size_t index = 0; index < daemonCount; ++index) {
            auto &daemon = this->daemons.emplace_back(index, this->statements);
            daemon.setUpstreams({entry}, start);
            daemon.setOwners(service, {DirectOwner{KeyRange{0, 65535}, limited, Address{}}});
            daemon.setTrusted(true);
            daemon.onDaemonCount(daemonCount, start);
        }
    }

    /// Lets requests for keys of the upstream arrive at all daemons.
    auto run(double perSecond, Duration time) -> void
    {
        std::exponential_distribution<double> gap(perSecond);
        for (const auto end = this->now + time; this->now < end;) {
            this->now += Duration{static_cast<Duration::rep>(1e6 * gap(this->random))};
            auto &daemon = this->daemons[this->random() % daemonCount];
            PermitRequest request;
            request.service = service;
            request.key = KeyPosition{7};
            if (!daemon.choose(request, this->now)) {
                continue;
            }
            daemon.onSent(limited, this->now);
            daemon.onEnd(limited, AttemptEnd::Answered, this->now);
            daemon.onLimitStated(limited, this->limit, this->now, this->now);
            this->onSent();
        }
    }

    /// Lets a grantor that knows only itself announce itself for a moment.
    auto hearNewGrantor() -> void
    {
        for (auto &daemon : this->daemons) {
            daemon.onDaemonCount(daemonCount, this->now);
            daemon.onDaemonCount(1, this->now);
        }
    }
    auto setLimit(double perSecond) -> void { this->limit = RequestLimit{perSecond}; }
    /// @returns the most requests sent in four seconds
    [[nodiscard]] auto mostInWindow() const -> std::size_t { return this->worst; }
    auto forgetSends() -> void
    {
        this->sends.clear();
        this->worst = 0;
        this->total = 0;
    }
    [[nodiscard]] auto sentCount() const -> std::size_t { return this->total; }

private:
    auto onSent() -> void
    {
        this->sends.push_back(this->now);
        while (this->sends.front() <= this->now - seconds{4}) {
            this->sends.pop_front();
        }
        this->worst = std::max(this->worst, this->sends.size());
        ++this->total;
    }

    RequestLimit limit;
    UpstreamStatements statements{UpstreamStatementSettings{}};
    std::vector<DirectChoice> daemons;
    std::mt19937_64 random{5};
    Instant now = start;
    std::deque<Instant> sends;
    std::size_t worst = 0;
    std::size_t total = 0;
};

} // namespace

// Guards against daemons that, while a grantor is missing, send an upstream together more requests
// than the limit that it has named to each of them.
SCENARIO(
    "DirectChoice: given an upstream that names a request limit, the daemons without a grantor "
    "keep it together",
    "[entry][requestlimit]")
{
    const auto limit = GENERATE(0.0, 1.5, 6.5, 20.0);
    DaemonsWithoutGrantor daemons(limit);
    // Until each daemon has heard of the limit.
    daemons.run(200, seconds{8});
    daemons.hearNewGrantor();
    daemons.forgetSends();
    daemons.run(60, seconds{20});
    CHECK(static_cast<double>(daemons.mostInWindow()) <= 1.5 * limit * 4 + 5);
    THEN("half of what the upstream takes is used at least")
    {
        CHECK(static_cast<double>(daemons.sentCount()) >= 0.5 * limit * 20);
    }
    THEN("all requests are sent once it names no limit any more")
    {
        daemons.setLimit(std::numeric_limits<double>::infinity());
        daemons.run(400, seconds{60});
        daemons.forgetSends();
        daemons.run(60, seconds{10});
        CHECK(daemons.sentCount() >= 550);
    }
}
