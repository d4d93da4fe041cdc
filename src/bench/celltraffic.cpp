#include "bench/celltraffic.h"

#include "bench/messagesize.h"
#include "configuration/teamtoken.h"
#include "platformclient/platformwire.h"
#include "upstreamclient/upstreamwire.h"

#include <algorithm>
#include <ctime>
#include <memory>
#include <string>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::string_view operatorToken = "capacity-operator-token";
constexpr Duration peerDelay = std::chrono::microseconds{1500};
constexpr Duration storeDelay = std::chrono::milliseconds{3};
constexpr Duration stepInterval = std::chrono::milliseconds{10};
/// A cell lies within a region of two or three failure domains.
constexpr int domainCount = 3;
constexpr int seedDaemons = 3;
/// HTTP, TCP and IP headers of a call and its answer.
constexpr std::size_t httpOverheadBytes = 500;
constexpr UnixMillis wallClockStart = 1'700'000'000'000;

auto domainOf(int number) -> FailureDomain
{
    return {"domain-" + std::to_string(number % domainCount)};
}

auto upstreamId(int number) -> UpstreamId
{
    return {"fitment-vm-" + std::to_string(10'000 + number)};
}

/// @returns the processor time used by this thread
auto processorTime() -> std::chrono::nanoseconds
{
    timespec spent{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return std::chrono::seconds{spent.tv_sec} + std::chrono::nanoseconds{spent.tv_nsec};
}

auto indexIn(const std::string &name, const std::string &prefix, std::size_t count) -> int
{
    if (name.rfind(prefix, 0) != 0) {
        return -1;
    }
    const auto number = std::stoi(name.substr(prefix.size())) - 10'000;
    return number < static_cast<int>(count) ? number : -1;
}

} // namespace

CellTraffic::CellTraffic(CellSize size)
    : size(size)
    , daemons(static_cast<std::size_t>(size.daemons))
    , daemonTraffic(static_cast<std::size_t>(size.daemons))
{
    for (int number = 0; number < size.daemons; ++number) {
        auto &identity = this->daemons[number].identity;
        identity.id = {"entry-vm-" + std::to_string(10'000 + number)};
        identity.domain = domainOf(number);
        identity.peerAddress = {"10.0.0." + std::to_string(number) + ":7000"};
        this->store.vms.put(this->time, {identity.id.value,
                                         VmRole::Daemon,
                                         VmState::Live,
                                         {},
                                         identity.domain,
                                         identity.peerAddress});
    }
    for (int number = 0; number < size.upstreams; ++number) {
        UpstreamModelSettings model;
        model.id = upstreamId(number);
        this->upstreams.push_back(std::make_unique<UpstreamModel>(
            model, Incarnation{static_cast<std::uint64_t>(number) + 1}, this->time));
    }
    this->schedule(this->time + size.upstreamsAppearAfter, [this] { this->listUpstreams(); });
    for (int number = 0; number < size.daemons; ++number) {
        this->startDaemon(number);
    }
}

auto CellTraffic::listUpstreams() -> void
{
    for (int number = 0; number < this->size.upstreams; ++number) {
        this->store.vms.put(this->time, {upstreamId(number).value,
                                         VmRole::Upstream,
                                         VmState::Live,
                                         {"fitment"},
                                         domainOf(number),
                                         {"10.1.0." + std::to_string(number) + ":8080"}});
    }
}

auto CellTraffic::upstreamsByGrantor() const -> std::vector<int>
{
    std::vector<int> counts(this->daemons.size());
    const auto table = this->newestTable();
    if (table == nullptr) {
        return counts;
    }
    for (const auto &upstream : table->record().upstreams) {
        const auto index = indexIn(upstream.grantor.value, "entry-vm-", counts.size());
        if (index >= 0) {
            ++counts[index];
        }
    }
    return counts;
}

auto CellTraffic::schedule(Instant when, std::function<void()> action) -> void
{
    this->events.push({when, ++this->lastOrder, std::move(action)});
}

auto CellTraffic::run(Duration span) -> void
{
    const auto end = this->time + span;
    while (this->time < end) {
        const auto next = std::min(end, this->time + Duration{std::chrono::milliseconds{1}});
        while (!this->events.empty() && this->events.top().at <= next) {
            const auto event = this->events.top();
            this->events.pop();
            this->time = event.at;
            event.action();
        }
        this->time = next;
        this->collectReplies();
    }
}

auto CellTraffic::runUntil(const std::function<bool()> &condition, Duration limit) -> bool
{
    const auto end = this->time + limit;
    while (this->time < end && !condition()) {
        this->run(stepInterval);
    }
    return condition();
}

auto CellTraffic::prepare(Duration limit) -> bool
{
    if (!this->runUntil([this] { return this->coordinator() >= 0; }, limit)) {
        return false;
    }
    this->edit("team team", "[team team]\ncontact = bench\n");
    this->run(std::chrono::seconds{1});
    this->edit("service fitment", "[service fitment]\nowner = team\nshard_count = "
                                      + std::to_string(this->size.shards) + "\n");
    return this->runUntil([this] { return this->isServed(); }, limit);
}

auto CellTraffic::edit(const std::string &section, const std::string &text) -> void
{
    EditRequest request;
    request.operation = EditOperation::Set;
    request.section = {section};
    request.token = operatorToken;
    request.text = text;
    this->daemons[0].node->startEdit(this->time, std::move(request));
    this->flush(0);
}

auto CellTraffic::startDaemon(int index) -> void
{
    auto &daemon = this->daemons[index];
    ++daemon.incarnationNumber;
    daemon.identity.incarnation = {1000 + daemon.incarnationNumber};
    NodeSettings settings;
    settings.editor.bootstrapTokenHash = hashToken(operatorToken, "benchsalt");
    for (int number = 0; number < std::min(seedDaemons, this->size.daemons); ++number) {
        MemberClaim seed;
        seed.id = this->daemons[number].identity.id;
        seed.address = this->daemons[number].identity.peerAddress;
        settings.seeds.push_back(seed);
    }
    const auto seed = static_cast<std::uint64_t>(index) * 101 + daemon.incarnationNumber;
    daemon.node = std::make_unique<Node>(daemon.identity, std::move(settings), seed);
    // Daemons tick at different times.
    const auto offset = Duration{index * 37 % 5000};
    this->schedule(this->time + offset,
                   [this, index, incarnationNumber = daemon.incarnationNumber] {
                       this->tick(index, incarnationNumber);
                   });
}

auto CellTraffic::restartDaemon(int index) -> void
{
    this->loseDaemon(index);
    this->startDaemon(index);
}

auto CellTraffic::loseDaemon(int index) -> void
{
    ++this->daemons[index].incarnationNumber;
    this->daemons[index].node.reset();
}

auto CellTraffic::loseDomain(int domain) -> void
{
    this->loseRack(domain, this->size.daemons, this->size.upstreams);
}

auto CellTraffic::loseRack(int domain, int daemonCount, int upstreamCount) -> void
{
    for (int number = domain; number < this->size.daemons && daemonCount-- > 0;
         number += domainCount) {
        this->loseDaemon(number);
    }
    for (int number = domain; number < this->size.upstreams && upstreamCount-- > 0;
         number += domainCount) {
        this->upstreams[number]->crash(this->time);
    }
}

auto CellTraffic::longestOutage(Duration span) -> Duration
{
    const auto end = this->time + span;
    auto lastServed = this->time;
    Duration longest{0};
    while (this->time < end) {
        this->run(stepInterval);
        if (this->isServed()) {
            lastServed = this->time;
        }
        longest = std::max(longest, Duration{this->time - lastServed});
    }
    return longest;
}

auto CellTraffic::resetCounters() -> void
{
    std::fill(this->daemonTraffic.begin(), this->daemonTraffic.end(), DaemonTraffic{});
    this->store.resetCounts();
}

auto CellTraffic::tick(int index, std::uint64_t incarnationNumber) -> void
{
    auto &daemon = this->daemons[index];
    if (daemon.incarnationNumber != incarnationNumber || daemon.node == nullptr) {
        return;
    }
    const auto wall =
        std::chrono::duration_cast<std::chrono::milliseconds>(this->time.time_since_epoch());
    const auto start = processorTime();
    daemon.node->tick(this->time, wallClockStart + wall.count());
    this->daemonTraffic[index].processorTime += processorTime() - start;
    this->flush(index);
    this->schedule(this->time + nodeTickInterval,
                   [this, index, incarnationNumber] { this->tick(index, incarnationNumber); });
}

auto CellTraffic::deliverInput(int index, std::uint64_t incarnationNumber, const NodeInput &input)
    -> void
{
    auto &daemon = this->daemons[index];
    if (daemon.incarnationNumber != incarnationNumber || daemon.node == nullptr) {
        return;
    }
    const auto start = processorTime();
    daemon.node->handle(this->time, input);
    this->daemonTraffic[index].processorTime += processorTime() - start;
    this->flush(index);
}

auto CellTraffic::flush(int index) -> void
{
    auto &out = this->daemons[index].node->outbox();
    for (const auto &send : std::exchange(out.peerSends, {})) {
        this->sendPeer(index, send);
    }
    for (const auto &send : std::exchange(out.storeSends, {})) {
        this->sendStore(index, send);
    }
    for (const auto &send : std::exchange(out.upstreamSends, {})) {
        this->sendUpstream(index, send);
    }
    out.logLines.clear();
    out.callerSends.clear();
}

auto CellTraffic::sendPeer(int from, const PeerSend &send) -> void
{
    const auto to = indexIn(send.to.value, "entry-vm-", this->daemons.size());
    const auto bytes = serializedBytes(send.message) + messageOverheadBytes;
    this->daemonTraffic[from].messages += 1;
    this->daemonTraffic[from].peerBytes += bytes;
    this->daemonTraffic[from].bytesByKind[send.message.index()] += bytes;
    if (to < 0) {
        return;
    }
    const auto incarnationNumber = this->daemons[to].incarnationNumber;
    const auto &sender = this->daemons[from].identity.id;
    this->schedule(this->time + peerDelay, [this, to, incarnationNumber, bytes, sender,
                                            message = send.message] {
        if (this->daemons[to].incarnationNumber != incarnationNumber
            || this->daemons[to].node == nullptr) {
            return;
        }
        this->daemonTraffic[to].messages += 1;
        this->daemonTraffic[to].peerBytes += bytes;
        this->daemonTraffic[to].bytesByKind[message.index()] += bytes;
        this->deliverInput(to, incarnationNumber, PeerMessageReceived{sender, message});
    });
}

auto CellTraffic::sendStore(int from, const StoreSend &send) -> void
{
    this->daemonTraffic[from].storeCalls += 1;
    this->daemonTraffic[from].storeBytes +=
        platformwire::encodeRequest(send.request).body.size() + httpOverheadBytes;
    const auto incarnationNumber = this->daemons[from].incarnationNumber;
    this->schedule(this->time + storeDelay, [this, from, incarnationNumber, send] {
        const CallId call{++this->lastCall};
        this->storeCalls[call] = [this, from, incarnationNumber,
                                  id = send.call](StoreAnswer answer) {
            this->daemonTraffic[from].storeBytes += platformwire::encodeAnswer(answer).size();
            this->schedule(this->time + storeDelay, [this, from, incarnationNumber, id,
                                                     answer = std::move(answer)] {
                this->deliverInput(from, incarnationNumber, StoreAnswered{id, answer});
            });
        };
        this->store.receive(this->time, call, send.request);
        this->collectReplies();
    });
}

auto CellTraffic::sendUpstream(int from, const UpstreamSend &send) -> void
{
    this->daemonTraffic[from].upstreamCalls += 1;
    this->daemonTraffic[from].upstreamBytes +=
        upstreamwire::encodeRequest(send.request).body.size() + httpOverheadBytes;
    const auto index = indexIn(send.upstream.value, "fitment-vm-", this->upstreams.size());
    if (index < 0) {
        return;
    }
    const auto incarnationNumber = this->daemons[from].incarnationNumber;
    this->schedule(this->time + peerDelay, [this, from, incarnationNumber, index, send] {
        const CallId call{++this->lastCall};
        this->upstreamCalls[call] = [this, from, incarnationNumber,
                                     id = send.call](UpstreamAnswer answer) {
            if (!std::holds_alternative<UpstreamFailure>(answer)) {
                this->daemonTraffic[from].upstreamBytes +=
                    upstreamwire::encodeAnswer(answer).body.size();
            }
            this->schedule(this->time + peerDelay, [this, from, incarnationNumber, id,
                                                    answer = std::move(answer)] {
                this->deliverInput(from, incarnationNumber, UpstreamAnswered{id, answer});
            });
        };
        this->upstreams[index]->receive(this->time, call, send.request);
        this->collectReplies();
    });
}

auto CellTraffic::collectReplies() -> void
{
    this->store.advance(this->time);
    for (auto &reply : this->store.takeReplies()) {
        const auto found = this->storeCalls.extract(reply.call);
        if (!found.empty()) {
            found.mapped()(std::move(reply.answer));
        }
    }
    for (auto &upstream : this->upstreams) {
        upstream->advance(this->time);
        for (auto &reply : upstream->takeReplies()) {
            const auto found = this->upstreamCalls.extract(reply.call);
            if (!found.empty()) {
                found.mapped()(std::move(reply.answer));
            }
        }
    }
}

auto CellTraffic::coordinator() const -> int
{
    for (std::size_t index = 0; index < this->daemons.size(); ++index) {
        const auto &node = this->daemons[index].node;
        if (node != nullptr && node->isCoordinating()) {
            return static_cast<int>(index);
        }
    }
    return -1;
}

auto CellTraffic::newestTable() const -> TablePointer
{
    TablePointer newest;
    for (const auto &daemon : this->daemons) {
        const auto table = daemon.node == nullptr ? nullptr : daemon.node->table();
        if (table != nullptr && (newest == nullptr || newest->version() < table->version())) {
            newest = table;
        }
    }
    return newest;
}

auto CellTraffic::isServed() -> bool
{
    const auto table = this->newestTable();
    if (table == nullptr || static_cast<int>(table->record().shards.size()) < this->size.shards) {
        return false;
    }
    const auto &shards = table->record().shards;
    return std::all_of(shards.begin(), shards.end(), [this](const ShardEntry &shard) {
        const auto index = indexIn(shard.owner.value, "fitment-vm-", this->upstreams.size());
        return index >= 0 && !this->upstreams[index]->crashed()
               && this->upstreams[index]->heldFence(this->time, shard.id).has_value();
    });
}

} // namespace gooseberrywall
