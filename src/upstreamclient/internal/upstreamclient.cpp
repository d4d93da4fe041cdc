#include "upstreamclient/upstreamclient.h"

#include "upstreamclient/upstreamwire.h"

#include <utility>

namespace gooseberrywall {

namespace {

auto poolSettings(const UpstreamClientSettings &settings, std::size_t connections)
    -> HttpPoolSettings
{
    HttpPoolSettings pool;
    pool.connectionsPerAddress = connections;
    pool.waitingLimitPerAddress = settings.waitingRunsLimit;
    pool.answerLimitBytes = settings.answerLimitBytes;
    return pool;
}

/// @returns a copy with only what decoding the answer needs: the kind of the request and, for a
/// run,
///          its attempt
auto outlineOf(const UpstreamRequest &request) -> UpstreamRequest
{
    if (const auto *run = std::get_if<RunRequest>(&request)) {
        RunRequest outline;
        outline.attempt = run->attempt;
        return outline;
    }
    if (std::holds_alternative<GrantBatch>(request)) {
        return GrantBatch{};
    }
    return request;
}

auto toUpstreamAnswer(const UpstreamRequest &outline, HttpAnswer answer) -> UpstreamAnswer
{
    switch (answer.outcome) {
    case HttpOutcome::NotSent:
        return UpstreamFailure::NotSent;
    case HttpOutcome::NoAnswer:
        return UpstreamFailure::NoAnswer;
    case HttpOutcome::BadAnswer:
        return UpstreamFailure::BadAnswer;
    case HttpOutcome::Answered:
        break;
    }
    return upstreamwire::decodeAnswer(outline, std::move(answer));
}

} // namespace

UpstreamClient::UpstreamClient(event_base *base, UpstreamClientSettings settings, Done done)
    : done(std::move(done))
    , runs(base, poolSettings(settings, settings.runConnections))
    , grants(base, poolSettings(settings, settings.grantConnections))
    , cancels(base, poolSettings(settings, settings.cancelConnections))
    , probes(base, poolSettings(settings, settings.probeConnections))
{
}

auto UpstreamClient::send(const UpstreamSend &call) -> void
{
    this->poolOf(call.request)
        .send(call.address, upstreamwire::encodeRequest(call.request), call.timeout,
              [this, id = call.call, outline = outlineOf(call.request)](HttpAnswer answer) {
                  this->done(id, toUpstreamAnswer(outline, std::move(answer)));
              });
}

auto UpstreamClient::poolOf(const UpstreamRequest &request) -> HttpPool &
{
    if (std::holds_alternative<RunRequest>(request)) {
        return this->runs;
    }
    if (std::holds_alternative<GrantBatch>(request)) {
        return this->grants;
    }
    if (std::holds_alternative<CancelRun>(request)) {
        return this->cancels;
    }
    return this->probes;
}

auto UpstreamClient::connectionCount() const -> std::size_t
{
    return this->runs.connectionCount() + this->grants.connectionCount()
           + this->cancels.connectionCount() + this->probes.connectionCount();
}

} // namespace gooseberrywall
