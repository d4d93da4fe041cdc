#pragma once

#include <cstdint>
#include <string_view>

namespace gooseberrywall {

/// Why a request was refused, was retried or ended with an unknown outcome. Each has its own
/// counter.
enum class Reason : std::uint8_t {
    None,
    // Refusals: the request has certainly not run.
    MalformedRequest,
    BodyTooLarge,
    UnknownService,
    UnknownCaller,
    ShuttingDown,
    NotReady,
    NoOwner,
    TransferQueueFull,
    QueueFull,
    CallerShareExceeded,
    DeadlineTooShort,
    DeadlinePassed,
    CallerGone,
    Quarantined,
    MirrorUnavailable,
    OutcomeMemoryFull,
    UpstreamShed,
    GrantorUnreachable,
    RequestIdReused,
    // Unknown outcomes: the request may have run, or may still be running.
    AnswerLost,
    UpstreamLost,
    UpstreamFrozen,
    OutcomeForgotten,
    AnswerTooLarge,
    // Causes of retries inside the daemon.
    StaleFence,
    WrongGrantor,
    ConnectionFailed,
    UpstreamDraining,
    OwnerChanged,
    RetryBudgetEmpty,
    // Refusals; at the end, as daemons send each other reasons by their numbers.
    RequestLimitReached,
    UpstreamPaused,
    UpstreamUnreachable,
    MemoryShort,
};

inline constexpr int reasonCount = static_cast<int>(Reason::MemoryShort) + 1;

/// @returns the name of the reason in headers, counters and logs, such as "queue_full"
[[nodiscard]] auto toString(Reason reason) -> std::string_view;

/// @returns what a caller or operator can do about it, as one sentence
[[nodiscard]] auto remedy(Reason reason) -> std::string_view;

/// @returns the reason with the given name; Reason::None for an unknown name
[[nodiscard]] auto reasonFromString(std::string_view text) -> Reason;

} // namespace gooseberrywall
