#include "loadtool/targets.h"

#include "common/hash.h"
#include "loadtool/callerwire.h"

#include <array>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr std::size_t waitingLimit = 1'000'000;
/// How long an answer is waited for after the request's deadline.
constexpr Duration answerMargin = std::chrono::seconds{1};
constexpr Duration grantDuration = std::chrono::hours{1};
constexpr Fence directFence{1, 1};

auto daemonPoolSettings(std::size_t connections) -> HttpPoolSettings
{
    HttpPoolSettings pool;
    pool.connectionsPerAddress = connections;
    pool.waitingLimitPerAddress = waitingLimit;
    return pool;
}

auto directClientSettings(std::size_t connections) -> UpstreamClientSettings
{
    UpstreamClientSettings client;
    client.runConnections = connections;
    client.waitingRunsLimit = waitingLimit;
    return client;
}

auto endOfFailedRun(RunStatus status) -> CallEnd
{
    constexpr std::array<const char *, 8> reasons{"done",      "stale_fence", "not_owner",
                                                  "shed",      "draining",    "deadline_passed",
                                                  "cancelled", "aborted"};
    return {status == RunStatus::Aborted ? CallEndKind::Unknown : CallEndKind::Refused,
            reasons.at(static_cast<std::size_t>(status))};
}

auto toCallEnd(const PlannedRequest &request, const UpstreamAnswer &answer) -> CallEnd
{
    if (const auto *run = std::get_if<RunAnswer>(&answer)) {
        if (run->runStatus != RunStatus::Done) {
            return endOfFailedRun(run->runStatus);
        }
        const auto isRight = run->body.starts_with(request.id.value + '\n');
        return {isRight ? CallEndKind::Answer : CallEndKind::WrongAnswer, ""};
    }
    const auto *failure = std::get_if<UpstreamFailure>(&answer);
    if (failure != nullptr && *failure == UpstreamFailure::NotSent) {
        return {CallEndKind::NotSent, ""};
    }
    if (failure != nullptr && *failure == UpstreamFailure::NoAnswer) {
        return {CallEndKind::NoAnswer, ""};
    }
    return {CallEndKind::WrongAnswer, "bad_answer"};
}

} // namespace

DaemonTarget::DaemonTarget(event_base *base, LoadSettings settings, std::vector<Address> daemons,
                           std::size_t connections)
    : settings(std::move(settings))
    , daemons(std::move(daemons))
    , pool(base, daemonPoolSettings(connections))
{
}

auto DaemonTarget::send(const PlannedRequest &request, int sent, CallDone done) -> void
{
    this->call(request, callerwire::encode(this->settings, request, sent > 0), std::move(done));
}

auto DaemonTarget::queryOutcome(const PlannedRequest &request, CallDone done) -> void
{
    this->call(request, callerwire::encodeOutcomeQuery(this->settings, request), std::move(done));
}

auto DaemonTarget::call(const PlannedRequest &request, HttpRequest call, CallDone done) -> void
{
    const auto &daemon = this->daemons[this->nextDaemon];
    this->nextDaemon = (this->nextDaemon + 1) % this->daemons.size();
    this->pool.send(daemon, std::move(call), this->settings.deadline + answerMargin,
                    [request, done = std::move(done)](const HttpAnswer &answer) {
                        done(callerwire::decode(request, answer));
                    });
}

DirectTarget::DirectTarget(event_base *base, LoadSettings settings, std::vector<Address> upstreams,
                           std::size_t connections)
    : settings(std::move(settings))
    , upstreams(std::move(upstreams))
    , client(base, directClientSettings(connections),
             [this](CallId call, const UpstreamAnswer &answer) {
                 const auto waiting = this->calls.extract(call);
                 waiting.mapped()(answer);
             })
{
}

auto DirectTarget::prepare(std::function<void(bool)> whenPrepared) -> void
{
    this->prepared = std::move(whenPrepared);
    for (std::size_t upstream = 0; upstream < this->upstreams.size(); ++upstream) {
        this->call(upstream, GrantBatch{{"load"}, {directFence.term}, {}, {}},
                   [this, upstream](const UpstreamAnswer &answer) {
                       if (const auto *state = std::get_if<GrantBatchAnswer>(&answer)) {
                           this->grant(upstream, state->incarnation);
                           return;
                       }
                       this->finishGrant(false);
                   });
    }
}

auto DirectTarget::grant(std::size_t upstream, Incarnation incarnation) -> void
{
    const GrantOrder order{this->shardOf(upstream), directFence, GrantAction::Grant, std::nullopt,
                           grantDuration};
    this->call(upstream, GrantBatch{{"load"}, {directFence.term}, incarnation, {order}},
               [this](const UpstreamAnswer &answer) {
                   const auto *batch = std::get_if<GrantBatchAnswer>(&answer);
                   const auto taken = batch != nullptr && batch->results.size() == 1;
                   this->finishGrant(taken && batch->results.front().status == GrantStatus::Done);
               });
}

auto DirectTarget::finishGrant(bool isGranted) -> void
{
    this->answered += 1;
    this->allGranted = this->allGranted && isGranted;
    if (this->answered == this->upstreams.size()) {
        this->prepared(this->allGranted);
    }
}

auto DirectTarget::send(const PlannedRequest &request, int, CallDone done) -> void
{
    const auto upstream = stableHash(request.key.value) % this->upstreams.size();
    RunRequest run;
    run.id = request.id;
    run.shard = this->shardOf(upstream);
    run.fence = directFence;
    run.key = request.key;
    run.operation = request.operation;
    run.idempotent = request.idempotent;
    run.remaining = this->settings.deadline;
    run.body = std::string(this->settings.bodyBytes, 'b');
    run.attempt = {this->lastCall.next().value};
    this->call(upstream, std::move(run),
               [request, done = std::move(done)](const UpstreamAnswer &answer) {
                   done(toCallEnd(request, answer));
               });
}

auto DirectTarget::call(std::size_t upstream, UpstreamRequest request,
                        std::function<void(const UpstreamAnswer &)> done) -> void
{
    this->lastCall = this->lastCall.next();
    this->calls.emplace(this->lastCall, std::move(done));
    this->client.send({this->lastCall,
                       {"direct"},
                       this->upstreams[upstream],
                       std::move(request),
                       this->settings.deadline + answerMargin});
}

auto DirectTarget::shardOf(std::size_t upstream) const -> ShardId
{
    return {this->settings.service, static_cast<std::uint32_t>(upstream)};
}

} // namespace gooseberrywall
