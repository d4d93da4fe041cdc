#include "keyranges/rangeplanner.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <vector>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint32_t keyCount = 65536;
constexpr std::size_t upstreamCount = 8;
constexpr double warmUpPerSecond = 5.4;
constexpr Duration interval = milliseconds{300};
const ServiceName service{"fitment"};

/// A broker and a planner whose moves are carried out at once. Each upstream begins with an equal
/// part of the keys, and requests are for random keys.
class ColdOwnerLoad
{
public:
    explicit ColdOwnerLoad(double requestsPerSecond)
        : perSecond(requestsPerSecond)
    {
        for (std::size_t index = 0; index < upstreamCount; ++index) {
            UpstreamEntry entry;
            entry.id = UpstreamId{"u" + std::to_string(index)};
            entry.service = service;
            entry.slots = 3;
            this->entries.push_back(entry);
            const KeyRange keys{
                static_cast<KeyPosition>(keyCount * index / upstreamCount),
                static_cast<KeyPosition>(keyCount * (index + 1) / upstreamCount - 1)};
            this->views.push_back(RangeView{keys, entry.id, true, this->now});
        }
        this->broker.setWarmUpRate(warmUpPerSecond, this->now);
        this->broker.setUpstreams(this->entries, this->now);
    }

    auto run(Duration time) -> void
    {
        for (const auto end = this->now + time; this->now < end;) {
            this->now += interval;
            this->planner.observe(this->counts(), this->now);
            const auto statuses = this->broker.upstreamStatuses(this->now);
            for (const auto &move : this->planner.plan(this->views, statuses, this->now)) {
                this->apply(move);
            }
        }
    }
    /// Lets the entry of the first upstream disappear and come back, which states no warm-up.
    auto loseAndRestoreEntry() -> void
    {
        auto others = this->entries;
        others.erase(others.begin());
        this->broker.setUpstreams(others, this->now);
        this->broker.setUpstreams(this->entries, this->now);
    }
    /// Lets the entry of the first upstream state a warm-up.
    auto turnCold(Duration remaining) -> void
    {
        this->entries.front().remainingWarmUp = remaining;
        this->broker.setUpstreams(this->entries, this->now);
    }
    /// @returns the requests per second for the keys of the first upstream
    [[nodiscard]] auto loadOfFirst() const -> double
    {
        std::uint32_t keys = 0;
        for (const auto &view : this->views) {
            keys += view.owner == this->entries.front().id ? view.range.size() : 0;
        }
        return this->perSecond * keys / keyCount;
    }

private:
    auto counts() -> std::map<KeyPosition, std::uint32_t>
    {
        std::map<KeyPosition, std::uint32_t> result;
        std::poisson_distribution<int> count(this->perSecond
                                             * std::chrono::duration<double>(interval).count());
        for (auto left = count(this->random); left > 0; --left) {
            ++result[static_cast<KeyPosition>(this->random() % keyCount)];
        }
        return result;
    }

    auto apply(const RangeMove &move) -> void
    {
        std::vector<RangeView> next;
        for (const auto &view : this->views) {
            const auto first = std::max(view.range.first, move.range.first);
            const auto last = std::min(view.range.last, move.range.last);
            if (first > last) {
                next.push_back(view);
                continue;
            }
            if (view.range.first < first) {
                next.push_back(view);
                next.back().range.last = static_cast<KeyPosition>(first - 1);
            }
            next.push_back(RangeView{KeyRange{first, last}, move.target, true, this->now});
            if (view.range.last > last) {
                next.push_back(view);
                next.back().range.first = static_cast<KeyPosition>(last + 1);
            }
        }
        this->views = std::move(next);
    }

    double perSecond;
    Instant now{seconds{100}};
    std::mt19937_64 random{3};
    SlotBroker broker{service, true, SlotBrokerSettings{}, RetryWindowSettings{}, 1};
    RangePlanner planner{RangePlannerSettings{}};
    std::vector<UpstreamEntry> entries;
    std::vector<RangeView> views;
};

} // namespace

// Guards against an owner that comes back cold and keeps keys whose requests it can't serve, though
// others have room: they would be refused until its warm-up ends.
SCENARIO("RangePlanner: given an owner that comes back cold, keys move away that it can't serve",
         "[keyranges][cold]")
{
    // 12.5 requests a second for each of eight upstreams, which serve 37.5.
    GIVEN("requests that a cold owner can't serve")
    {
        ColdOwnerLoad load(100);
        load.run(seconds{8});
        REQUIRE(load.loadOfFirst() > 2 * warmUpPerSecond);
        WHEN("its entry states a warm-up")
        {
            load.turnCold(seconds{3});
            load.run(milliseconds{1500});
            CHECK(load.loadOfFirst() <= warmUpPerSecond);
        }
        WHEN("its entry disappears and is back")
        {
            load.loseAndRestoreEntry();
            load.run(milliseconds{1500});
            CHECK(load.loadOfFirst() <= warmUpPerSecond);
        }
    }
    GIVEN("few requests, which a cold owner can serve")
    {
        ColdOwnerLoad load(16);
        load.run(seconds{8});
        const auto before = load.loadOfFirst();
        load.turnCold(seconds{3});
        load.run(seconds{3});
        THEN("it keeps its keys")
        {
            CHECK(load.loadOfFirst() >= 0.75 * before);
        }
    }
}
