#include "stubs/upstream/types/operationplan.h"

#include <charconv>
#include <cstdint>

namespace gooseberrywall {

namespace {

constexpr std::size_t bytesPerKibibyte = 1024;
constexpr std::uint32_t maxArgument = 1'000'000;

/// @param prefix the part before the number, with its hyphen
/// @returns the number after the prefix; no value if the operation has another form
auto argumentOf(std::string_view operation, std::string_view prefix) -> std::optional<std::uint32_t>
{
    if (!operation.starts_with(prefix)) {
        return std::nullopt;
    }
    const auto digits = operation.substr(prefix.size());
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), value);
    const auto isWholeNumber = end == digits.data() + digits.size();
    if (error != std::errc{} || !isWholeNumber || value > maxArgument) {
        return std::nullopt;
    }
    return value;
}

} // namespace

auto planOf(std::string_view operation) -> OperationPlan
{
    OperationPlan plan;
    if (operation == "crash") {
        plan.crashes = true;
        plan.serviceTime = Duration{0};
        return plan;
    }
    if (const auto millis = argumentOf(operation, "crash-")) {
        plan.crashes = true;
        plan.serviceTime = std::chrono::milliseconds{*millis};
    }
    if (const auto millis = argumentOf(operation, "sleep-")) {
        plan.serviceTime = std::chrono::milliseconds{*millis};
    }
    if (const auto kibibytes = argumentOf(operation, "large-")) {
        plan.answerBytes = *kibibytes * bytesPerKibibyte;
    }
    return plan;
}

} // namespace gooseberrywall
