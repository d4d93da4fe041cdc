#pragma once

#include "common/durations.h"
#include "edge/grantorrole.h"
#include "edge/wireadapter.h"
#include "http1/messagewriter.h"
#include "storelink/storecontacts.h"
#include "streams/outboundpool.h"

#include <functional>
#include <optional>
#include <utility>

namespace gooseberrywall {

/// Sends calls to the store, counts them, and logs the start and end of each outage.
template<WireAdapter Wire>
class StoreClient
{
public:
    /// Of reads and watches: values may be large, and the links of VMs slow.
    static constexpr ArrivalLimit answerArrival{std::chrono::milliseconds{1000},
                                                std::chrono::seconds{10}};

    StoreClient(const Wire &wire, OutboundPool &pool, Address store, std::function<Instant()> now,
                Logger &logger)
        : wire(wire)
        , pool(pool)
        , store(std::move(store))
        , now(std::move(now))
        , logger(logger)
    {
    }

    /// @param done receives the answer once
    auto send(const StoreCall &call, Duration timeout, std::function<void(StoreAnswer)> done)
        -> void
    {
        ++this->calls;
        const auto message = this->wire.storeCall(call);
        OutboundRequest request;
        request.address = this->store;
        request.timeout = timeout;
        request.text = callText(message, this->store, {});
        // Watches wait, so their silence tells nothing.
        const auto isAnsweredAtOnce = !std::holds_alternative<StoreWatch>(call);
        if (mayBeLarge(call)) {
            request.arrival = answerArrival;
        }
        const auto sentAt = this->now();
        if (isAnsweredAtOnce) {
            this->contacts.onSent(sentAt);
        }
        this->pool.send(std::move(request), [this, call, isAnsweredAtOnce, sentAt,
                                             done = std::move(done)](const OutboundResult &result) {
            const auto answer = this->answerOf(call, result);
            if (isAnsweredAtOnce) {
                this->contacts.onEnd(!isFailure(answer.kind), sentAt);
            }
            done(answer);
        });
    }

    /// @returns whether an answer of the store is arriving
    [[nodiscard]] auto isAnswerArriving() const -> bool
    {
        return this->pool.isArriving(answerArrival.stall);
    }
    [[nodiscard]] auto contact() const -> StoreContact
    {
        return this->contacts.contact(this->now());
    }
    /// @returns the highest era that the store has named; zero where it hasn't named any
    [[nodiscard]] auto currentEra() const -> std::uint64_t { return this->era.value_or(0); }
    [[nodiscard]] auto callCount() const -> std::uint64_t { return this->calls; }
    [[nodiscard]] auto failureCount() const -> std::uint64_t { return this->failures; }

    /// @returns the HTTP request of a call; a body is declared as JSON, with its length
    [[nodiscard]] static auto callText(const WireCall &call, const Address &to,
                                       std::vector<HttpHeader> extraHeaders) -> std::string
    {
        MessageHead head;
        head.method = call.method;
        head.target = call.target;
        head.headers = std::move(extraHeaders);
        head.headers.insert(head.headers.begin(), HttpHeader{"Host", to.value});
        if (!call.body.empty()) {
            head.headers.push_back(HttpHeader{"Content-Type", "application/json"});
        }
        return requestText(head, call.body, {});
    }

private:
    [[nodiscard]] static auto mayBeLarge(const StoreCall &call) -> bool
    {
        return std::holds_alternative<StoreGet>(call) || std::holds_alternative<StoreRange>(call)
               || std::holds_alternative<StoreWatch>(call);
    }

    auto answerOf(const StoreCall &call, const OutboundResult &result) -> StoreAnswer
    {
        StoreAnswer answer;
        if (result.end == OutboundResult::End::Answered) {
            answer = this->wire.storeAnswer(call, result.answer);
        } else if (result.end == OutboundResult::End::NotSent) {
            answer.kind = StoreAnswer::Kind::Refused;
        }
        const auto isFailed = isFailure(answer.kind);
        this->failures += isFailed ? 1 : 0;
        this->logEra(answer);
        this->logState(isFailed, answer.kind == StoreAnswer::Kind::Refused);
        return answer;
    }

    /// Logs the store's era once, and each rise.
    auto logEra(const StoreAnswer &answer) -> void
    {
        if (!answer.era || (this->era && *answer.era <= *this->era)) {
            return;
        }
        LogLine line(this->era ? "store_restored" : "store_known");
        line.with("era", static_cast<std::int64_t>(*answer.era))
            .with("revision", static_cast<std::int64_t>(answer.revision.value));
        this->logger.write(this->era ? LogLevel::Warning : LogLevel::Info, line.text());
        this->era = answer.era;
    }

    /// Logs once that the store has become unavailable, and once that it is available again.
    auto logState(bool isFailed, bool isRefused) -> void
    {
        if (isFailed && !this->outageSince) {
            this->outageSince = this->now();
            LogLine line("store_unavailable");
            line.with("why", isRefused ? "refused" : "no answer")
                .with("failures", static_cast<std::int64_t>(this->failures));
            this->logger.write(LogLevel::Warning, line.text());
        } else if (!isFailed && this->outageSince) {
            LogLine line("store_available");
            line.with("outage_ms", toMilliseconds(this->now() - *this->outageSince))
                .with("failures", static_cast<std::int64_t>(this->failures));
            this->logger.write(LogLevel::Info, line.text());
            this->outageSince.reset();
        }
    }

    const Wire &wire;
    OutboundPool &pool;
    Address store;
    std::function<Instant()> now;
    Logger &logger;
    StoreContacts contacts;
    std::optional<Instant> outageSince;
    /// The highest era that the store has named.
    std::optional<std::uint64_t> era;
    std::uint64_t calls = 0;
    std::uint64_t failures = 0;
};

/// Sends orders that grant or release keys to upstreams. Their answers carry no id, so an order
/// whose result may end an ownership has a connection of its own: additional bytes behind an
/// earlier answer can't be taken for its answer. Renewals share connections; there only an accepted
/// renewal counts, as additional bytes then make a grant count as longer than it is at most, which
/// is safe.
template<WireAdapter Wire>
class OrderClient
{
public:
    /// An upstream answers a grant at once.
    static constexpr Duration grantTimeout = std::chrono::milliseconds{600};
    /// An upstream answers a release when the requests on its keys have ended.
    static constexpr Duration releaseTimeout = std::chrono::milliseconds{1500};

    /// @param pool for orders only, with reusesAfterErrors unset
    OrderClient(const Wire &wire, OutboundPool &pool)
        : wire(wire)
        , pool(pool)
    {
    }

    /// @param done receives the order's end once, and what the upstream stated with it
    auto send(const RangeOrder &order, std::function<void(RangeOrderEnd, OrderStatement)> done)
        -> void
    {
        const auto isGrant = order.kind == RangeOrder::Kind::Grant;
        OutboundRequest request;
        request.address = order.address;
        request.timeout = isGrant ? grantTimeout : releaseTimeout;
        request.needsNewConnection = !order.isRenewal;
        request.text = StoreClient<Wire>::callText(this->wire.order(order), order.address,
                                                   this->wire.targetHeaders(order.upstream));
        this->pool.send(std::move(request), [this, order,
                                             done = std::move(done)](const OutboundResult &result) {
            const auto end = this->endOf(order, result);
            const auto isAnswer = result.end == OutboundResult::End::Answered
                                  && end.kind != RangeOrderEnd::Kind::NoAnswer;
            done(end, isAnswer ? this->wire.orderStatement(result.answer.head) : OrderStatement{});
        });
    }

private:
    auto endOf(const RangeOrder &order, const OutboundResult &result) -> RangeOrderEnd
    {
        if (result.end == OutboundResult::End::Answered) {
            auto answered = this->wire.orderEnd(order, result.answer);
            if (result.isFirstOnConnection || answered.kind == RangeOrderEnd::Kind::Accepted) {
                return answered;
            }
        }
        RangeOrderEnd end;
        end.call = order.call;
        end.kind = result.end == OutboundResult::End::NotSent ? RangeOrderEnd::Kind::NotSent
                                                              : RangeOrderEnd::Kind::NoAnswer;
        return end;
    }

    const Wire &wire;
    OutboundPool &pool;
};

} // namespace gooseberrywall
