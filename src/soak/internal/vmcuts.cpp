#include "soak/vmcuts.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

/// From this time after a cut began, its daemon has to serve, and from this time after it ended
/// the daemon counts as any other.
constexpr Duration contactTime = std::chrono::seconds{3};
constexpr Duration shortestCut = std::chrono::seconds{5};
constexpr int longestCutExtraMs = 5000;
/// First tries at daemons that are cut off must be served at least this share as often.
constexpr double leastShare = 2.0 / 3;
/// Failures that are never too many: a number, and a share of all first tries.
constexpr int allowedFailures = 10;
constexpr int allowedOneIn = 50;

auto share(int served, int total) -> double
{
    return static_cast<double>(served) / std::max(1, total);
}

} // namespace

VmCuts::VmCuts(std::vector<std::unique_ptr<FaultProxy>> &proxies, std::size_t daemonCount,
               std::uint64_t seed)
    : proxies(proxies)
    , states(daemonCount)
    , random(seed)
{
}

auto VmCuts::advance(Instant now) -> std::string
{
    std::string text;
    for (std::size_t daemon = 0; daemon < this->states.size(); ++daemon) {
        if (this->states[daemon].endsAt && *this->states[daemon].endsAt <= now) {
            this->end(daemon, now);
            text += "end of the cut of daemon " + std::to_string(daemon) + "; ";
        }
    }
    const auto cutBefore = this->cutCount();
    const auto oneIn = cutBefore == 0 ? 2U : 4U;
    if (cutBefore + 1 >= this->states.size() || this->random() % oneIn != 0) {
        return text;
    }
    if (cutBefore == 0) {
        ++this->currentSeries;
    }
    const auto cut = static_cast<FaultProxy::Cut>(1 + this->random() % (FaultProxy::allCuts - 1));
    const auto wanted = 1 + this->random() % (this->states.size() - 1 - cutBefore);
    const auto endsAt =
        now + shortestCut
        + std::chrono::milliseconds{static_cast<int>(this->random() % longestCutExtraMs)};
    text += "cut " + std::to_string(static_cast<int>(cut)) + " of daemons";
    for (std::size_t begun = 0; begun < wanted;) {
        const auto daemon = static_cast<std::size_t>(this->random() % this->states.size());
        auto &state = this->states[daemon];
        if (state.endsAt) {
            continue;
        }
        state.begunAt = now;
        state.endsAt = endsAt;
        for (const auto &proxy : this->proxies) {
            proxy->setCut(static_cast<int>(daemon), cut);
        }
        text += " " + std::to_string(daemon);
        ++begun;
    }
    return text;
}

auto VmCuts::clear(Instant now) -> void
{
    for (std::size_t daemon = 0; daemon < this->states.size(); ++daemon) {
        if (this->states[daemon].endsAt) {
            this->end(daemon, now);
        }
    }
}

auto VmCuts::end(std::size_t daemon, Instant now) -> void
{
    this->states[daemon].endsAt.reset();
    this->states[daemon].lastEnd = now;
    for (const auto &proxy : this->proxies) {
        proxy->setCut(static_cast<int>(daemon), FaultProxy::Cut::None);
    }
}

auto VmCuts::cutCount() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::count_if(this->states.begin(), this->states.end(),
                      [](const State &state) { return state.endsAt.has_value(); }));
}

auto VmCuts::classify(std::size_t daemon, Instant now) const -> Try
{
    const auto isLongCut = [now](const State &state) {
        return state.endsAt && now - state.begunAt >= contactTime;
    };
    const auto &state = this->states[daemon];
    if (isLongCut(state)) {
        return Try{this->currentSeries, true};
    }
    const auto isInTouch = !state.endsAt && now - state.lastEnd >= contactTime;
    const auto isCompared = std::any_of(this->states.begin(), this->states.end(), isLongCut);
    return isInTouch && isCompared ? Try{this->currentSeries, false} : Try{};
}

auto VmCuts::onEnd(const Try &ended, bool isServed) -> void
{
    if (ended.series == 0) {
        return;
    }
    auto &counted = this->series[ended.series];
    auto &tally = ended.isAtCutDaemon ? counted.atCut : counted.atOthers;
    ++tally.total;
    tally.served += isServed ? 1 : 0;
}

auto VmCuts::violations() const -> std::vector<std::string>
{
    std::vector<std::string> result;
    for (const auto &[number, each] : this->series) {
        const auto &cut = each.atCut;
        const auto &others = each.atOthers;
        const auto failed = cut.total - cut.served;
        const auto isWorse =
            share(cut.served, cut.total) < leastShare * share(others.served, others.total);
        if (isWorse && failed > allowedFailures + (cut.total + others.total) / allowedOneIn) {
            result.push_back("cuts " + std::to_string(number)
                             + ": daemons cut off from all "
                               "upstreams served "
                             + std::to_string(cut.served) + " of " + std::to_string(cut.total)
                             + " first tries, the others " + std::to_string(others.served) + " of "
                             + std::to_string(others.total));
        }
    }
    return result;
}

} // namespace gooseberrywall
