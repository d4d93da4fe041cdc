#include "common/types/reason.h"

#include <array>

namespace gooseberrywall {

namespace {

struct ReasonText
{
    std::string_view name;
    std::string_view remedy;
};

constexpr std::array<ReasonText, reasonCount> reasonTexts{{
    {"none", "Nothing to do."},
    {"malformed_request", "Correct the request as docs/CALLERS.md describes it."},
    {"body_too_large", "Send a smaller body or raise body_limit_bytes."},
    {"unknown_service", "Name a configured service; gooseberrywallctl status lists them."},
    {"unknown_caller", "Name a configured caller or add one to the configuration."},
    {"shutting_down", "Send the request to another daemon."},
    {"not_ready", "Retry after the stated time; the daemon has no table yet."},
    {"no_owner", "Retry after the stated time; the shard waits for an owner."},
    {"transfer_queue_full", "Retry after the stated time; the shard is moving."},
    {"queue_full", "Retry after the stated time, or add upstreams."},
    {"caller_share_exceeded", "Slow down, or raise the caller's share."},
    {"deadline_too_short", "Allow more time; the queue is longer than the deadline."},
    {"deadline_passed", "Allow more time, or retry."},
    {"caller_gone", "Nothing to do; the caller closed its connection."},
    {"quarantined", "Correct the request; operators lift it with quarantine lift."},
    {"mirror_unavailable", "Retry after the stated time; a stand-by is being chosen."},
    {"outcome_memory_full", "Retry after the stated time, or raise outcome_memory_bytes."},
    {"upstream_shed", "Retry after the stated time; the upstream is overloaded."},
    {"grantor_unreachable", "Retry after the stated time; the grantor is being replaced."},
    {"request_id_reused", "Use a new request id for each different request."},
    {"answer_lost", "Ask for the outcome with the same request id."},
    {"upstream_lost", "Ask for the outcome with the same request id."},
    {"upstream_frozen", "Ask for the outcome with the same request id."},
    {"outcome_forgotten", "Check at the service whether the action took effect."},
    {"answer_too_large", "Ask for less at once or raise answer_limit_bytes."},
    {"stale_fence", "Nothing to do; the daemon refreshes its table."},
    {"wrong_grantor", "Nothing to do; the daemon refreshes its table."},
    {"connection_failed", "Check the network between the daemon and the upstream."},
    {"upstream_draining", "Nothing to do; the shard is moving to another upstream."},
    {"owner_changed", "Nothing to do; the request goes to the new owner."},
    {"retry_budget_empty", "Retry later; too many requests are being retried."},
    {"request_limit_reached",
     "Retry later; the upstream has named a limit of requests per second."},
    {"upstream_paused", "Retry after the stated time; the upstream takes no requests until then."},
    {"upstream_unreachable",
     "Retry; look at the VM's network if it lasts: no daemon that reaches the upstream has room."},
    {"memory_short",
     "Retry after the stated time; other requests take the memory of this daemon's VM."},
}};

} // namespace

auto toString(Reason reason) -> std::string_view
{
    return reasonTexts.at(static_cast<std::size_t>(reason)).name;
}

auto remedy(Reason reason) -> std::string_view
{
    return reasonTexts.at(static_cast<std::size_t>(reason)).remedy;
}

auto reasonFromString(std::string_view text) -> Reason
{
    for (int number = 0; number < reasonCount; ++number) {
        const auto reason = static_cast<Reason>(number);
        if (toString(reason) == text) {
            return reason;
        }
    }
    return Reason::None;
}

} // namespace gooseberrywall
