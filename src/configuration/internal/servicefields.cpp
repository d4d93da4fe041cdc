#include "configuration/internal/servicefields.h"

#include <chrono>
#include <type_traits>

namespace gooseberrywall {

namespace {

constexpr std::int64_t minuteMillis = 60'000;
constexpr std::int64_t hourMillis = 60 * minuteMillis;
constexpr std::int64_t mebibyte = std::int64_t{1024} * 1024;

const auto *const forNewRequests = "within seconds, for requests and orders from then on";

struct FieldDescription
{
    const char *name;
    const char *unit;
    std::int64_t minimum;
    std::int64_t maximum;
    const char *takesEffect;
    const char *text;
};

template<typename Member>
auto valueKindOf() -> ValueKind
{
    if constexpr (std::is_same_v<Member, bool>) {
        return ValueKind::Boolean;
    } else if constexpr (std::is_same_v<Member, Duration>) {
        return ValueKind::Milliseconds;
    } else {
        return ValueKind::Integer;
    }
}

template<typename Member>
auto textOf(const Member &value) -> std::string
{
    if constexpr (std::is_same_v<Member, bool>) {
        return value ? "yes" : "no";
    } else if constexpr (std::is_same_v<Member, Duration>) {
        return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
    } else {
        return std::to_string(value);
    }
}

template<typename Member>
auto valueOf(const IniSection &section, const std::string &key) -> Member
{
    if constexpr (std::is_same_v<Member, bool>) {
        return section.boolean(key);
    } else if constexpr (std::is_same_v<Member, Duration>) {
        return section.duration(key);
    } else {
        return static_cast<Member>(section.integer(key));
    }
}

template<typename Member>
auto field(Member ServicePolicy::*member, const FieldDescription &text) -> ServiceField
{
    const auto name = std::string(text.name);
    auto key = KeyDescription{
        name,         valueKindOf<Member>(),           text.unit,        text.minimum,
        text.maximum, textOf(ServicePolicy{}.*member), text.takesEffect, text.text};
    auto apply = [member, name](ServicePolicy &policy, const IniSection &section) {
        policy.*member = valueOf<Member>(section, name);
    };
    return {std::move(key), std::move(apply)};
}

auto ownershipFields() -> std::vector<ServiceField>
{
    return {
        field(&ServicePolicy::shardCount,
              {"shard_count", "hash ranges", 1, 65'536,
               "when the service is added; fixed afterwards",
               "Number of hash ranges into which the keys are divided. About ten per "
               "upstream allow the load to be balanced. To change it, add a service under a "
               "new name."}),
        field(&ServicePolicy::checksSender,
              {"checks_sender", "", 0, 1, forNewRequests,
               "Whether the upstreams check the term and fencing token of the daemon that "
               "sends orders. Set it to no if they don't: then another daemon sends orders "
               "only after those of a lost daemon have ended, which takes longer but is "
               "safe."}),
        field(&ServicePolicy::grantsExpire,
              {"grants_expire", "", 0, 1, forNewRequests,
               "Whether grants end by themselves at the upstream after grant_ttl_ms. If "
               "they don't, only the upstream's acknowledgement or its end frees its keys."}),
        field(&ServicePolicy::grantTimeToLive,
              {"grant_ttl_ms", "ms", 100, 10 * minuteMillis, "with each upstream's next renewal",
               "How long a grant lasts without renewal. Shorter: the keys of a lost "
               "upstream are served again earlier. Longer: grants outlast longer pauses."}),
        field(&ServicePolicy::clockMargin,
              {"clock_margin_ms", "ms", 0, minuteMillis, forNewRequests,
               "Added to each time to live before a grant counts as ended, for clocks that run at "
               "different rates."}),
        field(&ServicePolicy::grantorAuthority,
              {"grantor_authority_ms", "ms", 0, 24 * hourMillis, forNewRequests,
               "How long a daemon continues to renew grants without contact to the "
               "coordinator; 0: without limit, allowed only if the upstreams check the "
               "sender. Longer: grants outlast longer outages. Shorter: less waiting after "
               "an upstream and its daemon are lost together."}),
    };
}

auto admissionFields() -> std::vector<ServiceField>
{
    return {
        field(&ServicePolicy::slots, {"slots", "requests", 1, 1024, forNewRequests,
                                      "How many requests an upstream runs at once."}),
        field(&ServicePolicy::longWorkSlots,
              {"long_work_slots", "requests", 1, 1024, forNewRequests,
               "Maximum number of slots that long work may occupy."}),
        field(&ServicePolicy::longWorkThreshold,
              {"long_work_threshold_ms", "ms", 1, hourMillis, forNewRequests,
               "Work that takes longer than this is long."}),
        field(&ServicePolicy::queueLimit,
              {"queue_limit", "requests", 0, 65'536, forNewRequests,
               "Maximum number of requests that wait for an upstream; others are refused at "
               "once."}),
        field(&ServicePolicy::transferQueueLimit,
              {"transfer_queue_limit", "requests", 0, 65'536, forNewRequests,
               "Maximum number of requests that wait in a daemon for keys whose owner "
               "changes."}),
        field(&ServicePolicy::defaultDeadline,
              {"default_deadline_ms", "ms", 1, hourMillis, forNewRequests,
               "The deadline of requests that state none."}),
        field(&ServicePolicy::maximalDeadline,
              {"maximal_deadline_ms", "ms", 1, hourMillis, forNewRequests,
               "Later deadlines are shortened to this."}),
        field(&ServicePolicy::bodyLimitBytes,
              {"body_limit_bytes", "bytes", 0, 16 * mebibyte, forNewRequests,
               "The largest body of a request; larger ones are refused."}),
        field(&ServicePolicy::answerLimitBytes,
              {"answer_limit_bytes", "bytes", 1, 64 * mebibyte, forNewRequests,
               "The largest answer that is passed to the caller; with a larger one the "
               "outcome is reported as unknown."}),
    };
}

auto outcomeFields() -> std::vector<ServiceField>
{
    return {
        field(&ServicePolicy::outcomeMemoryBytes,
              {"outcome_memory_bytes", "bytes", 0, 256 * mebibyte, forNewRequests,
               "Memory for the outcomes of non-repeatable requests, for each upstream."}),
        field(&ServicePolicy::outcomeMemoryTime,
              {"outcome_memory_time_ms", "ms", 0, 24 * hourMillis, forNewRequests,
               "How long these outcomes are remembered; callers must not resend later."}),
        field(&ServicePolicy::retryBudgetPercent,
              {"retry_budget_percent", "percent", 0, 100, forNewRequests,
               "Retries that are allowed, as a share of the requests sent."}),
        field(&ServicePolicy::quarantineAfterCrashes,
              {"quarantine_after_crashes", "crashes", 1, 100, forNewRequests,
               "A request that was running during this many crashes of upstreams is not run "
               "again until an operator lifts its quarantine."}),
        field(&ServicePolicy::coldStart,
              {"cold_start_ms", "ms", 0, hourMillis, "for upstreams that start afterwards",
               "Time over which the load of a new upstream is raised."}),
        field(&ServicePolicy::drainTimeout,
              {"drain_timeout_ms", "ms", 0, hourMillis, "for drains that start afterwards",
               "How long a leaving upstream may take to finish its work."}),
        field(
            &ServicePolicy::onlyListedCallers,
            {"only_listed_callers", "", 0, 1, forNewRequests,
             "Whether callers that no [callers NAME] section lists for the service are refused."}),
    };
}

auto makeFields() -> std::vector<ServiceField>
{
    auto all = ownershipFields();
    for (auto &more : {admissionFields(), outcomeFields()}) {
        all.insert(all.end(), more.begin(), more.end());
    }
    return all;
}

} // namespace

auto serviceFields() -> const std::vector<ServiceField> &
{
    static const auto fields = makeFields();
    return fields;
}

} // namespace gooseberrywall
