#pragma once

#include "permitlink/permitmessages.h"

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace gooseberrywall {

struct PermitClientSettings
{
    /// A request without any answer is sent again after this time.
    Duration resendAfter = std::chrono::milliseconds{50};
    /// Sendings without an answer after which the grantor counts as unreachable.
    int maxSends = 3;
    /// A queued request asks again this often, as its verdict may be lost.
    Duration queuedResendAfter = std::chrono::milliseconds{120};
    /// A grantor that hasn't answered two requests in a row is passed over for this time.
    Duration skipDuration = std::chrono::milliseconds{400};
    auto operator==(const PermitClientSettings &) const -> bool = default;
};

/// The end of a permit request at its entry daemon.
struct PermitResult
{
    ExchangeId exchange;
    PermitId id;
    /// Nothing: no grantor answers.
    std::optional<PermitVerdict> verdict;
    /// Since the grantor first said that the request waits; zero where it didn't.
    Duration queuedFor{0};
    auto operator==(const PermitResult &) const -> bool = default;
};

/// Asks grantors for permits by datagrams that may be lost. Without input or output; time is
/// passed in.
class PermitClient
{
public:
    /// @param self where this daemon receives datagrams
    /// @param incarnation differs between successive lives of this daemon
    PermitClient(Address self, std::uint64_t incarnation, PermitClientSettings settings);

    /// The newest grantor is asked.
    /// @param term grantors with a lower one than the known one are ignored
    auto setGrantor(const ServiceName &service, const Address &grantor, std::uint64_t term) -> void;
    /// @returns the grantor that would be asked; nullptr where none is known
    [[nodiscard]] auto grantorOf(const ServiceName &service) const -> const Address *;

    /// @param request without its id
    /// @returns the id that the request was given
    auto ask(ExchangeId exchange, PermitRequest request, Instant now) -> PermitId;
    /// The exchange's request isn't needed any more.
    auto cancel(ExchangeId exchange) -> void;
    /// Returns a permit to the grantor that gave it.
    auto report(const PermitReport &report) -> void;
    auto onAnswer(const Address &from, const PermitAnswer &answer, Instant now) -> void;
    auto advance(Instant now) -> void;

    [[nodiscard]] auto nextDue() const -> std::optional<Instant>;
    /// @returns when a request last found no grantor
    [[nodiscard]] auto lastNoGrantorAt() const -> std::optional<Instant>
    {
        return this->noGrantorAt;
    }
    [[nodiscard]] auto takeDatagrams() -> std::vector<PermitDatagram>;
    [[nodiscard]] auto takeResults() -> std::vector<PermitResult>;

private:
    struct Grantor
    {
        Address address;
        std::uint64_t term = 0;
        Instant skippedUntil{};
        /// Requests in a row without an answer.
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
        /// When the grantor first said that the request waits.
        std::optional<Instant> queuedSince;
    };

    auto sendRequest(Pending &pending, Instant now) -> void;
    auto onNotGrantor(const Address &from, const PermitAnswer &answer, Instant now) -> void;
    auto giveUp(std::uint64_t sequence, Instant now) -> void;
    [[nodiscard]] static auto queuedTime(const Pending &pending, Instant now) -> Duration;

    Address self;
    std::uint64_t incarnation;
    PermitClientSettings settings;
    std::uint64_t nextSequence = 1;
    std::map<ServiceName, Grantor> grantors;
    std::map<std::uint64_t, Pending> pending;
    /// Grantors of permits in use.
    std::unordered_map<std::uint64_t, Address> issuers;
    std::vector<PermitDatagram> datagrams;
    std::vector<PermitResult> results;
    std::optional<Instant> noGrantorAt;
};

} // namespace gooseberrywall
