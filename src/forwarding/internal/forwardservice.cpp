#include "forwarding/forwardservice.h"

#include "forwarding/forwardcodec.h"

#include <utility>

namespace gooseberrywall {

namespace {

constexpr int statusBadRequest = 400;
/// Of a request that has waited for this long in the sockets of a suspended VM, the connection may
/// have ended without a trace.
constexpr Duration unseenEndTime = std::chrono::seconds{1};

auto notSent(ForwardRefusal refusal) -> ForwardAnswer
{
    return ForwardAnswer{OutboundResult::End::NotSent, refusal};
}

} // namespace

ForwardService::ForwardService(ForwardSettings settings, OutboundPool &upstreams,
                               UpstreamStatements &statements, ReadStatement readStatement,
                               std::function<Instant()> now, Reply reply,
                               std::function<void()> onWork)
    : settings(settings)
    , upstreams(upstreams)
    , statements(statements)
    , readStatement(std::move(readStatement))
    , now(std::move(now))
    , reply(std::move(reply))
    , onWork(std::move(onWork))
{
}

ForwardService::~ForwardService()
{
    for (const auto &[exchange, attempt] : this->attempts) {
        this->upstreams.abort(attempt.outbound);
    }
}

auto ForwardService::onRequest(ExchangeId exchange, WholeMessage message) -> void
{
    const auto *const id = message.head.find(forwardIdHeader);
    auto hopId = id == nullptr ? std::string{} : *id;
    MessageHead refused;
    refused.status = statusBadRequest;
    refused.headers = unreadHeaders(message.head);
    auto request = decodeForwardRequest(std::move(message));
    if (!request) {
        ++this->counts.malformed;
        this->reply(exchange, refused, "");
        return;
    }
    const auto moment = this->now();
    const auto waited = this->stalls.longestWait(moment);
    request->remaining = waited < unseenEndTime ? request->remaining - waited : Duration{0};
    if (const auto refusal = this->refusalOf(*request, moment)) {
        ++this->counts.refused;
        this->replyWith(exchange, *refusal, hopId);
        return;
    }
    this->send(exchange, std::move(hopId), std::move(*request), moment);
}

auto ForwardService::refusalOf(const ForwardRequest &request, Instant moment)
    -> std::optional<ForwardAnswer>
{
    if (this->isStopping) {
        return notSent(ForwardRefusal::Stopping);
    }
    if (this->attempts.size() >= this->settings.forwardLimit) {
        return notSent(ForwardRefusal::Full);
    }
    if (request.remaining <= Duration{0}) {
        return notSent(ForwardRefusal::Expired);
    }
    const auto hold = this->statements.holdOf(request.upstream, request.incarnation, moment);
    if (hold && !(request.isLastResort && hold->allowsLastResort)) {
        auto answer = notSent(ForwardRefusal::Held);
        answer.hold = hold;
        return answer;
    }
    return std::nullopt;
}

auto ForwardService::send(ExchangeId exchange, std::string hopId, ForwardRequest request,
                          Instant moment) -> void
{
    ++this->counts.sent;
    this->statements.onSent(request.upstream, request.incarnation, moment);
    Attempt attempt;
    attempt.hopId = std::move(hopId);
    attempt.isRepeatable = request.isRepeatable;
    attempt.statement.upstream = request.upstream;
    attempt.statement.incarnation = request.incarnation;
    attempt.statement.request = RequestId{request.echoedId.value_or("")};
    attempt.statement.sentAt = moment;
    OutboundRequest outbound;
    outbound.address = request.address;
    outbound.text = std::move(request.text);
    outbound.isHead = request.isHead;
    outbound.timeout = request.remaining;
    outbound.echoedId = std::move(request.echoedId);
    outbound.needsNewConnection = request.needsNewConnection;
    attempt.outbound =
        this->upstreams.send(std::move(outbound), [this, exchange](OutboundResult result) {
            this->onAttemptEnd(exchange, std::move(result));
        });
    this->attempts.emplace(exchange, std::move(attempt));
}

auto ForwardService::onDisconnect(ExchangeId exchange) -> void
{
    const auto found = this->attempts.find(exchange);
    if (found == this->attempts.end()) {
        return;
    }
    ++this->counts.abandoned;
    const auto attempt = std::move(found->second);
    this->attempts.erase(found);
    this->upstreams.abort(attempt.outbound);
    this->statements.onAttemptEnd(attempt.statement, this->now());
    this->onWork();
}

auto ForwardService::onAttemptEnd(ExchangeId exchange, OutboundResult result) -> void
{
    const auto found = this->attempts.find(exchange);
    if (found == this->attempts.end()) {
        return;
    }
    auto attempt = std::move(found->second);
    this->attempts.erase(found);
    ForwardAnswer answer;
    switch (result.end) {
    case OutboundResult::End::Answered: {
        const auto stated = this->readStatement(result.answer.head, attempt.isRepeatable);
        attempt.statement.isAnswered = stated.isAnswered;
        attempt.statement.isLeaving = stated.isLeaving;
        attempt.statement.pause = stated.pause;
        answer.end = result.end;
        answer.answer = std::move(result.answer);
        break;
    }
    case OutboundResult::End::NotSent:
        answer = notSent(ForwardRefusal::Unreachable);
        break;
    case OutboundResult::End::NoAnswer:
    case OutboundResult::End::BadAnswer:
        break;
    }
    this->statements.onAttemptEnd(attempt.statement, this->now());
    this->replyWith(exchange, answer, attempt.hopId);
    this->onWork();
}

auto ForwardService::replyWith(ExchangeId exchange, const ForwardAnswer &answer,
                               const std::string &hopId) -> void
{
    const auto message = encodeForwardAnswer(answer, hopId);
    this->reply(exchange, message.head, message.body);
}

} // namespace gooseberrywall
