#include "soak/upstreamlives.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

using std::chrono::milliseconds;

/// From this time after a daemon knows of a leave, no request that is sent to it may reach the
/// upstream.
constexpr Duration drainTime = std::chrono::seconds{2};
/// Without a fault for this long, a daemon or the store counts as sound.
constexpr Duration contactTime = std::chrono::seconds{3};
/// How long an upstream that leaves still serves: past the drain time.
constexpr Duration shortestLeave = std::chrono::seconds{4};
constexpr int leaveExtraMs = 2000;
constexpr Duration shortestPause = std::chrono::seconds{1};
constexpr int pauseExtraMs = 2500;
/// Time after a rejection within which requests on their way may still come.
constexpr Duration reactionTime = milliseconds{500};
constexpr int allowedInPause = 2;
constexpr std::size_t violationLimit = 20;

} // namespace

UpstreamLives::UpstreamLives(std::vector<std::unique_ptr<KeyedUpstreamStub>> &upstreams,
                             KvStoreStub &store, OriginOf originOf, std::uint64_t seed)
    : upstreams(upstreams)
    , store(store)
    , originOf(std::move(originOf))
    , random(seed)
    , lives(upstreams.size())
{
    for (std::size_t index = 0; index < this->upstreams.size(); ++index) {
        this->upstreams[index]->setOnRequest([this, index](const MessageHead &head) {
            const auto *request = head.find("Request-Id");
            this->onRequest(index, request == nullptr ? "" : *request);
        });
    }
}

auto UpstreamLives::begin(bool isStoreStable, Instant now) -> std::string
{
    const auto upstream = static_cast<std::size_t>(this->random() % this->lives.size());
    const auto isPause = this->random() % 2 == 0;
    const auto kind = static_cast<Leave>(this->random() % allLeaves);
    const auto &service = this->upstreams[upstream]->service();
    auto serving = 0;
    for (std::size_t index = 0; index < this->lives.size(); ++index) {
        const auto &each = this->lives[index];
        serving +=
            this->upstreams[index]->service() == service && !each.isLeaving && !each.isPausing ? 1
                                                                                               : 0;
    }
    auto &life = this->lives[upstream];
    if (life.isLeaving || life.isPausing || serving < 2) {
        return {};
    }
    if (isPause) {
        life = Life{};
        life.isPausing = true;
        life.endsAt =
            now + shortestPause
            + milliseconds{static_cast<int>(this->random() % static_cast<unsigned>(pauseExtraMs))};
        this->upstreams[upstream]->pauseUntil(life.endsAt);
        return "pause of " + this->upstreams[upstream]->storeKey();
    }
    this->leave(upstream, kind, isStoreStable, now);
    return "leave " + std::to_string(static_cast<int>(kind)) + " of "
           + this->upstreams[upstream]->storeKey();
}

auto UpstreamLives::leave(std::size_t upstream, Leave kind, bool isStoreStable, Instant now) -> void
{
    auto &life = this->lives[upstream];
    auto &stub = *this->upstreams[upstream];
    life = Life{};
    life.isLeaving = true;
    life.endsAt =
        now + shortestLeave
        + milliseconds{static_cast<int>(this->random() % static_cast<unsigned>(leaveExtraMs))};
    // An upstream can't write to a store that has a fault.
    const auto isStated = kind == Leave::Answers || kind == Leave::Both || !isStoreStable;
    if (isStated) {
        stub.setExtraHeaders({HttpHeader{"Server-Leaving", "1"}});
    }
    if (!isStoreStable || kind == Leave::Answers) {
        return;
    }
    life.acknowledgedAt = now;
    life.isEntryRemoved = kind == Leave::Removed;
    life.isEntryDraining = !life.isEntryRemoved;
    this->writeEntry(upstream);
}

auto UpstreamLives::writeEntry(std::size_t upstream) -> void
{
    const auto &stub = *this->upstreams[upstream];
    const auto &life = this->lives[upstream];
    if (life.isEntryRemoved) {
        this->store.remove(stub.storeKey());
    } else {
        this->store.put(stub.storeKey(), stub.entry(life.isEntryDraining));
    }
}

auto UpstreamLives::writeEntries() -> void
{
    for (std::size_t index = 0; index < this->upstreams.size(); ++index) {
        this->writeEntry(index);
    }
}

auto UpstreamLives::advance(Instant now) -> void
{
    for (std::size_t index = 0; index < this->lives.size(); ++index) {
        auto &life = this->lives[index];
        if (now < life.endsAt) {
            continue;
        }
        if (life.isLeaving) {
            this->startAnew(index);
        }
        life.isPausing = false;
    }
}

auto UpstreamLives::clear(Instant now) -> void
{
    for (auto &life : this->lives) {
        life.endsAt = std::min(life.endsAt, now);
    }
    for (const auto &upstream : this->upstreams) {
        upstream->pauseUntil(Instant{});
    }
    this->advance(now);
}

auto UpstreamLives::startAnew(std::size_t upstream) -> void
{
    auto &stub = *this->upstreams[upstream];
    this->lives[upstream] = Life{};
    stub.setExtraHeaders({});
    stub.restart();
    this->writeEntry(upstream);
}

auto UpstreamLives::onAnswer(std::size_t daemon, const MessageHead &answer, Instant now) -> void
{
    const auto *leaving = answer.find("Server-Leaving");
    const auto *signature = answer.find("Server-Signature");
    if (leaving == nullptr || *leaving != "1" || signature == nullptr) {
        return;
    }
    for (std::size_t index = 0; index < this->lives.size(); ++index) {
        if (*signature == this->upstreams[index]->signature() && this->lives[index].isLeaving) {
            this->lives[index].passedOnAt.try_emplace(daemon, now);
        }
    }
}

auto UpstreamLives::onDaemonFault(std::size_t daemon, Instant now) -> void
{
    this->daemonFaultAt[daemon] = now;
    for (auto &life : this->lives) {
        life.passedOnAt.erase(daemon);
        life.rejectedAt.erase(daemon);
        life.requestsInPause.erase(daemon);
    }
}

auto UpstreamLives::isInTouch(std::size_t daemon, Instant now) const -> bool
{
    const auto fault = this->daemonFaultAt.find(daemon);
    const auto isSound = fault == this->daemonFaultAt.end() || now - fault->second >= contactTime;
    return isSound && now - this->storeFaultAt >= contactTime;
}

auto UpstreamLives::onRequest(std::size_t upstream, const std::string &request) -> void
{
    const auto origin = this->originOf(request);
    if (!origin || this->violationTexts.size() >= violationLimit) {
        return;
    }
    if (this->lives[upstream].isLeaving) {
        this->checkLeave(upstream, request, *origin);
    }
    if (this->lives[upstream].isPausing) {
        this->checkPause(upstream, request, *origin);
    }
}

auto UpstreamLives::checkLeave(std::size_t upstream, const std::string &request,
                               const Origin &origin) -> void
{
    const auto &life = this->lives[upstream];
    const auto passedOn = life.passedOnAt.find(origin.daemon);
    const auto reached = request + " reached " + this->upstreams[upstream]->storeKey()
                         + " by daemon " + std::to_string(origin.daemon);
    const auto afterMs = [&](Instant known) {
        return std::to_string(
            std::chrono::duration_cast<milliseconds>(origin.sentAt - known).count());
    };
    if (passedOn != life.passedOnAt.end() && origin.sentAt - passedOn->second > drainTime) {
        this->violationTexts.push_back(reached + ", sent " + afterMs(passedOn->second)
                                       + " ms after it passed on an answer that states the leave");
    } else if (life.acknowledgedAt && origin.sentAt - *life.acknowledgedAt > drainTime
               && this->isInTouch(origin.daemon, origin.sentAt)) {
        this->violationTexts.push_back(reached + ", sent " + afterMs(*life.acknowledgedAt)
                                       + " ms after the store acknowledged the leave");
    }
}

auto UpstreamLives::checkPause(std::size_t upstream, const std::string &request,
                               const Origin &origin) -> void
{
    auto &life = this->lives[upstream];
    const auto now = monotonicNow();
    const auto [rejected, isFirst] = life.rejectedAt.try_emplace(origin.daemon, now);
    if (isFirst || now - rejected->second < reactionTime || now >= life.endsAt) {
        return;
    }
    if (++life.requestsInPause[origin.daemon] > allowedInPause) {
        this->violationTexts.push_back(request + " is one of more than two that reached "
                                       + this->upstreams[upstream]->storeKey() + " by daemon "
                                       + std::to_string(origin.daemon) + " in its pause");
    }
}

} // namespace gooseberrywall
