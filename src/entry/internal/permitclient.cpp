#include "entry/permitclient.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr int failuresBeforeSkip = 2;
/// Ended requests are remembered for this long after their deadline, in which late answers arrive.
constexpr Duration endedRetention = std::chrono::seconds{1};

} // namespace

PermitClient::PermitClient(Address self, std::uint64_t incarnation, PermitClientSettings settings)
    : self(std::move(self))
    , incarnation(incarnation)
    , settings(settings)
{
}

auto PermitClient::setGrantor(const ServiceName &service, const Address &grantor,
                              std::uint64_t term) -> void
{
    auto &known = this->grantors[service];
    if (term < known.term || (term == known.term && known.address == grantor)) {
        return;
    }
    known = Grantor{grantor, term, Instant{}, 0};
    // Requests that are pending at the earlier grantor are sent to the new one at once.
    for (auto &[sequence, entry] : this->pending) {
        if (entry.request.service == service) {
            entry.grantor = grantor;
            entry.queuedSince.reset();
            entry.queuedResendAfter = Duration{0};
            entry.unansweredSends = 0;
            entry.due = Instant{};
        }
    }
}

auto PermitClient::grantorOf(const ServiceName &service) const -> const Address *
{
    const auto found = this->grantors.find(service);
    return found == this->grantors.end() ? nullptr : &found->second.address;
}

auto PermitClient::ask(ExchangeId exchange, PermitRequest request, Instant now) -> PermitId
{
    const auto sequence = this->nextSequence++;
    request.id = PermitId{this->self, this->incarnation, sequence};
    auto id = request.id;
    const auto found = this->grantors.find(request.service);
    if (found == this->grantors.end()) {
        this->noGrantorAt = now;
        this->results.push_back(PermitResult{exchange, id, std::nullopt, Duration{0}});
        return id;
    }
    auto &grantor = found->second;
    // Retries need the grantor's retry budget, so they are sent to a skipped grantor too.
    const auto isSkipped = now < grantor.skippedUntil && request.avoid.empty();
    if (isSkipped) {
        this->results.push_back(PermitResult{exchange, id, std::nullopt, Duration{0}});
        return id;
    }
    Pending entry;
    entry.exchange = exchange;
    entry.deadline = now + request.remaining;
    entry.targetAt = now + request.untilTarget;
    entry.request = std::move(request);
    entry.grantor = grantor.address;
    auto &placed = this->pending.emplace(sequence, std::move(entry)).first->second;
    this->sendRequest(placed, now);
    return id;
}

auto PermitClient::sendRequest(Pending &pending, Instant now) -> void
{
    auto request = pending.request;
    request.remaining = pending.deadline - now;
    request.untilTarget = pending.targetAt - now;
    this->datagrams.push_back(PermitDatagram{pending.grantor, std::move(request)});
    ++pending.unansweredSends;
    pending.due = now + this->settings.resendAfter;
}

auto PermitClient::cancel(ExchangeId exchange) -> void
{
    std::erase_if(this->pending, [&](const auto &row) {
        if (row.second.exchange != exchange) {
            return false;
        }
        this->datagrams.push_back(PermitDatagram{
            row.second.grantor, PermitCancel{row.second.request.id, row.second.request.service}});
        this->rememberEnded(row.first, row.second);
        return true;
    });
}

auto PermitClient::rememberEnded(std::uint64_t sequence, const Pending &entry) -> void
{
    this->ended[sequence] = Ended{entry.request.service, entry.deadline, std::nullopt};
}

auto PermitClient::returnUnused(const Address &grantor, const ServiceName &service,
                                const PermitAnswer &answer) -> void
{
    PermitReport unused;
    unused.id = PermitId{this->self, this->incarnation, answer.id.sequence};
    unused.service = service;
    unused.upstream = answer.verdict.upstream;
    this->datagrams.push_back(PermitDatagram{grantor, unused});
}

auto PermitClient::report(const PermitReport &report) -> void
{
    const auto issuer = this->issuers.find(report.id.sequence);
    if (issuer == this->issuers.end()) {
        return;
    }
    auto complete = report;
    if (const auto request = this->ended.find(report.id.sequence); request != this->ended.end()) {
        complete.service = request->second.service;
        request->second.report = complete;
    }
    this->datagrams.push_back(PermitDatagram{issuer->second, std::move(complete)});
    this->issuers.erase(issuer);
}

auto PermitClient::onAnswer(const Address &from, const PermitAnswer &answer, Instant now) -> void
{
    using Kind = PermitVerdict::Kind;
    if (answer.id.incarnation != this->incarnation) {
        return;
    }
    const auto found = this->pending.find(answer.id.sequence);
    if (found == this->pending.end()) {
        this->onLateAnswer(from, answer);
        return;
    }
    auto &entry = found->second;
    if (from != entry.grantor) {
        if (answer.verdict.kind == Kind::Granted) {
            this->returnUnused(from, entry.request.service, answer);
        }
        return;
    }
    entry.unansweredSends = 0;
    if (const auto grantor = this->grantors.find(entry.request.service);
        grantor != this->grantors.end() && grantor->second.address == from) {
        grantor->second.consecutiveFailures = 0;
    }
    if (answer.verdict.kind == Kind::Queued) {
        entry.queuedSince = entry.queuedSince.value_or(now);
        entry.queuedResendAfter =
            std::clamp(entry.queuedResendAfter * 2, this->settings.queuedResendAfter,
                       this->settings.longestQueuedResendAfter);
        entry.due = now + entry.queuedResendAfter;
        return;
    }
    if (answer.verdict.kind == Kind::NotGrantor) {
        this->onNotGrantor(from, answer, now);
        return;
    }
    if (answer.verdict.kind == Kind::Granted) {
        this->issuers[found->first] = from;
    }
    this->results.push_back(
        PermitResult{entry.exchange, entry.request.id, answer.verdict, queuedTime(entry, now)});
    this->rememberEnded(found->first, entry);
    this->pending.erase(found);
}

auto PermitClient::onLateAnswer(const Address &from, const PermitAnswer &answer) -> void
{
    const auto request = this->ended.find(answer.id.sequence);
    const auto isInUse = this->issuers.contains(answer.id.sequence);
    const auto isGranted = answer.verdict.kind == PermitVerdict::Kind::Granted;
    if (!isGranted || isInUse || request == this->ended.end()) {
        return;
    }
    if (request->second.report) {
        this->datagrams.push_back(PermitDatagram{from, *request->second.report});
        return;
    }
    this->returnUnused(from, request->second.service, answer);
}

auto PermitClient::onNotGrantor(const Address &from, const PermitAnswer &answer, Instant now)
    -> void
{
    const auto sequence = answer.id.sequence;
    if (!answer.verdict.address.empty()) {
        const auto service = this->pending.at(sequence).request.service;
        this->setGrantor(service, answer.verdict.address, answer.verdict.grantorTerm);
    }
    if (this->pending.at(sequence).grantor == from) {
        this->giveUp(sequence, now);
    }
}

auto PermitClient::advance(Instant now) -> void
{
    std::erase_if(this->ended,
                  [&](const auto &row) { return row.second.deadline + endedRetention <= now; });
    std::vector<std::uint64_t> lost;
    for (auto &[sequence, entry] : this->pending) {
        if (entry.due > now) {
            continue;
        }
        if (entry.unansweredSends >= this->settings.maxSends) {
            lost.push_back(sequence);
        } else {
            this->sendRequest(entry, now);
        }
    }
    for (const auto sequence : lost) {
        this->giveUp(sequence, now);
    }
}

auto PermitClient::giveUp(std::uint64_t sequence, Instant now) -> void
{
    const auto found = this->pending.find(sequence);
    const auto entry = std::move(found->second);
    this->pending.erase(found);
    this->rememberEnded(sequence, entry);
    this->noGrantorAt = now;
    // The grantor may only be slow; without this it would keep a slot for the request.
    this->datagrams.push_back(
        PermitDatagram{entry.grantor, PermitCancel{entry.request.id, entry.request.service}});
    if (const auto grantor = this->grantors.find(entry.request.service);
        grantor != this->grantors.end() && grantor->second.address == entry.grantor) {
        if (++grantor->second.consecutiveFailures >= failuresBeforeSkip) {
            grantor->second.skippedUntil = now + this->settings.skipDuration;
        }
    }
    this->results.push_back(
        PermitResult{entry.exchange, entry.request.id, std::nullopt, queuedTime(entry, now)});
}

auto PermitClient::queuedTime(const Pending &pending, Instant now) -> Duration
{
    return pending.queuedSince ? now - *pending.queuedSince : Duration{0};
}

auto PermitClient::nextDue() const -> std::optional<Instant>
{
    std::optional<Instant> due;
    for (const auto &[sequence, entry] : this->pending) {
        due = due ? std::min(*due, entry.due) : entry.due;
    }
    return due;
}

auto PermitClient::takeDatagrams() -> std::vector<PermitDatagram>
{
    return std::exchange(this->datagrams, {});
}

auto PermitClient::takeResults() -> std::vector<PermitResult>
{
    return std::exchange(this->results, {});
}

} // namespace gooseberrywall
