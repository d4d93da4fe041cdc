#include "dispatch/retrywindow.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <vector>

using namespace gooseberrywall;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration window = seconds{10};
constexpr Instant start{seconds{100}};

/// @returns how many retries the window allows at this moment, which are taken
auto takeAll(RetryWindow &retries, Instant now) -> int
{
    auto taken = 0;
    while (retries.tryTake(now)) {
        ++taken;
    }
    return taken;
}

} // namespace

// Guards against a successor that allows all extra retries at its election.
SCENARIO("RetryWindow: given authority since a moment, extra retries are earned over the window",
         "[dispatch][retrybudget]")
{
    RetryWindow retries(RetryWindowSettings{0.2, 100, window, 0.5});
    retries.setAuthority(AuthorityPeriod{start, Instant::max()});
    CHECK(takeAll(retries, start) == 0);
    CHECK(takeAll(retries, start + seconds{2}) == 10);
    CHECK(takeAll(retries, start + seconds{5}) == 15);
    CHECK(takeAll(retries, start + seconds{10}) == 25);
    CHECK(takeAll(retries, start + seconds{11}) == 0);
    CHECK(takeAll(retries, start + seconds{30}) == 50);
}

// Guards against retries of first attempts that a successor refuses as it has earned nothing.
SCENARIO("RetryWindow: given no authority yet, first attempts still allow retries",
         "[dispatch][retrybudget]")
{
    RetryWindow retries(RetryWindowSettings{0.2, 100, window, 0.5});
    retries.setAuthority(AuthorityPeriod{start, start});
    for (auto number = 0; number < 100; ++number) {
        retries.onRequest(start);
    }
    CHECK(takeAll(retries, start) == 10);
}

// Guards against a replaced grantor that goes on to allow extra retries beside its successors.
SCENARIO("RetryWindow: given the end of the authority, extra retries end with the window",
         "[dispatch][retrybudget]")
{
    RetryWindow retries(RetryWindowSettings{0.2, 100, window, 0.5});
    retries.setAuthority(AuthorityPeriod{Instant::min(), start});
    CHECK(takeAll(retries, start + seconds{4}) == 30);
    CHECK(takeAll(retries, start + seconds{15}) == 0);
    CHECK(takeAll(retries, start + seconds{60}) == 0);
}

// Guards against grantors that allow more than the budget together: each has its time of authority,
// and goes on to allow what it can, as one does that hasn't heard of its successor.
SCENARIO("RetryWindow: given grantors in turn of which none stops, the budget holds",
         "[dispatch][retrybudget]")
{
    constexpr double extra = 144;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        std::mt19937_64 random(seed);
        std::vector<RetryWindow> grantors;
        std::vector<AuthorityPeriod> periods;
        auto from = start - 3 * window;
        for (auto number = 0; number < 12; ++number) {
            const auto until = from + milliseconds{random() % (number == 0 ? 40000 : 9000)};
            periods.push_back(AuthorityPeriod{from, until});
            grantors.emplace_back(RetryWindowSettings{0, extra, window});
            from = until;
        }
        std::deque<Instant> taken;
        std::size_t worst = 0;
        for (auto now = start; now < from + window; now += milliseconds{50}) {
            for (std::size_t number = 0; number < grantors.size(); ++number) {
                if (now < periods[number].from) {
                    continue;
                }
                // A grantor learns of its authority's end only when it has come.
                grantors[number].setAuthority(
                    AuthorityPeriod{periods[number].from, std::min(periods[number].until, now)});
                // Callers use the allowance at some moments only.
                if (random() % 40 == 0) {
                    taken.insert(taken.end(),
                                 static_cast<std::size_t>(takeAll(grantors[number], now)), now);
                }
            }
            while (!taken.empty() && taken.front() <= now - window) {
                taken.pop_front();
            }
            worst = std::max(worst, taken.size());
        }
        INFO("seed " << seed);
        CHECK(static_cast<double>(worst) <= extra);
    }
}
