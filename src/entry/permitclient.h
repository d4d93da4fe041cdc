#pragma once

#include "permitlink/permitmessages.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace gooseberrywall {

struct PermitClientSettings
{
    /// An unanswered request is sent again after this time.
    Duration resendAfter = std::chrono::milliseconds{50};
    /// A request that was sent this often without an answer is given up.
    int maxSends = 3;
    /// A queued request is sent again after this time, because its verdict may be lost; the time is
    /// doubled with each repetition, up to the longest.
    Duration queuedResendAfter = std::chrono::milliseconds{120};
    Duration longestQueuedResendAfter = std::chrono::milliseconds{960};
    /// A grantor that failed two requests in a row is skipped for this time.
    Duration skipDuration = std::chrono::milliseconds{400};
    auto operator==(const PermitClientSettings &) const -> bool = default;
};

/// The end of a permit request at its entry daemon.
struct PermitResult
{
    ExchangeId exchange;
    PermitId id;
    /// Empty where no grantor gave one: none is known, it is skipped, or it didn't answer.
    std::optional<PermitVerdict> verdict;
    /// Time since the grantor first reported the request as queued; zero where it never did.
    Duration queuedFor{0};
    auto operator==(const PermitResult &) const -> bool = default;
};

/// Requests permits from grantors by datagrams that may be lost. Does no I/O; the time is passed
/// in.
class PermitClient
{
public:
    /// @param self the address at which this daemon receives datagrams
    /// @param incarnation differs after each restart of this daemon; answers to an earlier
    /// incarnation are ignored
    PermitClient(Address self, std::uint64_t incarnation, PermitClientSettings settings);

    /// Sets a service's grantor; requests that are pending at an earlier one are sent to it.
    /// @param term ignored where it is lower than the known grantor's
    auto setGrantor(const ServiceName &service, const Address &grantor, std::uint64_t term) -> void;
    /// @returns the address of the service's known grantor; nullptr where none is known
    [[nodiscard]] auto grantorOf(const ServiceName &service) const -> const Address *;

    /// Requests a permit; the result is fetched with takeResults().
    /// @param request its id is assigned here
    /// @returns the assigned id
    auto ask(ExchangeId exchange, PermitRequest request, Instant now) -> PermitId;
    /// Drops the exchange's pending request and tells its grantor.
    auto cancel(ExchangeId exchange) -> void;
    /// Returns a permit to the grantor that issued it.
    auto report(const PermitReport &report) -> void;
    /// Handles a grantor's answer. A permit that nobody waits for any more is returned, and one
    /// that was returned before is returned again, because that report may be lost.
    auto onAnswer(const Address &from, const PermitAnswer &answer, Instant now) -> void;
    /// Sends requests again that are due, and gives up those that have been sent often enough.
    auto advance(Instant now) -> void;

    /// @returns when advance() has to be called next; empty where no request is pending
    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;
    /// @returns when a request last found no grantor: none was known, or it gave no verdict
    [[nodiscard]] auto lastNoGrantorAt() const -> std::optional<Instant>
    {
        return this->noGrantorAt;
    }
    /// @returns the datagrams to send since the last call
    [[nodiscard]] auto takeDatagrams() -> std::vector<PermitDatagram>;
    /// @returns the results since the last call
    [[nodiscard]] auto takeResults() -> std::vector<PermitResult>;

private:
    struct Grantor
    {
        Address address;
        std::uint64_t term = 0;
        Instant skippedUntil{};
        /// Requests given up in a row since the last answer.
        int consecutiveFailures = 0;
    };
    struct Pending
    {
        ExchangeId exchange;
        PermitRequest request;
        Address grantor;
        Instant deadline;
        Instant targetAt;
        Instant due;
        int unansweredSends = 0;
        /// When the grantor first reported the request as queued.
        std::optional<Instant> queuedSince;
        /// Time until the queued request is sent again.
        Duration queuedResendAfter{0};
    };
    /// A request that isn't pending any more.
    struct Ended
    {
        ServiceName service;
        /// A grantor issues no permit for it after its deadline.
        Instant deadline;
        /// The report that returned its permit, if it has had one.
        std::optional<PermitReport> report;
    };

    auto sendRequest(Pending &pending, Instant now) -> void;
    auto onNotGrantor(const Address &from, const PermitAnswer &answer, Instant now) -> void;
    auto giveUp(std::uint64_t sequence, Instant now) -> void;
    /// Remembers the service of a request that isn't pending any more, for the report that returns
    /// a late permit.
    auto rememberEnded(std::uint64_t sequence, const Pending &entry) -> void;
    /// Sends a permit that nobody waits for back to the grantor that issued it.
    auto returnUnused(const Address &grantor, const ServiceName &service,
                      const PermitAnswer &answer) -> void;
    /// Handles an answer to a request that isn't pending.
    auto onLateAnswer(const Address &from, const PermitAnswer &answer) -> void;
    [[nodiscard]] static auto queuedTime(const Pending &pending, Instant now) -> Duration;

    Address self;
    std::uint64_t incarnation;
    PermitClientSettings settings;
    std::uint64_t nextSequence = 1;
    std::map<ServiceName, Grantor> grantors;
    std::map<std::uint64_t, Pending> pending;
    /// By the sequence of the permit request.
    std::map<std::uint64_t, Ended> ended;
    /// Addresses of the grantors whose permits are in use, by the permit's sequence.
    std::unordered_map<std::uint64_t, Address> issuers;
    std::vector<PermitDatagram> datagrams;
    std::vector<PermitResult> results;
    std::optional<Instant> noGrantorAt;
};

} // namespace gooseberrywall
