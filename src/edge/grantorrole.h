#pragma once

#include "dispatch/healthchanges.h"
#include "dispatch/slotbroker.h"
#include "edge/knowndaemons.h"
#include "election/grantorelection.h"
#include "keyranges/rangegrantor.h"
#include "keyranges/rangeplanner.h"
#include "logging/logger.h"
#include "logging/requestlog.h"
#include "permitlink/permitmessages.h"
#include "routing/types/routeconfiguration.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace gooseberrywall {

struct GrantorRoleSettings
{
    DaemonId daemon;
    /// Where this daemon receives datagrams.
    Address peerAddress;
    /// Differs after each restart of this daemon.
    std::uint64_t incarnation = 0;
    /// Store key prefixes of the grantors, the range records and the daemons' addresses; the name
    /// of the service follows.
    std::string grantorPrefix = "gw/grantor/";
    std::string recordPrefix = "gw/ranges/";
    std::string daemonPrefix = "gw/daemons/";
    ElectionSettings election;
    SlotBrokerSettings broker;
    RetryWindowSettings retries;
    RangeGrantorSettings ranges;
    RangePlannerSettings planner;
    /// How often the grantor announces itself to all daemons.
    Duration announceEvery = std::chrono::seconds{1};
    /// Suspects are told to all daemons at most this often: where there are changes, and in turn.
    Duration suspectNoticeEvery = std::chrono::milliseconds{500};
    Duration suspectTurnEvery = std::chrono::seconds{1};
    /// Bytes a second that the notices in turn may take; with many daemons they are told less
    /// often.
    double suspectTurnBytesPerSecond = 10'000;
    /// A daemon tells a new grantor the suspects that it knows this often, as datagrams may be
    /// lost, and at most so many.
    int handoverRepeats = 3;
    std::size_t handoverLimit = 4 * SuspectNotice::maxSuspects;
    /// An entry daemon keeps the crashes that it has seen itself for this time: a crash shows
    /// within 3 s, and its grantor tells of it 1.5 s later at most, or is replaced within 2 s.
    /// Longer would keep crashes of requests that other daemons have seen answered.
    Duration ownCrashLifetime = std::chrono::seconds{6};
    /// A daemon asks each new grantor for its suspects for this time after its own start: the
    /// first grantor that it knows may have ended.
    Duration suspectAskTime = std::chrono::seconds{10};
    /// About so many daemons of a larger fleet tell a new grantor what they know.
    std::uint64_t handoverDaemons = 30;
    /// The fleet is as large as the largest count that grantors have told in this time, as a new
    /// grantor knows few daemons at first.
    Duration daemonCountMemory = std::chrono::seconds{30};
    /// How often moves of keys are planned.
    Duration planEvery = std::chrono::milliseconds{300};
    /// Pause after a failed store call.
    Duration retryPause = std::chrono::milliseconds{200};
    Duration storeTimeout = std::chrono::milliseconds{800};
    /// Live upstreams whose entries a restored store has lost register again within this time.
    Duration upstreamRegistrationTime = std::chrono::milliseconds{2300};
    /// The daemons' claims of a vacant grantor's place are spread over this time.
    Duration claimSpread = std::chrono::milliseconds{200};
    /// Added to the delay of a claim of a sharded service while this VM reaches no upstream: its
    /// grantor sends orders to upstreams, so others go first. Longer than they take to claim.
    Duration isolatedClaimDelay = std::chrono::milliseconds{1500};
    /// A grantor that reaches no upstream gives up its place at most this often.
    Duration stepDownInterval = std::chrono::seconds{4};
    /// Delay before a claim on a VM with one core; VMs with less wait longer, so that the strongest
    /// become grantors.
    Duration claimDelay = std::chrono::milliseconds{40};
    double processorCores = 1;
    /// The whole system starts for the first time. Otherwise, a missing record of owners is lost.
    bool startsWithSystem = true;
    auto operator==(const GrantorRoleSettings &) const -> bool = default;
};

/// What this daemon announces as grantor about the operators' keys.
struct AnnouncedConfiguration
{
    /// Of the configuration.
    StoreRevision revision;
    /// Time since it was known to be the newest.
    Duration age{0};
    EvacuatedDomains evacuated = {};
    auto operator==(const AnnouncedConfiguration &) const -> bool = default;
};

/// Sends an order to an upstream; the callback receives its end once, never from within the call.
using SendRangeOrder =
    std::function<void(const RangeOrder &order, std::function<void(RangeOrderEnd)> done)>;

/// A daemon's role in granting one service: a candidate in its election and, once elected, the
/// grantor of the service's slots and, where it is sharded, of its keys.
class GrantorRole
{
public:
    /// @param now reads the clock that goes on while the VM is suspended
    GrantorRole(ServiceSpec spec, GrantorRoleSettings settings, SendStoreCall store,
                SendRangeOrder orders, std::function<Instant()> now, Logger &logger,
                RequestLog &requestLog);

    /// @param grantor the service's known grantor; empty where there is none
    /// @param grantedCount how many services this daemon grants already
    auto onGrantor(const std::optional<ElectedGrantor> &grantor, int grantedCount) -> void;
    /// Takes in that the store is in this era: a restored one has lost claims and records.
    auto onStoreEra(std::uint64_t era) -> void;
    /// Takes in that a grantor of this service was elected in this era.
    auto onEraSettled(std::uint64_t era) -> void { this->election.onEraSettled(era); }
    /// @param entries upstreams of all services
    auto onUpstreams(const std::vector<UpstreamEntry> &entries) -> void;
    /// @param listedAt a time at which no upstream of the store was missing from onUpstreams()
    /// @param areCurrent onUpstreams() has told all that the store has shown up to now, but for
    ///        what a grantor may learn late. A new grantor answers no request for a permit before,
    ///        for a limited time.
    auto onUpstreamsListed(Instant listedAt, bool areCurrent) -> void;
    /// Takes in that requests to the service may last this long; upstreams end them then.
    auto onRequestTime(Duration time) -> void
    {
        this->longestRequest = std::max(this->longestRequest, time);
    }
    auto onMessage(const Address &from, const PermitMessage &message) -> void;
    /// Takes in how an attempt of this daemon ended: a grantor that is lost soon afterwards may not
    /// have counted the crash, or there is none.
    auto onAttemptEnd(const EndedAttempt &attempt) -> void;
    /// @param count daemons that the service's grantor knows
    auto onDaemonCount(std::uint64_t count) -> void;
    /// @returns whether the request must not run, as this daemon or a grantor has seen it crash
    ///          upstreams
    [[nodiscard]] auto isQuarantined(RequestFingerprint fingerprint) const -> bool
    {
        const auto moment = this->now();
        return this->quarantine->isQuarantined(fingerprint, moment)
               || this->ownCrashes.isQuarantined(fingerprint, moment);
    }
    [[nodiscard]] auto quarantinedCount() const -> std::uint64_t
    {
        return this->quarantine->quarantinedCount(this->now());
    }
    /// Takes in what an upstream has stated in an answer to an order.
    auto onStatement(const UpstreamStatement &statement) -> void;
    /// Carries on with the election and, as grantor, with verdicts, ranges and announcements.
    auto advance() -> void;
    /// @param ratio retries allowed for each request in the retry window
    /// @param extra retries allowed besides
    auto setRetryAllowance(double ratio, double extra) -> void;
    /// Sets how many requests per second a cold upstream gets at most; 0: no bound.
    auto setWarmUpRate(double perSecond) -> void;
    /// Sets what the announcements tell about the operators' configuration.
    auto setAnnouncedConfiguration(std::function<AnnouncedConfiguration()> source) -> void
    {
        this->announcedConfiguration = std::move(source);
    }
    /// While cut off from the store that other daemons reach, a grantor gives out no slots:
    /// upstreams may have started to drain without its knowledge. Has no effect while this daemon
    /// isn't grantor.
    auto setCutOff(bool cutOff) -> void;
    /// While this VM reaches no upstream, the grantor of a sharded service gives up its place, as
    /// it can't renew the grants of its keys; other daemons are to claim the place first.
    auto setUpstreamsReached(bool areReached) -> void { this->areUpstreamsReached = areReached; }
    /// Announces this daemon to all others with the next advance().
    auto announceSoon() -> void { this->announceDue = Instant{}; }
    /// Gives up the grantor's place, and doesn't claim it again.
    auto resign() -> void;

    [[nodiscard]] auto nextDue() const -> Instant;
    [[nodiscard]] auto takeDatagrams() -> std::vector<PermitDatagram>;
    /// @returns what upstreams have stated since the last call: that they leave, may leave, or stay
    [[nodiscard]] auto takeStatements() -> std::vector<UpstreamStatement>;
    [[nodiscard]] auto isLeading() const -> bool
    {
        return this->election.state() == GrantorElection::State::Leading;
    }
    /// @returns whether this daemon answers permit requests as grantor: it was elected, and no
    /// successor is known yet
    [[nodiscard]] auto isServing() const -> bool { return this->serving; }
    [[nodiscard]] auto isSharded() const -> bool { return this->spec.isSharded; }
    /// @returns how many upstreams name a request limit; zero while this daemon isn't grantor
    [[nodiscard]] auto limitedUpstreamCount() const -> std::uint64_t;
    /// @returns how many upstreams count as cold, if the service has a bound for them
    [[nodiscard]] auto coldUpstreamCount() const -> std::uint64_t;
    /// @returns how many upstreams have stated in their answers that they leave, and still exist
    [[nodiscard]] auto leavingUpstreamCount() const -> std::uint64_t
    {
        return this->leavingUpstreams.size();
    }
    /// @returns how many upstreams want no requests from some entry daemon for a time
    [[nodiscard]] auto pausedUpstreamCount() const -> std::uint64_t;
    /// @returns the utilisation of the busiest upstream in relation to the mean, in percent; zero
    /// where there is too little load to tell, or this daemon isn't grantor
    [[nodiscard]] auto busiestSharePercent() const -> std::uint64_t;
    /// @returns the time after which this grantor needs a list of all upstreams; nothing where it
    /// has one, or needs none
    [[nodiscard]] auto listingDue() const -> std::optional<Instant>;
    /// @returns how many keys have changed owner in this term; zero where there are no ranges
    [[nodiscard]] auto movedKeys() const -> std::uint64_t;

private:
    /// @returns how long a daemon that grants no service waits before it claims a vacant place
    [[nodiscard]] static auto claimDelayOf(const ServiceName &service,
                                           const GrantorRoleSettings &settings) -> Duration;
    [[nodiscard]] auto ownGrantorText() const -> std::string;
    /// @returns the verdict for daemons that address this one as grantor while it isn't
    [[nodiscard]] auto notGrantorVerdict() const -> PermitVerdict;
    /// Removes the grantor's key from the store where an earlier incarnation of this daemon holds
    /// it.
    auto removeFormerClaim(const ElectedGrantor &grantor) -> void;
    auto onElected(StoreRevision term) -> void;
    auto onReplaced() -> void;
    /// Gives up the grantor's place if another daemon can fill it better.
    auto stepDownIfIsolated(Instant moment) -> void;
    /// Goes on as grantor after this daemon has claimed its place again in a restored store.
    auto onReclaimed(StoreRevision term) -> void;
    auto readRecord() -> void;
    /// Reads what the store has of the record of an earlier era.
    auto readEarlierRecord(std::uint64_t era) -> void;
    /// @returns the store key of the range record in the present era
    [[nodiscard]] auto recordKey() const -> std::string;
    /// @returns whether a store without any record of owners has never had one
    [[nodiscard]] auto isFirstStart() const -> bool;
    auto writeRecord() -> void;
    auto onRecordRead(const StoreAnswer &answer) -> void;
    /// @param isOutdated later changes of the record may be lost
    auto adoptRecord(const StoreAnswer &answer, bool isOutdated) -> void;
    auto onRecordWritten(const StoreAnswer &answer, std::uint64_t version) -> void;
    auto readDaemons() -> void;
    /// Creates the list of daemons in the store. Only the first grantor ever succeeds: retries of
    /// an earlier one can't be in the window, so it has its whole allowance at once.
    auto createDaemons() -> void;
    auto writeDaemons(Instant moment) -> void;
    /// @returns the store key of the daemons to which this service's grantor announces itself
    [[nodiscard]] auto daemonsKey() const -> std::string;
    auto announce() -> void;
    /// Tells all daemons about requests that crash upstreams, where that is due.
    auto tellSuspects(Instant moment) -> void;
    auto onSuspectNotice(const Address &from, const SuspectNotice &notice) -> void;
    /// Forgets the own crashes of requests that a grantor tells to have been answered.
    auto forgetAnswered(const std::vector<SuspectRequest> &suspects) -> void;
    /// Counts the crashes of this daemon's own requests at upstreams that are gone.
    auto noteLostUpstreams(const std::vector<UpstreamEntry> &former, Instant moment) -> void;
    /// Sees to it that a grantor of a new term is told what this daemon knows: it may have
    /// started after the last notice.
    auto scheduleHandover(const ElectedGrantor &grantor, Instant moment) -> void;
    /// Tells the grantor about requests that crash upstreams, where that is due.
    auto handOverSuspects(Instant moment) -> void;
    [[nodiscard]] auto isHandoverSender(StoreRevision grantorTerm) const -> bool;
    /// Logs the crashes that count against requests.
    auto logCrashes() -> void;
    [[nodiscard]] auto announcement() const -> GrantorAnnouncement;
    auto plan(Instant moment) -> void;
    auto advanceRanges(Instant moment) -> void;
    auto logMissingFence() -> void;
    auto issueOrders() -> void;
    /// @returns from when on the store lists all upstreams that may hold keys
    [[nodiscard]] auto upstreamsCompleteAt() const -> Instant;
    auto logReleaseRound() -> void;
    /// Logs how a release ended that belongs to no release round.
    auto logRelease(const RangeOrder &order, const RangeOrderEnd &end, Instant sentAt) -> void;
    /// Logs when keys begin and cease to wait for the end of a hold.
    auto logHoldWait(Instant moment) -> void;
    auto refreshOwners(Instant moment) -> void;
    auto logHealth(Instant moment) -> void;
    /// Logs what upstreams have stated, and keeps who leaves, or may, for takeStatements().
    auto takeInChanges() -> void;
    /// Forgets upstreams that have stated that they leave, once they have ended.
    auto endLeaving() -> void;
    /// @returns whether this daemon leads, and its lease surely lasts
    [[nodiscard]] auto hasAuthority(Instant moment) const -> bool;
    /// Passes the time of this daemon's authority to the broker, which earns retries by it.
    auto updateAuthority(Instant moment) -> void;
    /// Passes the bound for cold upstreams to the broker; it is lower without authority.
    auto updateWarmUpRate(Instant moment) -> void;
    /// Where what this daemon has read of the upstreams is old, lets requests for permits wait
    /// until it is current: upstreams may have left since.
    auto holdUntilListed() -> void;
    /// Asks the broker for the permits that have been requested meanwhile.
    auto askHeld() -> void;
    auto flushVerdicts() -> void;
    /// Answers all verdicts of the broker with NotGrantor, and takes their permits back.
    auto declineVerdicts() -> void;
    auto logVerdict(const IssuedVerdict &issued) -> void;
    auto log(LogLevel level, LogLine &line) -> void;
    /// Calls the store; the answer is dropped where this role has been destroyed by then.
    auto call(const StoreCall &call, std::function<void(const StoreAnswer &)> done) -> void;

    ServiceSpec spec;
    GrantorRoleSettings settings;
    SendStoreCall store;
    SendRangeOrder orders;
    std::function<Instant()> now;
    Logger &logger;
    RequestLog &requestLog;
    std::function<AnnouncedConfiguration()> announcedConfiguration;
    std::shared_ptr<bool> alive;
    Duration ownClaimDelay;
    GrantorElection election;
    /// Outlives the broker, and has what other grantors of this service have told.
    std::shared_ptr<RequestQuarantine> quarantine;
    /// Of requests that this daemon has sent, as entry daemon; told to new grantors only.
    RequestQuarantine ownCrashes;
    std::unique_ptr<SlotBroker> broker;
    /// Kept over a claim in a restored store; orders that were sent before it are still answered.
    std::shared_ptr<RangeGrantor> ranges;
    RangePlanner planner;
    std::vector<UpstreamEntry> upstreams;
    bool hasUpstreams = false;
    Instant upstreamsListedAt{};
    bool areUpstreamsCurrent = true;
    /// Requests for permits wait until then, or until the upstreams are current; empty: they don't.
    std::optional<Instant> heldUntil;
    std::vector<std::pair<Address, PermitRequest>> heldRequests;
    /// The longest request in any configuration so far, as earlier ones may still run; zero: not
    /// known.
    Duration longestRequest{0};
    ReleaseRoundStatus loggedRound;
    Instant roundStartedAt{};
    /// Since when keys wait for the end of a hold.
    std::optional<Instant> holdWaitSince;
    bool serving = false;
    bool isCutOff = false;
    bool areUpstreamsReached = true;
    /// The place isn't given up before.
    Instant stepDownDue{};
    /// The grantor as last passed to onGrantor().
    std::optional<ElectedGrantor> knownGrantor;
    /// The last term for which this daemon was elected.
    std::optional<StoreRevision> term;
    /// Since when and until when no other daemon can have been grantor since this one was elected.
    AuthorityPeriod authority{Instant{}, Instant{}};
    /// Another process has been grantor.
    bool hasKnownOther = false;
    /// Term of the claim that removeFormerClaim() last removed.
    StoreRevision removedClaimTerm;
    /// The era of the store when this daemon first heard of it; zero until then.
    std::uint64_t firstEra = 0;
    /// The range record has been read and adopted in this term.
    bool isRecordAdopted = false;
    bool isRecordCallPending = false;
    StoreRevision recordRevision;
    std::optional<RangeRecord> unwrittenRecord;
    std::uint64_t unwrittenVersion = 0;
    /// It isn't known whether the last write of the record took effect.
    bool isRecordUncertain = false;
    Instant recordDue{};
    Instant recordBatchUntil{};
    HealthChanges healthChanges;
    Instant healthDue{};
    Instant announceDue{};
    Instant suspectNoticeDue{};
    Instant suspectTurnDue{};
    /// The last term whose grantor was told suspects, or is being told.
    StoreRevision handoverTerm;
    /// Since when the grantor of that term has been known.
    Instant handoverTermAt{};
    int handoversLeft = 0;
    Instant handoverDue{};
    Instant startedAt;
    /// No grantor has told this daemon suspects since its start.
    bool mustAskSuspects = true;
    std::uint64_t daemonCount = 0;
    Instant daemonCountAt{};
    Instant advancedAt{};
    /// When the ends of orders received since the last advance are handled.
    Instant orderEndsDue{};
    Instant planDue{};
    Instant planUnownedDue{};
    bool isProlonging = false;
    bool isFenceMissing = false;
    KnownDaemons daemons{KnownDaemonsSettings{}};
    bool areDaemonsKnown = false;
    bool isReadingDaemons = false;
    /// Processes that have stated that they leave, by upstream.
    std::map<UpstreamId, Incarnation> leavingUpstreams;
    std::vector<UpstreamStatement> statements;
    /// The owners last passed to the broker.
    std::vector<OwnedRange> brokerOwners;
    std::vector<PermitDatagram> datagrams;
};

} // namespace gooseberrywall
