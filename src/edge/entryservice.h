#pragma once

#include "common/hash.h"
#include "edge/answerrecord.h"
#include "edge/wireadapter.h"
#include "entry/requestflow.h"
#include "forwarding/forwardclient.h"
#include "http1/messagewriter.h"
#include "insight/counters.h"
#include "memory/memoryaccount.h"
#include "routing/routetable.h"
#include "settings/types/edgesettings.h"
#include "streams/frontlistener.h"
#include "streams/outboundpool.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace gooseberrywall {

/// Receives callers' requests, executes the commands of RequestFlow, and answers the callers.
template<WireAdapter Wire>
class EntryService
{
public:
    /// @param forwards sends to upstreams that this VM doesn't reach
    /// @param record of all answers to callers
    /// @param isBehind tells whether a newer configuration is known than the routes are of
    /// @param now reads the clock
    /// @param onWork called after each event for which commands may have to be executed
    /// @param spreadStart first point of each route's EvenSpread, 0 to 1; differs between daemons
    /// @param memory counts what is held for callers
    EntryService(event_base *base, const Wire &wire, const EdgeSettings &settings,
                 MemoryAccount &memory, OutboundPool &upstreams, ForwardClient &forwards,
                 RequestFlow &flow, Counters &counters, AnswerRecord &record,
                 std::function<bool()> isBehind, std::function<Instant()> now,
                 std::function<void()> onWork, double spreadStart)
        : wire(wire)
        , memory(memory)
        , upstreams(upstreams)
        , forwards(forwards)
        , flow(flow)
        , counters(counters)
        , record(record)
        , isBehind(std::move(isBehind))
        , now(now)
        , onWork(std::move(onWork))
        , spreadStart(spreadStart)
        , front(
              base, frontSettings(settings), now,
              [this](ExchangeId exchange, WholeMessage request) {
                  this->onRequest(exchange, std::move(request));
              },
              [this](ExchangeId exchange) { this->onCallerGone(exchange); }, &memory,
              [this](MessageHead head, const UnreadRequest &request) {
                  return this->answerUnread(std::move(head), request);
              })
    {
        this->front.setMemoryRefusal(
            this->refusalHead(RequestId{}, 503, Reason::MemoryShort, memoryRetryAfter));
    }

    auto start() -> void { this->front.start(); }

    /// Replaces the routes, and with them the limits of callers' connections.
    auto setRoutes(const std::shared_ptr<const RouteTable> &table) -> void
    {
        const auto &limits = table->configuration().limits;
        MessageLimits bounds;
        bounds.headBytes = limits.headerBytes;
        bounds.bodyBytes = limits.bodyBytes;
        this->front.setLimits(bounds, limits.headerTimeout + limitSlack,
                              limits.idleTimeout + limitSlack);
        this->routes = table;
        this->record.onConfiguration(table->configuration().version);
    }

    /// Executes all commands that RequestFlow has pending.
    auto execute() -> void
    {
        for (auto commands = this->flow.takeCommands(); !commands.empty();
             commands = this->flow.takeCommands()) {
            for (const auto &command : commands) {
                std::visit([this](const auto &each) { this->execute(each); }, command);
            }
        }
    }

    /// From now on refuses new requests, also those of which a part has arrived; open ones
    /// continue.
    auto refuseNew() -> void
    {
        this->isRefusing = true;
        this->front.refuseIncomplete(
            this->refusalHead(RequestId{}, 503, Reason::ShuttingDown, notReadyRetryAfter));
    }

    [[nodiscard]] auto listener() -> FrontListener & { return this->front; }
    [[nodiscard]] auto listenerCounters() const -> const FrontCounters &
    {
        return this->front.counters();
    }
    [[nodiscard]] auto openCount() const -> std::size_t { return this->exchanges.size(); }

private:
    /// Larger bodies are sent from where they are held; smaller ones are copied behind the head,
    /// which saves a system call.
    static constexpr std::size_t copiedBodyBytes = std::size_t{16} * 1024;
    /// Memory of an open request without its message.
    static constexpr std::size_t exchangeBytes = 2048;
    /// Retry-After where memory is short; a caller that stalls is disconnected after that time.
    static constexpr Duration memoryRetryAfter = std::chrono::seconds{1};
    /// Added to the configured timeouts, so that a caller that just keeps them isn't disconnected.
    static constexpr Duration limitSlack = std::chrono::milliseconds{500};
    /// Retry-After while this daemon has no configuration, lacks the newest one, or is shutting
    /// down.
    static constexpr Duration notReadyRetryAfter = std::chrono::milliseconds{150};

    static constexpr int statusBodyTooLarge = 413;
    static constexpr int statusHeadTooLarge = 431;

    /// Service label in the counters of requests that are refused before they are routed.
    static constexpr const char *noServiceName = "none";

    struct Exchange
    {
        MessageHead head;
        std::shared_ptr<const std::string> body;
        MemoryAccount::Charge charge;
        CallerFields fields;
        bool isRepeatable = false;
        std::optional<OutboundId> attempt;
        /// The attempt is made by another daemon.
        bool isForwarded = false;
        /// Where the request was sent to.
        std::vector<Address> sentTo;
        WholeMessage answer;
        bool isAnswerSigned = false;
        /// The caller has disconnected; an attempt is still in progress.
        bool isCallerGone = false;
    };

    /// @returns the memory that an open request takes
    [[nodiscard]] static auto requestBytes(const Exchange &entry) -> std::size_t
    {
        return exchangeBytes + entry.head.heldBytes() + entry.body->size();
    }

    [[nodiscard]] static auto frontSettings(const EdgeSettings &settings) -> FrontSettings
    {
        FrontSettings result;
        result.listen = settings.callerListen;
        result.connectionLimit = settings.connectionLimit;
        return result;
    }

    /// @returns the host that the request names; empty where it names none
    [[nodiscard]] static auto hostOf(const MessageHead &head) -> std::string_view
    {
        const auto *host = head.find("Host");
        return host == nullptr ? std::string_view{} : std::string_view(*host);
    }

    auto onRequest(ExchangeId exchange, WholeMessage request) -> void
    {
        const auto fields = this->wire.callerFields(request.head);
        if (this->isRefusing || this->routes == nullptr) {
            const auto reason = this->isRefusing ? Reason::ShuttingDown : Reason::NotReady;
            this->counters.countRefusal(ServiceName{noServiceName}, CallerId{}, reason);
            this->record.onRefused(AnswerOrigin::Daemon, 503, hostOf(request.head));
            this->refuse(exchange, fields.id, 503, reason, notReadyRetryAfter);
            return;
        }
        const auto *host = request.head.find("Host");
        const auto *route =
            host == nullptr ? nullptr : this->routes->match(*host, request.head.target);
        if (route == nullptr) {
            this->refuseUnknown(exchange, fields.id, request.head);
            return;
        }
        auto spread = this->spreads.try_emplace(route->name, EvenSpread(this->spreadStart)).first;
        Exchange entry;
        entry.fields = fields;
        entry.head = std::move(request.head);
        entry.body = std::make_shared<const std::string>(std::move(request.body));
        entry.charge = MemoryAccount::Charge(&this->memory);
        entry.charge.set(requestBytes(entry));
        entry.isRepeatable = route->isIdempotent;
        FlowRequest flowRequest;
        flowRequest.exchange = exchange;
        flowRequest.id = fields.id;
        flowRequest.route = *route;
        flowRequest.service = RouteTable::serviceAt(*route, spread->second.next());
        const auto *spec = this->routes->service(flowRequest.service);
        if (spec != nullptr && spec->isSharded) {
            flowRequest.key = fields.key;
        }
        flowRequest.callerTimeout = fields.timeout;
        flowRequest.fingerprint =
            stableHash(entry.head.method + " " + entry.head.target, stableHash(*entry.body));
        this->exchanges.emplace(exchange, std::move(entry));
        this->flow.begin(std::move(flowRequest), this->now());
        this->onWork();
    }

    /// @returns the answer to a request that the listener couldn't or wouldn't read
    auto answerUnread(MessageHead head, const UnreadRequest &request) -> MessageHead
    {
        // The newest configuration may have higher limits.
        const auto isBeyondLimit =
            head.status == statusBodyTooLarge || head.status == statusHeadTooLarge;
        if (isBeyondLimit && (this->routes == nullptr || this->isBehind())) {
            head = this->refusalHead(RequestId{}, 503, Reason::NotReady, notReadyRetryAfter);
        }
        this->record.onUnread(head.status, request);
        return head;
    }

    /// Refuses a request for which no route is known.
    auto refuseUnknown(ExchangeId exchange, const RequestId &id, const MessageHead &head) -> void
    {
        // The route may be in a configuration that this daemon hasn't got yet, or couldn't be read.
        const auto isBehind = this->isBehind();
        const auto isCertain = !isBehind && this->routes->configuration().malformedRoutes == 0;
        const auto status = isCertain ? 404 : 503;
        const auto reason = isBehind ? Reason::NotReady : Reason::UnknownService;
        this->counters.countRefusal(ServiceName{noServiceName}, CallerId{}, reason);
        this->record.onRefused(AnswerOrigin::Routes, status, hostOf(head));
        this->refuse(exchange, id, status, reason,
                     isBehind ? std::optional(notReadyRetryAfter) : std::nullopt);
    }

    auto onCallerGone(ExchangeId exchange) -> void
    {
        this->flow.onCallerGone(exchange, this->now());
        const auto found = this->exchanges.find(exchange);
        if (found != this->exchanges.end()) {
            found->second.isCallerGone = true;
            if (!found->second.attempt) {
                this->exchanges.erase(found);
            }
        }
        this->onWork();
    }

    auto execute(const FlowSend &command) -> void
    {
        const auto found = this->exchanges.find(command.exchange);
        if (found == this->exchanges.end()) {
            return;
        }
        auto &entry = found->second;
        OutboundRequest request;
        request.address = command.address;
        const auto headers = this->wire.attemptHeaders(command.upstream, command.remaining);
        entry.isForwarded = !command.forwarder.empty();
        if (entry.body->size() <= copiedBodyBytes) {
            request.text = requestText(entry.head, *entry.body, headers);
        } else {
            request.text = requestHead(entry.head, entry.body->size(), headers);
            request.body = entry.body;
        }
        request.isHead = entry.head.method == "HEAD";
        // RequestFlow aborts attempts itself; this timeout only bounds those that it would miss.
        request.timeout = command.remaining + std::chrono::milliseconds{500};
        if (!entry.fields.id.empty()) {
            request.echoedId = entry.fields.id.value;
        }
        const auto wasSentThere =
            std::find(entry.sentTo.begin(), entry.sentTo.end(), command.address)
            != entry.sentTo.end();
        request.needsNewConnection = !request.echoedId || wasSentThere;
        entry.sentTo.push_back(command.address);
        if (entry.isForwarded) {
            entry.attempt = this->forward(command, std::move(request), entry.isRepeatable);
            return;
        }
        entry.attempt = this->upstreams.send(
            std::move(request), [this, exchange = command.exchange](OutboundResult result) {
                this->onAttemptEnd(exchange, std::move(result), std::nullopt);
            });
    }

    auto forward(const FlowSend &command, OutboundRequest request, bool isRepeatable) -> OutboundId
    {
        ForwardRequest forwarded;
        forwarded.address = command.address;
        forwarded.upstream = command.upstream;
        forwarded.incarnation = command.incarnation;
        forwarded.remaining = command.remaining;
        forwarded.echoedId = std::move(request.echoedId);
        forwarded.isHead = request.isHead;
        forwarded.isRepeatable = isRepeatable;
        forwarded.needsNewConnection = request.needsNewConnection;
        forwarded.isLastResort = command.isLastResort;
        forwarded.text = std::move(request.text);
        forwarded.body = std::move(request.body);
        return this->forwards.send(
            command.forwarder, forwarded,
            [this, exchange = command.exchange](ForwardAnswer answer) {
                this->onAttemptEnd(exchange, OutboundResult{answer.end, std::move(answer.answer)},
                                   answer.hold);
            });
    }

    auto execute(const FlowAbort &command) -> void
    {
        const auto found = this->exchanges.find(command.exchange);
        if (found == this->exchanges.end()) {
            return;
        }
        if (auto &attempt = found->second.attempt) {
            if (found->second.isForwarded) {
                this->forwards.abort(*attempt);
            } else {
                this->upstreams.abort(*attempt);
            }
            attempt.reset();
        }
        if (found->second.isCallerGone) {
            this->exchanges.erase(found);
        }
    }

    auto execute(const FlowDeliver &command) -> void
    {
        const auto found = this->exchanges.find(command.exchange);
        if (found == this->exchanges.end()) {
            return;
        }
        // The request is released first: answering may lead to the admission of another one.
        auto answer = std::move(found->second.answer);
        this->record.onPassedOn(found->second.isAnswerSigned, answer.head.status,
                                hostOf(found->second.head));
        this->exchanges.erase(found);
        this->front.reply(command.exchange, std::move(answer));
    }

    auto execute(const FlowRefuse &command) -> void
    {
        const auto found = this->exchanges.find(command.exchange);
        if (found == this->exchanges.end()) {
            return;
        }
        const auto id = found->second.fields.id;
        this->record.onRefused(AnswerOrigin::Daemon, command.status, hostOf(found->second.head));
        this->exchanges.erase(found);
        this->refuse(command.exchange, id, command.status, command.reason, command.retryAfter);
    }

    /// @param hold why a forwarder hasn't sent the request, if the upstream wants none
    auto onAttemptEnd(ExchangeId exchange, OutboundResult result,
                      const std::optional<SendHold> &hold) -> void
    {
        const auto found = this->exchanges.find(exchange);
        if (found == this->exchanges.end()) {
            return;
        }
        auto &entry = found->second;
        entry.attempt.reset();
        FlowAttemptEnd end;
        end.exchange = exchange;
        switch (result.end) {
        case OutboundResult::End::Answered: {
            const auto fields = this->wire.answerFields(result.answer.head, entry.isRepeatable);
            end.end = fields.end;
            end.load = fields.load;
            end.requestLimit = fields.requestLimit;
            end.isLeaving = fields.isLeaving;
            end.pause = fields.pause;
            end.leaveHint = fields.leaveHint;
            entry.answer = std::move(result.answer);
            entry.isAnswerSigned = fields.isSigned;
            entry.charge.set(requestBytes(entry) + entry.answer.head.heldBytes()
                             + entry.answer.body.size());
            break;
        }
        case OutboundResult::End::NotSent:
            end.end = AttemptEnd::NotSent;
            end.isLeaving = hold && hold->isLeaving;
            end.pause = hold ? hold->pause : std::nullopt;
            break;
        case OutboundResult::End::NoAnswer:
        case OutboundResult::End::BadAnswer:
            end.end = AttemptEnd::NoAnswer;
            break;
        }
        const auto isCallerGone = entry.isCallerGone;
        this->flow.onAttemptEnd(end, this->now());
        if (isCallerGone) {
            this->exchanges.erase(exchange);
        }
        this->onWork();
    }

    auto refuse(ExchangeId exchange, const RequestId &id, int status, Reason reason,
                std::optional<Duration> retryAfter) -> void
    {
        this->front.reply(exchange, this->refusalHead(id, status, reason, retryAfter), "");
    }

    [[nodiscard]] auto refusalHead(const RequestId &id, int status, Reason reason,
                                   std::optional<Duration> retryAfter) const -> MessageHead
    {
        MessageHead head;
        head.status = status;
        head.headers = this->wire.refusalHeaders(id, retryAfter);
        head.headers.push_back(HttpHeader{"X-Reason", std::string(toString(reason))});
        return head;
    }

    const Wire &wire;
    MemoryAccount &memory;
    OutboundPool &upstreams;
    ForwardClient &forwards;
    RequestFlow &flow;
    Counters &counters;
    AnswerRecord &record;
    std::function<bool()> isBehind;
    std::function<Instant()> now;
    std::function<void()> onWork;
    double spreadStart;
    FrontListener front;
    std::shared_ptr<const RouteTable> routes;
    std::map<std::string, EvenSpread> spreads;
    std::map<ExchangeId, Exchange> exchanges;
    bool isRefusing = false;
};

} // namespace gooseberrywall
