#include "platformclient/platformclient.h"

#include "platformclient/platformwire.h"

#include <utility>

namespace gooseberrywall {

namespace {

auto poolSettings(const PlatformClientSettings &settings) -> HttpPoolSettings
{
    HttpPoolSettings pool;
    pool.connectionsPerAddress = settings.connections;
    pool.answerLimitBytes = settings.answerLimitBytes;
    return pool;
}

auto answerWith(StoreStatus status) -> StoreAnswer
{
    StoreAnswer answer;
    answer.status = status;
    return answer;
}

/// @returns whether the platform's service sends this status without having executed the call
auto isRefusal(int status) -> bool
{
    return status == platformwire::unavailableStatus || status == platformwire::tooLargeStatus
           || status == platformwire::badRequestStatus;
}

auto toStoreAnswer(const HttpAnswer &answer) -> StoreAnswer
{
    if (answer.outcome == HttpOutcome::NotSent) {
        return answerWith(StoreStatus::Unavailable);
    }
    if (answer.outcome != HttpOutcome::Answered) {
        return answerWith(StoreStatus::Ambiguous);
    }
    if (isRefusal(answer.status)) {
        return answerWith(StoreStatus::Unavailable);
    }
    if (answer.status != platformwire::okStatus) {
        return answerWith(StoreStatus::Ambiguous);
    }
    return platformwire::decodeAnswer(answer.body).value_or(answerWith(StoreStatus::Ambiguous));
}

} // namespace

PlatformClient::PlatformClient(event_base *base, PlatformClientSettings settings, Done done)
    : settings(std::move(settings))
    , done(std::move(done))
    , calls(base, poolSettings(this->settings))
    , watches(base, poolSettings(this->settings))
{
}

auto PlatformClient::send(const StoreSend &call) -> void
{
    const auto *const watch = std::get_if<StoreWatch>(&call.request);
    auto &pool = watch != nullptr ? this->watches : this->calls;
    const auto timeout = watch != nullptr ? call.timeout + watch->timeout : call.timeout;
    pool.send(this->settings.address, platformwire::encodeRequest(call.request), timeout,
              [this, id = call.call](const HttpAnswer &answer) {
                  this->done(id, toStoreAnswer(answer));
              });
}

} // namespace gooseberrywall
