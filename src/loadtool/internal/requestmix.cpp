#include "loadtool/requestmix.h"

#include <cmath>
#include <cstdio>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr double microsPerSecond = 1e6;
constexpr std::int64_t microsPerMilli = 1000;
constexpr int uniformBits = 53;

auto weightsOf(const std::vector<WeightedOperation> &operations) -> std::vector<double>
{
    std::vector<double> weights;
    weights.reserve(operations.size());
    for (const auto &operation : operations) {
        weights.push_back(operation.weight);
    }
    return weights;
}

/// @returns a UUID of version 7: 48 bits of Unix time in milliseconds, then random bits
auto uuidVersion7(UnixMillis time, std::uint64_t high, std::uint64_t low) -> std::string
{
    constexpr std::size_t textBytes = 37;
    constexpr std::uint64_t variant = 0x8000;
    constexpr std::uint64_t variantMask = 0x3fff;
    std::string text(textBytes, '\0');
    const auto millis = static_cast<std::uint64_t>(time);
    std::snprintf(text.data(), text.size(), "%08llx-%04llx-7%03llx-%04llx-%012llx",
                  static_cast<unsigned long long>((millis >> 16U) & 0xffffffffU),
                  static_cast<unsigned long long>(millis & 0xffffU),
                  static_cast<unsigned long long>(high & 0xfffU),
                  static_cast<unsigned long long>(variant | ((high >> 12U) & variantMask)),
                  static_cast<unsigned long long>(low & 0xffffffffffffU));
    text.pop_back();
    return text;
}

} // namespace

RequestMix::RequestMix(LoadSettings settings, UnixMillis started)
    : settings(std::move(settings))
    , started(started)
    , keys(this->settings.keys, this->settings.zipfExponent)
    , random(this->settings.seed)
{
    const auto weights = weightsOf(this->settings.operations);
    this->operationChoice = {weights.begin(), weights.end()};
}

auto RequestMix::next() -> std::optional<PlannedRequest>
{
    this->at += this->gap();
    if (this->at >= this->settings.duration) {
        return std::nullopt;
    }
    this->count += 1;
    PlannedRequest request;
    request.at = this->at;
    request.id = this->makeId();
    request.caller = this->settings.callers[this->random() % this->settings.callers.size()];
    request.key = {"key-" + std::to_string(this->keys.keyAt(this->uniform()))};
    request.operation = this->settings.operations[this->operationChoice(this->random)].name;
    request.idempotent = this->uniform() < this->settings.idempotentShare;
    return request;
}

auto RequestMix::gap() -> Duration
{
    const auto meanMicros = microsPerSecond / this->rateNow();
    const auto gapMicros =
        this->settings.poisson ? -std::log1p(-this->uniform()) * meanMicros : meanMicros;
    // Rounds up or down at random, so that the mean rate stays exact.
    return Duration{static_cast<Duration::rep>(gapMicros + this->uniform())};
}

auto RequestMix::rateNow() const -> double
{
    const auto &surge = this->settings.surge;
    const auto inSurge = this->at >= surge.start && this->at < surge.start + surge.duration;
    return this->settings.rate * (inSurge ? surge.factor : 1.0);
}

auto RequestMix::makeId() -> RequestId
{
    if (!this->settings.timedIds) {
        return {"load-" + std::to_string(this->settings.seed) + '-' + std::to_string(this->started)
                + '-' + std::to_string(this->count)};
    }
    const auto high = this->random();
    const auto low = this->random();
    return {uuidVersion7(this->started + this->at.count() / microsPerMilli, high, low)};
}

auto RequestMix::uniform() -> double
{
    return std::ldexp(static_cast<double>(this->random() >> (64 - uniformBits)), -uniformBits);
}

} // namespace gooseberrywall
