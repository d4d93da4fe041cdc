#pragma once

#include "entry/requestflow.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace gooseberrywall {

inline const Address self{"10.0.0.1:7000"};
inline const Address grantor{"10.0.0.2:7000"};
inline const ServiceName service{"fitment"};

/// A RequestFlow with its collaborators; the test answers in the grantor's place.
struct RequestFlowFixture
{
    Logger logger;
    RequestLog log{logger, 0};
    PermitClient permits{self, 1, PermitClientSettings{}};
    UpstreamStatements statements{UpstreamStatementSettings{}};
    /// The ends of attempts that were passed on for the count of crashes.
    std::vector<EndedAttempt> ended;
    DirectChoice direct{
        1, statements, {}, [this](const EndedAttempt &attempt) { this->ended.push_back(attempt); }};
    Counters counters;
    StageHistograms stages;
    UpstreamReach reach{UpstreamReachSettings{}};
    RequestFlow flow{RequestFlowSettings{FailureDomain{"north-1"}},
                     permits,
                     direct,
                     statements,
                     reach,
                     FlowRecords{log, counters, stages}};
    Instant now = Instant{std::chrono::seconds{10}};
    std::vector<PermitDatagram> sent;
    std::vector<FlowCommand> commands;

    explicit RequestFlowFixture(bool hasGrantor = true)
        : RequestFlowFixture(hasGrantor, "error", 1)
    {
    }

    /// @param logDescriptor where log lines are written
    RequestFlowFixture(bool hasGrantor, const std::string &logLevel, int logDescriptor)
        : logger(logLevel, 1000, logDescriptor)
    {
        this->direct.setTrusted(true);
        if (hasGrantor) {
            this->permits.setGrantor(service, grantor, 1);
        }
    }

    auto begin(bool isRepeatable, int attempts = 2) -> void
    {
        this->begin(ExchangeId{1}, std::nullopt, isRepeatable, attempts);
    }

    auto begin(ExchangeId exchange, std::optional<KeyPosition> key, bool isRepeatable = false,
               int attempts = 2) -> void
    {
        FlowRequest request;
        request.exchange = exchange;
        request.key = key;
        request.id = RequestId{"r-" + std::to_string(exchange.value)};
        request.service = service;
        request.fingerprint = 9;
        request.route.name = "route";
        request.route.isIdempotent = isRepeatable;
        request.route.maximalAttempts = attempts;
        request.route.timeout = std::chrono::milliseconds{800};
        request.route.targetLatency = std::chrono::milliseconds{300};
        request.callerTimeout = std::chrono::milliseconds{800};
        this->flow.begin(request, this->now);
        this->processPending();
    }

    /// Delivers the permit results, and collects the datagrams and commands that follow.
    auto processPending() -> void
    {
        for (const auto &result : this->permits.takeResults()) {
            this->flow.onPermit(result, this->now);
        }
        for (auto &datagram : this->permits.takeDatagrams()) {
            this->sent.push_back(datagram);
        }
        for (auto &command : this->flow.takeCommands()) {
            this->commands.push_back(command);
        }
    }

    auto advance(Duration duration) -> void
    {
        for (auto passed = Duration{0}; passed < duration; passed += std::chrono::milliseconds{5}) {
            this->now += std::chrono::milliseconds{5};
            this->permits.advance(this->now);
            this->flow.advance(this->now);
            this->processPending();
        }
    }

    /// Answers the last permit request as its grantor.
    auto answer(const PermitVerdict &verdict) -> void
    {
        this->permits.onAnswer(grantor, PermitAnswer{this->lastRequest()->id, verdict}, this->now);
        this->processPending();
    }

    auto grant(const std::string &upstream = "u", Incarnation incarnation = {}) -> void
    {
        PermitVerdict verdict;
        verdict.kind = PermitVerdict::Kind::Granted;
        verdict.upstream = UpstreamId{upstream};
        verdict.incarnation = incarnation;
        verdict.address = Address{"10.1.0.1:80"};
        this->answer(verdict);
    }

    auto end(AttemptEnd end) -> void
    {
        this->end(FlowAttemptEnd{ExchangeId{1}, end, std::nullopt, std::nullopt});
    }

    auto end(const FlowAttemptEnd &end) -> void
    {
        this->flow.onAttemptEnd(end, this->now);
        this->processPending();
    }

    [[nodiscard]] auto lastRequest() const -> const PermitRequest *
    {
        const PermitRequest *last = nullptr;
        for (const auto &datagram : this->sent) {
            if (const auto *request = std::get_if<PermitRequest>(&datagram.message)) {
                last = request;
            }
        }
        return last;
    }

    [[nodiscard]] auto lastReport() const -> const PermitReport *
    {
        const PermitReport *last = nullptr;
        for (const auto &datagram : this->sent) {
            if (const auto *report = std::get_if<PermitReport>(&datagram.message)) {
                last = report;
            }
        }
        return last;
    }

    template<typename Command>
    [[nodiscard]] auto count() const -> int
    {
        return static_cast<int>(std::count_if(
            this->commands.begin(), this->commands.end(),
            [](const FlowCommand &each) { return std::holds_alternative<Command>(each); }));
    }

    template<typename Message>
    [[nodiscard]] auto countSent() const -> int
    {
        return static_cast<int>(
            std::count_if(this->sent.begin(), this->sent.end(), [](const PermitDatagram &each) {
                return std::holds_alternative<Message>(each.message);
            }));
    }

    [[nodiscard]] auto eventCount(CountedEvent event, Reason reason) const -> std::uint64_t
    {
        for (const auto &sample : this->counters.snapshot().counters) {
            if (sample.key == CounterKey{service, CallerId{"route"}, event, reason}) {
                return sample.count;
            }
        }
        return 0;
    }

    /// @returns how many times of a stage were recorded, and their sum
    [[nodiscard]] auto stageTotal(RequestStage stage) const -> std::pair<std::uint64_t, Duration>
    {
        for (const auto &sample : this->stages.snapshot()) {
            if (sample.stage == stage) {
                return {sample.count, sample.sum};
            }
        }
        return {0, Duration{0}};
    }

    [[nodiscard]] auto refusal() const -> const FlowRefuse &
    {
        return std::get<FlowRefuse>(this->commands.back());
    }
};

} // namespace gooseberrywall
