#include "requests/tests/faultycell.h"

#include <iostream>
#include <utility>

namespace gooseberrywall {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int daemonCount = 6;
constexpr UnixMillis wallStart = 1'800'000'000'000;
const std::vector<std::string> upstreams{"u0", "u1", "u2"};

auto servicePolicy() -> ServicePolicy
{
    ServicePolicy policy;
    policy.service = {"loadout"};
    policy.shardCount = 6;
    policy.coldStart = Duration{0};
    return policy;
}

/// All clocks of the test agree and messages are fast, so the safety margins can be short: the
/// shorter they are, the more requests run soon after a fault.
auto dispatcherSettings() -> DispatcherSettings
{
    DispatcherSettings settings;
    settings.clockSkew = milliseconds{50};
    settings.handoverReceiveTimeout = milliseconds{200};
    return settings;
}

} // namespace

FaultyCell::FaultyCell(std::uint64_t seed, std::vector<Fault> kinds, LinkFaults links)
    : cell(seed, daemonCount, servicePolicy(), dispatcherSettings())
    , random(seed * 7919)
    , kinds(std::move(kinds))
{
    for (std::size_t index = 0; index < upstreams.size(); ++index) {
        const int grantor = static_cast<int>(index);
        this->cell.addUpstream(upstreams[index], grantor, grantor + 1, UpstreamModelSettings{});
    }
    for (std::uint32_t shard = 0; shard < 6; ++shard) {
        this->cell.assign(shard, upstreams[shard % upstreams.size()]);
    }
    this->cell.publish();
    this->cell.serviceTime = [this](const RunRequest & /*run*/) {
        return Duration{1000 + static_cast<int>(this->random() % 15000)};
    };
    this->cell.at(seconds{2}, [this, links] { this->cell.faults = links; });
    this->cell.at(seconds{2}, [this] { this->arrive(); });
    for (int number = 0; number < 6; ++number) {
        this->cell.at(seconds{3 + 2 * number}, [this] { this->inject(); });
    }
    this->cell.at(seconds{16}, [this] { this->arriving = false; });
    this->cell.runUntil(seconds{30});
}

auto FaultyCell::check() -> Violations
{
    return checkEnds(this->cell, upstreams, this->abandoned);
}

auto FaultyCell::printResult(const std::string &name, std::uint64_t seed) -> void
{
    std::map<std::string, int> ends;
    for (const auto &view : this->cell.callers()) {
        for (const auto &end : view.ends) {
            const auto *kind = end.kind == EndKind::Answer    ? "answer"
                               : end.kind == EndKind::Refused ? "refused"
                                                              : "unknown";
            ++ends[std::string(kind) + "/" + std::string(toString(end.reason))];
        }
    }
    std::cout << name << " seed=" << seed << " sent=" << this->cell.callers().size();
    for (const auto &[end, count] : ends) {
        std::cout << ' ' << end << '=' << count;
    }
    std::cout << ' ' << this->check().text() << '\n';
}

auto FaultyCell::answeredShare() const -> double
{
    double answered = 0.0;
    std::map<RequestId, bool> ids;
    for (const auto &view : this->cell.callers()) {
        auto &isAnswered = ids[view.request.id];
        isAnswered = isAnswered || (!view.ends.empty() && view.ends[0].kind == EndKind::Answer);
    }
    for (const auto &[id, isAnswered] : ids) {
        answered += isAnswered ? 1.0 : 0.0;
    }
    return answered / static_cast<double>(ids.size());
}

auto FaultyCell::randomBelow(int count) -> int
{
    return static_cast<int>(this->random() % static_cast<std::uint64_t>(count));
}

auto FaultyCell::aliveDaemon() -> int
{
    int daemon = this->randomBelow(daemonCount);
    while (!this->cell.isAlive(daemon)) {
        daemon = (daemon + 1) % daemonCount;
    }
    return daemon;
}

auto FaultyCell::after(Duration delay, std::function<void()> action) -> void
{
    this->cell.at(this->sinceStart() + delay, std::move(action));
}

auto FaultyCell::arrive() -> void
{
    if (!this->arriving) {
        return;
    }
    Request request;
    request.id = {"r" + std::to_string(++this->lastRequest)};
    request.caller = {"shop" + std::to_string(this->randomBelow(3))};
    request.key = {"key " + std::to_string(this->randomBelow(200))};
    request.operation = "confirm";
    request.idempotent = this->randomBelow(3) == 0;
    request.body = "body of " + request.id.value;
    if (this->randomBelow(2) == 0) {
        const auto age = std::chrono::duration_cast<milliseconds>(this->sinceStart());
        request.issuedAt = wallStart + age.count();
    }
    this->send(std::move(request), 0);
    this->after(Duration{2000 + this->randomBelow(3000)}, [this] { this->arrive(); });
}

auto FaultyCell::send(Request request, int tries) -> void
{
    const int daemon = this->aliveDaemon();
    const Duration timeout = milliseconds{100 + this->randomBelow(1400)};
    request.resend = tries > 0;
    const auto index = this->cell.submit(daemon, request, timeout);
    if (this->randomBelow(50) == 0) {
        this->after(Duration{this->randomBelow(20000)}, [this, index] {
            if (this->cell.callers()[index].ends.empty()) {
                this->abandoned.insert(index);
                this->cell.callerGone(index);
            }
        });
    }
    this->after(timeout + milliseconds{200}, [this, index, daemon, tries, request] {
        const auto &view = this->cell.callers()[index];
        if (!this->cell.isAlive(daemon) && view.ends.empty()) {
            this->abandoned.insert(index);
        }
        const bool answered = !view.ends.empty() && view.ends[0].kind == EndKind::Answer;
        // Sometimes a caller also sends an answered request again.
        if (tries < 4 && (!answered || this->randomBelow(20) == 0)) {
            this->send(request, tries + 1);
        }
    });
}

auto FaultyCell::inject() -> void
{
    const auto kind = this->kinds[static_cast<std::size_t>(
        this->randomBelow(static_cast<int>(this->kinds.size())))];
    const auto entryIndex = static_cast<std::size_t>(this->randomBelow(3));
    const auto entry = this->cell.record.upstreams[entryIndex];
    switch (kind) {
    case Fault::GrantorLost:
        this->loseDaemon(this->indexOf(entry.grantor));
        break;
    case Fault::TakeOver:
        this->takeOverFromAliveGrantor(entryIndex);
        break;
    case Fault::StandbyLost:
        this->loseDaemon(this->indexOf(entry.standby));
        break;
    case Fault::MirrorCut:
        this->cutMirror(this->indexOf(entry.grantor), this->indexOf(entry.standby));
        break;
    case Fault::OwnerChange:
        this->changeOwner();
        break;
    case Fault::OwnerBounce:
        this->moveShardsAwayAndBack(entryIndex);
        break;
    case Fault::StandbySwap:
        this->swapStandby(entryIndex);
        break;
    case Fault::UpstreamRestart:
        this->restartUpstream(entryIndex);
        break;
    case Fault::UpstreamLost:
        this->loseUpstream(entryIndex);
        break;
    case Fault::UpstreamFrozen:
        this->cell.model(entry.id.value)
            .freeze(this->cell.now(),
                    this->cell.now() + milliseconds{200 + this->randomBelow(1500)});
        this->after(milliseconds{1750},
                    [this, entry] { this->cell.advanceUpstream(entry.id.value); });
        break;
    }
}

auto FaultyCell::loseDaemon(int daemon) -> void
{
    if (this->lostDaemons == 3 || !this->cell.isAlive(daemon)) {
        return;
    }
    ++this->lostDaemons;
    this->cell.killDaemon(daemon);
    this->after(milliseconds{400}, [this] { this->cell.publishMembership(); });
    this->after(milliseconds{500 + this->randomBelow(400)}, [this] { this->replaceLostDaemons(); });
}

auto FaultyCell::takeOverFromAliveGrantor(std::size_t index) -> void
{
    const auto &entry = this->cell.record.upstreams[index];
    const int standby = this->indexOf(entry.standby);
    if (!this->cell.isAlive(standby)) {
        return;
    }
    this->cell.takeOver(upstreams[index], standby, this->aliveDaemonOtherThan(standby));
    this->cell.publish(this->randomSkippedDaemons());
    this->after(milliseconds{100}, [this] { this->cell.publish(); });
}

auto FaultyCell::replaceLostDaemons() -> void
{
    for (auto &entry : this->cell.record.upstreams) {
        const int grantor = this->indexOf(entry.grantor);
        const int standby = entry.standby.empty() ? -1 : this->indexOf(entry.standby);
        const bool standbyLives = standby >= 0 && this->cell.isAlive(standby);
        if (!this->cell.isAlive(grantor)) {
            const int next = standbyLives ? standby : this->aliveDaemon();
            this->cell.takeOver(entry.id.value, next, this->aliveDaemonOtherThan(next));
        } else if (!standbyLives) {
            entry.standby = this->cell.daemonId(this->aliveDaemonOtherThan(grantor));
        }
    }
    this->cell.publish(this->randomSkippedDaemons());
    // Daemons that missed this version receive the next one.
    this->after(milliseconds{100}, [this] { this->cell.publish(); });
}

auto FaultyCell::randomSkippedDaemons() -> std::set<int>
{
    return this->randomBelow(3) == 0 ? std::set<int>{this->randomBelow(daemonCount)}
                                     : std::set<int>{};
}

auto FaultyCell::aliveDaemonOtherThan(int daemon) -> int
{
    int other = this->aliveDaemon();
    while (other == daemon || !this->cell.isAlive(other)) {
        other = (other + 1) % daemonCount;
    }
    return other;
}

auto FaultyCell::cutMirror(int grantor, int standby) -> void
{
    this->cell.setCut(grantor, standby, true);
    this->after(milliseconds{300 + this->randomBelow(1500)},
                [=, this] { this->cell.setCut(grantor, standby, false); });
}

auto FaultyCell::changeOwner() -> void
{
    for (std::uint32_t shard = 0; shard < 6; ++shard) {
        if (this->randomBelow(2) == 0) {
            this->cell.assign(shard, upstreams[static_cast<std::size_t>(this->randomBelow(3))]);
        }
    }
    this->cell.publish(this->randomSkippedDaemons());
    this->after(milliseconds{100}, [this] { this->cell.publish(); });
}

auto FaultyCell::moveShardsAwayAndBack(std::size_t index) -> void
{
    const auto originalOwner = upstreams[index];
    const auto temporaryOwner = upstreams[(index + 1) % upstreams.size()];
    std::vector<std::uint32_t> moved;
    for (std::uint32_t shard = 0; shard < 6; ++shard) {
        if (this->cell.record.shards[shard].owner.value == originalOwner) {
            moved.push_back(shard);
            this->cell.assign(shard, temporaryOwner);
        }
    }
    this->cell.publish({this->indexOf(this->cell.record.upstreams[index].grantor)});
    // Longer than the new grantor waits for the outcome memory of the first one.
    this->after(milliseconds{1800}, [this, originalOwner, moved] {
        for (const auto shard : moved) {
            this->cell.assign(shard, originalOwner);
        }
        this->cell.publish();
    });
}

auto FaultyCell::swapStandby(std::size_t index) -> void
{
    auto &entry = this->cell.record.upstreams[index];
    const int grantor = this->indexOf(entry.grantor);
    const int standby = this->indexOf(entry.standby);
    int other = this->aliveDaemonOtherThan(grantor);
    while (other == grantor || other == standby || !this->cell.isAlive(other)) {
        other = (other + 1) % daemonCount;
    }
    if (this->lostDaemons == 2 || !this->cell.isAlive(standby)) {
        return;
    }
    entry.standby = this->cell.daemonId(other);
    this->cell.publish({standby});
    this->after(milliseconds{300}, [this, grantor, standby, index] {
        ++this->lostDaemons;
        this->cell.killDaemon(grantor);
        this->cell.publishMembership();
        this->cell.takeOver(upstreams[index], standby, this->aliveDaemonOtherThan(standby));
        this->replaceLostDaemons();
    });
}

auto FaultyCell::restartUpstream(std::size_t index) -> void
{
    const auto id = this->cell.record.upstreams[index].id.value;
    auto &model = this->cell.model(id);
    model.crash(this->cell.now());
    const auto next = model.incarnation().next();
    this->after(milliseconds{100}, [this, id, index, next] {
        this->cell.model(id).restart(this->cell.now(), next);
        this->cell.record.upstreams[index].incarnation = next;
        for (std::uint32_t shard = 0; shard < 6; ++shard) {
            if (this->cell.record.shards[shard].owner.value == id) {
                this->cell.assign(shard, id);
            }
        }
        this->cell.publish();
    });
}

auto FaultyCell::loseUpstream(std::size_t index) -> void
{
    const auto id = this->cell.record.upstreams[index].id.value;
    this->cell.model(id).crash(this->cell.now());
    const auto next = this->cell.model(id).incarnation().next();
    this->after(milliseconds{700}, [this, id, index, next] {
        this->cell.model(id).restart(this->cell.now(), next);
        this->cell.record.upstreams[index].incarnation = next;
        for (std::uint32_t shard = 0; shard < 6; ++shard) {
            if (this->cell.record.shards[shard].owner.value == id) {
                this->cell.assign(shard, upstreams[(index + 1) % upstreams.size()]);
            }
        }
        this->cell.publish();
    });
}

} // namespace gooseberrywall
