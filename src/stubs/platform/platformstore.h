#pragma once

#include "common/types/instant.h"
#include "protocol/types/storemessages.h"
#include "stubs/platform/types/storecallcounts.h"
#include "stubs/platform/types/storefaults.h"
#include "stubs/platform/vmregister.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

/// The answer to one call.
struct StoreReply
{
    CallId call;
    StoreAnswer answer;
    auto operator==(const StoreReply &) const -> bool = default;
};

/// Stand-in for the platform's service, without input, output or clock: whoever drives it passes
/// the time in, never backwards, and collects the replies. The same class serves the stand-in
/// program and tests in virtual time.
///
/// - A key's version counts its writes; the store's revision counts all writes of keys.
/// - A larger value than the limit is refused as Unavailable: certainly without effect.
/// - A watch answers with the keys under its prefix that changed after its revision, at once or
///   when one changes; after its timeout without any.
/// - An answer that is lost comes as Ambiguous.
class PlatformStore
{
public:
    /// @param valueLimitBytes larger values are refused
    explicit PlatformStore(std::size_t valueLimitBytes = defaultValueLimitBytes);

    auto receive(Instant now, CallId call, const StoreRequest &request) -> void;

    /// Lets time pass: delayed answers become due, watches time out.
    auto advance(Instant now) -> void;

    /// Forgets a call that nobody waits for any more.
    auto forget(CallId call) -> void;

    /// @returns the replies that are due, in order
    [[nodiscard]] auto takeReplies() -> std::vector<StoreReply>;

    /// @returns when advance() has something to do next; nothing while nothing is pending
    [[nodiscard]] auto nextChange() const -> std::optional<Instant>;

    /// Replaces all faults.
    auto setFaults(Instant now, StoreFaults faults) -> void;
    [[nodiscard]] auto faults() const -> const StoreFaults & { return this->activeFaults; }

    [[nodiscard]] auto counts() const -> const StoreCallCounts & { return this->callCounts; }
    auto resetCounts() -> void { this->callCounts = {}; }

    /// @returns the present item of a key, past all faults and without counting
    [[nodiscard]] auto peek(const std::string &key) const -> std::optional<StoreItem>;

    /// The platform's list of VMs, to be changed by tests.
    VmRegister vms;

    static constexpr std::size_t defaultValueLimitBytes = 1'000'000;

private:
    struct Entry
    {
        std::string value;
        StoreVersion version;
        std::uint64_t revision = 0;
        /// Watches see the change from then on.
        Instant watchableFrom{};
    };
    struct Lease
    {
        std::string holder;
        Instant end;
    };
    struct WaitingWatch
    {
        CallId call;
        StoreWatch watch;
        Instant deadline;
    };
    struct DelayedReply
    {
        Instant due;
        StoreReply reply;
    };

    auto perform(Instant now, const StoreGet &call) -> StoreAnswer;
    auto perform(Instant now, const StoreCompareAndSwap &call) -> StoreAnswer;
    auto perform(Instant now, const StoreList &call) -> StoreAnswer;
    auto perform(Instant now, const StoreLease &call) -> StoreAnswer;
    auto perform(Instant now, const StoreLeaseRelease &call) -> StoreAnswer;
    auto perform(Instant now, const StoreVmList &call) -> StoreAnswer;
    auto performWrite(Instant now, const StoreRequest &request) -> StoreAnswer;
    auto performRequest(Instant now, const StoreRequest &request) -> StoreAnswer;
    auto countCall(const StoreRequest &request) -> void;
    auto startWatch(Instant now, CallId call, const StoreWatch &watch) -> void;
    auto answerWatches(Instant now) -> void;
    /// @returns the answer to a watch if there is one before its timeout
    auto watchAnswer(Instant now, const StoreWatch &watch) -> std::optional<StoreAnswer>;
    auto reply(Instant now, CallId call, StoreAnswer answer) -> void;
    [[nodiscard]] auto okAnswer() const -> StoreAnswer;

    std::size_t valueLimitBytes;
    std::map<std::string, Entry> entries;
    std::map<std::string, Lease> leases;
    std::uint64_t revision = 0;
    std::vector<WaitingWatch> watches;
    std::vector<DelayedReply> delayed;
    std::vector<StoreReply> due;
    /// Changes that the next watch of their keys is told again.
    std::vector<StoreItem> repeatedChanges;
    StoreFaults activeFaults;
    StoreCallCounts callCounts;
};

} // namespace gooseberrywall
