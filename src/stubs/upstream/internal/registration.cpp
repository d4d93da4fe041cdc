#include "stubs/upstream/registration.h"

#include "http/percentcoding.h"
#include "platformclient/platformwire.h"

#include <utility>

namespace gooseberrywall {

namespace {

constexpr Duration callTimeout = std::chrono::seconds{1};
constexpr Duration retryInterval = std::chrono::milliseconds{200};

} // namespace

Registration::Registration(event_base *base, Address platform)
    : platform(std::move(platform))
    , pool(base, HttpPoolSettings{})
    , retry(base, [this] { this->tryPut(); })
{
}

auto Registration::put(const VmEntry &vm) -> void
{
    this->vmJson = platformwire::encodeVm(vm);
    this->tryPut();
}

auto Registration::tryPut() -> void
{
    this->pool.send(this->platform, {HttpMethod::Post, "/control/vms", {}, this->vmJson},
                    callTimeout, [this](const HttpAnswer &answer) {
                        if (answer.status != platformwire::okStatus) {
                            this->retry.set(monotonicNow() + retryInterval);
                        }
                    });
}

auto Registration::remove(const std::string &id, std::function<void()> done) -> void
{
    this->retry.set(std::nullopt);
    this->pool.send(
        this->platform,
        {HttpMethod::Post, "/control/vms/remove", {}, R"({"id":")" + percentEncode(id) + R"("})"},
        callTimeout, [done = std::move(done)](const HttpAnswer &) { done(); });
}

} // namespace gooseberrywall
