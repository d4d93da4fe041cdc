#include "edge/tests/statementfleet.h"

#include <algorithm>

namespace gooseberrywall {

namespace {

using std::chrono::milliseconds;

constexpr Duration stepTime = milliseconds{10};
constexpr Duration deadline = milliseconds{800};
constexpr Duration reactionTime = std::chrono::seconds{2};
constexpr Duration leavingTime = std::chrono::seconds{8};
/// A grantor gathers the store's changes for so long.
constexpr Duration publishTime = milliseconds{300};
constexpr std::size_t keyCount = 65536;
const ServiceName service{"service"};
const Address grantorAddress{"10.0.0.1:7000"};

auto daemonAddress(std::size_t daemon) -> Address
{
    return Address{"10.9.0." + std::to_string(daemon) + ":7000"};
}

} // namespace

struct StatementFleet::Grantor
{
    Logger logger{"error", 1};
    RequestLog log{this->logger, 0};
    PermitClient permits;
    GrantorRoles roles;
    GrantorWatch watch;

    Grantor(const GrantorRoleSettings &settings, const SendStoreCall &store,
            const SendRangeOrder &orders, const std::function<Instant()> &now, bool isSharded)
        : permits(settings.peerAddress, settings.incarnation, PermitClientSettings{})
        , roles(settings, store, orders, now, this->logger, this->log)
        , watch(watchSettings(settings), store, now, this->permits, this->roles, this->logger)
    {
        ServiceSpec spec;
        spec.name = service;
        spec.isSharded = isSharded;
        this->roles.setServices({spec});
        this->watch.setServices({spec});
    }

    static auto watchSettings(const GrantorRoleSettings &settings) -> GrantorWatchSettings
    {
        GrantorWatchSettings result;
        result.grantorPrefix = settings.grantorPrefix;
        result.daemon = settings.daemon;
        return result;
    }
};

StatementFleet::StatementFleet(StatementFleetSettings settings)
    : settings(settings)
    , owners(keyCount)
    , random(settings.seed)
{
    GrantorRoleSettings role;
    role.daemon = DaemonId{"d"};
    role.peerAddress = grantorAddress;
    role.incarnation = 1;
    this->grantor = std::make_unique<Grantor>(
        role, this->store.sender(),
        [this](const RangeOrder &order, std::function<void(RangeOrderEnd)> done) {
            this->orders.emplace_back(order, std::move(done));
        },
        [this] { return this->store.now(); }, this->settings.isSharded);
    for (auto number = 0; number < this->settings.upstreams; ++number) {
        static_cast<void>(this->add(static_cast<std::size_t>(number)));
    }
    this->publish();
}

StatementFleet::~StatementFleet() = default;

auto StatementFleet::add(std::size_t number) -> std::size_t
{
    Upstream upstream;
    upstream.entry.id = UpstreamId{"u" + std::to_string(number)};
    upstream.entry.service = service;
    upstream.entry.address = Address{"10.1.0." + std::to_string(number) + ":80"};
    upstream.entry.slots = 3;
    upstream.entry.incarnation = Incarnation{100 + number};
    this->upstreams.push_back(upstream);
    return this->upstreams.size() - 1;
}

auto StatementFleet::indexOf(const UpstreamId &id) const -> std::size_t
{
    return static_cast<std::size_t>(std::stoi(id.value.substr(1)));
}

auto StatementFleet::replace(std::size_t upstream) -> void
{
    static_cast<void>(this->add(this->upstreams.size()));
    this->upstreams[upstream].leavingSince = this->store.now();
    this->publishAt = this->store.now() + publishTime;
}

auto StatementFleet::setRealSlots(std::size_t upstream, int slots) -> void
{
    this->upstreams.at(upstream).realSlots = slots;
}

auto StatementFleet::publish() -> void
{
    std::vector<UpstreamEntry> entries;
    for (const auto &upstream : this->upstreams) {
        if (upstream.hasEnded) {
            continue;
        }
        entries.push_back(upstream.entry);
        entries.back().isDraining =
            this->settings.isLeavingInStore && upstream.leavingSince.has_value();
    }
    this->directory.update(entries, UpstreamReading{}, this->store.now());
    this->grantor->roles.onUpstreams(this->directory.entries());
}

auto StatementFleet::resetCounts() -> void
{
    this->countedFrom = this->store.now();
    this->asked = 0;
    this->served = 0;
}

auto StatementFleet::servedShare() const -> double
{
    return static_cast<double>(this->served) / std::max(1, this->asked);
}

auto StatementFleet::run(Duration time) -> void
{
    for (auto passed = Duration{0}; passed < time; passed += stepTime) {
        this->step();
    }
}

auto StatementFleet::step() -> void
{
    this->endUpstreams();
    if (this->publishAt && *this->publishAt <= this->store.now()) {
        this->publishAt.reset();
        this->publish();
    }
    this->arrive();
    this->endAttempts();
    this->deliver();
    this->grantor->watch.advance();
    this->grantor->roles.advance();
    for (const auto &each : this->grantor->roles.takeStatements()) {
        if (each.isLeaving
            && this->directory.setLeaving(each.upstream, each.incarnation, this->store.now())) {
            this->grantor->roles.onUpstreams(this->directory.entries());
        }
    }
    this->carryOutOrders();
    this->store.advance(stepTime);
}

auto StatementFleet::endUpstreams() -> void
{
    for (auto &upstream : this->upstreams) {
        const auto isEnding = upstream.leavingSince && !upstream.hasEnded
                              && *upstream.leavingSince + leavingTime <= this->store.now();
        if (isEnding) {
            upstream.hasEnded = true;
            this->publishAt = this->store.now() + publishTime;
        }
    }
}

auto StatementFleet::arrive() -> void
{
    const auto mean =
        this->settings.requestsPerSecond * std::chrono::duration<double>(stepTime).count();
    std::poisson_distribution<int> count(mean);
    for (auto left = count(this->random); left > 0; --left) {
        ++this->asked;
        Request request;
        request.daemon = this->random() % static_cast<std::size_t>(this->settings.entryDaemons);
        request.key = static_cast<KeyPosition>(this->random() % keyCount);
        request.arrivedAt = this->store.now();
        const auto number = this->nextNumber++;
        this->requests[number] = request;
        this->ask(number);
    }
}

auto StatementFleet::ask(std::uint64_t number) -> void
{
    const auto &asking = this->requests.at(number);
    PermitRequest request;
    request.id = PermitId{daemonAddress(asking.daemon), 1, number};
    request.service = service;
    if (this->settings.isSharded) {
        request.key = asking.key;
    }
    request.remaining = asking.arrivedAt + deadline - this->store.now();
    request.untilTarget = asking.arrivedAt + milliseconds{300} - this->store.now();
    request.isRetry = !asking.avoid.empty();
    request.avoid = asking.avoid;
    this->datagrams.emplace_back(request.id.entry, PermitDatagram{grantorAddress, request});
}

auto StatementFleet::deliver() -> void
{
    for (auto &datagram : this->grantor->roles.takeDatagrams()) {
        this->datagrams.emplace_back(grantorAddress, std::move(datagram));
    }
    for (auto &datagram : this->grantor->watch.takeDatagrams()) {
        this->datagrams.emplace_back(grantorAddress, std::move(datagram));
    }
    for (const auto &[from, datagram] : std::exchange(this->datagrams, {})) {
        if (const auto *answer = std::get_if<PermitAnswer>(&datagram.message)) {
            this->onAnswer(from, *answer);
        } else if (const auto *heard = std::get_if<GrantorAnnouncement>(&datagram.message)) {
            this->grantor->watch.onAnnouncement(from, *heard);
        } else if (datagram.peer == grantorAddress) {
            this->grantor->roles.deliver(from, datagram.message);
        }
    }
}

auto StatementFleet::onAnswer(const Address &from, const PermitAnswer &answer) -> void
{
    const auto isUsed = answer.verdict.kind == PermitVerdict::Kind::Granted
                        && this->usedPermits.insert(answer.id.sequence).second;
    const auto found = this->requests.find(answer.id.sequence);
    if (!isUsed || found == this->requests.end()) {
        return;
    }
    auto &request = found->second;
    request.grantedAt = this->store.now();
    const auto index = this->indexOf(answer.verdict.upstream);
    auto &upstream = this->upstreams.at(index);
    Attempt attempt{answer.id, from, index, this->store.now() + stepTime};
    if (upstream.hasEnded) {
        attempt.end = AttemptEnd::NotSent;
        this->attempts.push_back(attempt);
        return;
    }
    this->judge(upstream, request);
    if (this->settings.isSharded && this->owners[request.key] != index) {
        ++this->wrongOwners;
        attempt.end = AttemptEnd::WrongOwner;
    } else if (upstream.running >= upstream.realSlots) {
        attempt.end = AttemptEnd::NotRun;
        attempt.pause = this->settings.pause;
    } else {
        ++upstream.running;
        attempt.isRunning = true;
        std::uniform_int_distribution<int> work(60, 100);
        attempt.endsAt = this->store.now() + milliseconds{work(this->random)};
    }
    this->attempts.push_back(attempt);
}

auto StatementFleet::judge(Upstream &upstream, const Request &request) -> void
{
    const auto told = upstream.toldLeaving.find(request.daemon);
    if (told != upstream.toldLeaving.end() && request.arrivedAt > told->second + reactionTime) {
        ++this->lateRequests;
    }
    for (auto &pause : upstream.pauses[request.daemon]) {
        if (pause.judgedFrom <= this->store.now() && this->store.now() < pause.endsAt) {
            this->worstInPause = std::max(this->worstInPause, ++pause.requests);
        }
    }
}

auto StatementFleet::endAttempts() -> void
{
    for (const auto &attempt : std::exchange(this->attempts, {})) {
        if (attempt.endsAt > this->store.now()) {
            this->attempts.push_back(attempt);
            continue;
        }
        const auto number = attempt.id.sequence;
        auto &request = this->requests.at(number);
        auto &upstream = this->upstreams.at(attempt.upstream);
        upstream.running -= attempt.isRunning ? 1 : 0;
        PermitReport report;
        report.id = attempt.id;
        report.service = service;
        report.upstream = upstream.entry.id;
        report.end = attempt.end;
        report.latency = this->store.now() - request.grantedAt;
        report.pause = attempt.pause;
        report.isLeaving = !this->settings.isLeavingInStore && upstream.leavingSince.has_value()
                           && attempt.end != AttemptEnd::NotSent;
        if (report.isLeaving) {
            upstream.toldLeaving.emplace(request.daemon, this->store.now());
        }
        if (attempt.pause) {
            ++this->namedPauses;
            upstream.pauses[request.daemon].push_back(
                Pause{this->store.now() + milliseconds{500}, this->store.now() + *attempt.pause});
        }
        this->datagrams.emplace_back(attempt.id.entry, PermitDatagram{attempt.grantor, report});
        const auto isInTime = this->store.now() < request.arrivedAt + deadline;
        if (attempt.end == AttemptEnd::Answered) {
            this->served += isInTime && request.arrivedAt >= this->countedFrom ? 1 : 0;
        } else if (isInTime) {
            request.avoid.push_back(upstream.entry.id);
            const auto next = this->nextNumber++;
            this->requests[next] = request;
            this->ask(next);
        }
        this->requests.erase(number);
    }
}

auto StatementFleet::carryOutOrders() -> void
{
    for (auto &[order, done] : std::exchange(this->orders, {})) {
        const auto index = this->indexOf(order.upstream);
        RangeOrderEnd end;
        end.call = order.call;
        end.kind = RangeOrderEnd::Kind::NotSent;
        if (!this->upstreams.at(index).hasEnded) {
            end.kind = RangeOrderEnd::Kind::Accepted;
            const auto isGrant = order.kind == RangeOrder::Kind::Grant;
            for (std::size_t key = order.range.first; key <= order.range.last; ++key) {
                if (isGrant) {
                    this->owners[key] = index;
                } else if (this->owners[key] == index) {
                    this->owners[key].reset();
                }
            }
        }
        done(end);
    }
}

} // namespace gooseberrywall
