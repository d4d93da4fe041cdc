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

/// Stand-in for the platform's service, without input, output or clock: its driver passes in a time
/// that never goes backwards and collects the replies. The stand-in program and tests in virtual
/// time use the same class.
///
/// - A key's version counts its writes; the store's revision counts all writes of keys.
/// - A value over the size limit is refused as Unavailable, that is, without effect.
/// - A watch is answered with the keys under its prefix that changed after its revision, as soon as
///   there are any, and without keys when its timeout ends.
/// - A lost write or answer is reported as Ambiguous.
class PlatformStore
{
public:
    /// @param valueLimitBytes maximum size of a value
    explicit PlatformStore(std::size_t valueLimitBytes = defaultValueLimitBytes);

    auto receive(Instant now, CallId call, const StoreRequest &request) -> void;

    /// Advances the time: delayed answers become due and watches time out.
    auto advance(Instant now) -> void;

    /// Discards a call whose caller has disconnected.
    auto forget(CallId call) -> void;

    /// @returns the replies that are due, in order
    [[nodiscard]] auto takeReplies() -> std::vector<StoreReply>;

    /// @returns when advance() is due next; no value while nothing is pending
    [[nodiscard]] auto nextChange() const -> std::optional<Instant>;

    /// Replaces all faults.
    auto setFaults(Instant now, StoreFaults faults) -> void;
    [[nodiscard]] auto faults() const -> const StoreFaults & { return this->activeFaults; }

    [[nodiscard]] auto counts() const -> const StoreCallCounts & { return this->callCounts; }
    auto resetCounts() -> void { this->callCounts = {}; }

    /// @returns the current item of a key; unaffected by faults and not counted as a call
    [[nodiscard]] auto peek(const std::string &key) const -> std::optional<StoreItem>;

    /// The platform's list of VMs; tests may change it.
    VmRegister vms;

    static constexpr std::size_t defaultValueLimitBytes = 1'000'000;

private:
    struct Entry
    {
        std::string value;
        StoreVersion version;
        std::uint64_t revision = 0;
        /// When watches may report the latest change.
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
    /// @returns the answer with the changes that the watch may report; no value if there are none
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
    /// Changes that are reported a second time by the next watch of their keys.
    std::vector<StoreItem> repeatedChanges;
    StoreFaults activeFaults;
    StoreCallCounts callCounts;
};

} // namespace gooseberrywall
