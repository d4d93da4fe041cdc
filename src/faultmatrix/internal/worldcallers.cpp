// Simulates callers: periodic requests, and resends after broken connections.
#include "faultmatrix/world.h"

#include <utility>

namespace gooseberrywall {

namespace {

constexpr Duration resendDelay = std::chrono::milliseconds{50};
constexpr std::size_t submissionLimit = 4;
constexpr Duration trafficTimeout = std::chrono::seconds{3};
constexpr std::uint64_t keyCount = 8;

/// @returns a UUID of version 7 with the number in its random part
auto makeRequestId(std::uint64_t number, UnixMillis issuedAt) -> RequestId
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text = "00000000-0000-7000-8000-000000000000";
    for (int position = 12; position >= 0; --position) {
        if (position != 8) {
            text[static_cast<std::size_t>(position)] =
                digits[static_cast<std::size_t>(issuedAt & 15)];
            issuedAt >>= 4;
        }
    }
    for (std::size_t position = text.size() - 1; number > 0; --position) {
        text[position] = digits[number & 15];
        number >>= 4;
    }
    return {text};
}

} // namespace

auto World::sendTraffic() -> void
{
    this->schedule(this->time + this->worldOptions.requestInterval,
                   [this] { this->sendTraffic(); });
    if (!this->isTrafficOn) {
        return;
    }
    const auto number = this->lastRequest;
    // The requests of each key go to all daemons in turn.
    const auto daemon = this->nextReadyDaemon(static_cast<std::size_t>(number + number / keyCount));
    if (daemon) {
        this->sendRequest(*daemon, {"key-" + std::to_string(number % keyCount)}, number % 2 == 0,
                          trafficTimeout);
    }
}

auto World::sendRequest(std::size_t daemon, const Key &key, bool idempotent, Duration timeout)
    -> void
{
    CallerRecord record;
    record.id = makeRequestId(++this->lastRequest, this->wallClock());
    record.key = key;
    record.idempotent = idempotent;
    record.timeout = timeout;
    this->callerRecords.push_back(std::move(record));
    this->submit(this->callerRecords.size() - 1, daemon);
}

auto World::submit(std::size_t record, std::size_t daemon) -> void
{
    auto &caller = this->callerRecords[record];
    auto &vm = this->daemonVms[daemon];
    const ExchangeId exchange{++this->lastExchange};
    caller.submissions.push_back(
        {daemon, exchange, this->time, this->time + caller.timeout, std::nullopt, std::nullopt});
    this->openExchanges[exchange] = record;
    RunCall call;
    call.request.id = caller.id;
    call.request.caller = {"shop"};
    call.request.service = {"fitment"};
    call.request.key = caller.key;
    call.request.operation = caller.idempotent ? "lookup" : "reserve";
    call.request.idempotent = caller.idempotent;
    call.request.resend = caller.submissions.size() > 1;
    call.request.issuedAt = issueTimeOf(caller.id);
    call.request.body = "body of " + caller.id.value;
    call.timeout = caller.timeout;
    this->schedule(
        this->time + this->worldOptions.domainDelay,
        [this, daemon, incarnationNumber = vm.incarnationNumber, exchange, call = std::move(call)] {
            this->deliverInput(daemon, incarnationNumber, RequestReceived{exchange, call});
        });
}

auto World::endExchange(std::size_t /*from*/, CallerSend send) -> void
{
    const auto found = this->openExchanges.find(send.exchange);
    if (found == this->openExchanges.end()) {
        this->unmatchedEnds += 1;
        return;
    }
    auto &caller = this->callerRecords[found->second];
    for (auto &submission : caller.submissions) {
        if (submission.exchange == send.exchange) {
            submission.endedAt = this->time;
            submission.end = std::move(send.end);
        }
    }
    this->openExchanges.erase(found);
}

auto World::breakConnections(std::size_t daemon) -> void
{
    for (std::size_t record = 0; record < this->callerRecords.size(); ++record) {
        auto &caller = this->callerRecords[record];
        if (caller.submissions.empty()) {
            continue;
        }
        auto &last = caller.submissions.back();
        if (last.daemon != daemon || last.end || last.isBroken) {
            continue;
        }
        last.isBroken = true;
        last.endedAt = this->time;
        this->openExchanges.erase(last.exchange);
        if (caller.submissions.size() < submissionLimit) {
            this->schedule(this->time + resendDelay, [this, record] { this->resend(record); });
        }
    }
}

auto World::resend(std::size_t record) -> void
{
    const auto start = this->callerRecords[record].submissions.back().daemon + 1;
    if (const auto daemon = this->nextReadyDaemon(start)) {
        this->submit(record, *daemon);
    }
}

auto World::nextReadyDaemon(std::size_t start) const -> std::optional<std::size_t>
{
    for (std::size_t offset = 0; offset < this->daemonVms.size(); ++offset) {
        const auto index = (start + offset) % this->daemonVms.size();
        const auto &vm = this->daemonVms[index];
        // The load balancer checks readiness, and doesn't notice a pause at once.
        if (vm.node != nullptr && vm.node->isReady()) {
            return index;
        }
    }
    return std::nullopt;
}

} // namespace gooseberrywall
