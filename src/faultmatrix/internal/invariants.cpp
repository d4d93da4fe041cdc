#include "faultmatrix/invariants.h"

#include "configuration/manifestcodec.h"
#include "ownership/recordcodec.h"

#include <algorithm>
#include <optional>

namespace gooseberrywall {

namespace {

const std::string recordKey = "cell/cell/record";

/// How long after its deadline an exchange may end.
constexpr Duration endMargin = std::chrono::milliseconds{300};
constexpr std::size_t violationLimit = 20;

auto seconds(Instant time) -> std::string
{
    const auto micros = time.time_since_epoch().count();
    return std::to_string(micros / 1'000'000) + "." + std::to_string(micros % 1'000'000) + " s";
}

auto text(const ShardId &shard) -> std::string
{
    return shard.service.value + "/" + std::to_string(shard.number);
}

} // namespace

Invariants::Invariants(World &world, Duration storeAwayTime)
    : world(world)
    , storeAwayTime(storeAwayTime)
    , seenDaemons(world.daemons().size())
{
}

auto Invariants::report(const std::string &what) -> void
{
    const auto line = "at " + seconds(this->world.now()) + ": " + what;
    if (this->found.size() < violationLimit) {
        this->found.push_back(line);
    }
}

auto Invariants::check() -> void
{
    this->checkOwners();
    this->checkStore();
    this->checkTables();
    this->checkConfiguration();
}

auto Invariants::checkOwners() -> void
{
    for (int number = 0; number < this->world.options().shards; ++number) {
        const ShardId shard{{"fitment"}, static_cast<std::uint32_t>(number)};
        std::string owners;
        int count = 0;
        for (const auto &vm : this->world.upstreams()) {
            if (!vm.model->crashed() && vm.model->heldFence(this->world.now(), shard)) {
                ++count;
                owners += " " + vm.id.value;
            }
        }
        if (count > 1) {
            this->report("two owners of " + text(shard) + ":" + owners);
        }
    }
}

auto Invariants::checkStore() -> void
{
    const auto item = this->world.store().peek(recordKey);
    if (!item || item->version.value == this->seenRecordVersion) {
        return;
    }
    this->seenRecordVersion = item->version.value;
    RecordDecoder decoder;
    const auto record = decoder.decode(item->value);
    if (!record) {
        this->report("the stored record can't be read");
        return;
    }
    if (!this->recordHistory.empty()
        && record->version.value <= this->recordHistory.rbegin()->first) {
        this->report("the stored record went back to version "
                     + std::to_string(record->version.value));
    }
    this->recordHistory[record->version.value] = item->value;
    for (const auto &shard : record->shards) {
        auto &highest = this->highestFences[shard.id];
        if (shard.fence < highest) {
            this->report("the fence of " + text(shard.id) + " went back in the record");
        }
        highest = std::max(highest, shard.fence);
    }
    for (const auto &[shard, fence] : this->highestFences) {
        const auto kept =
            std::any_of(record->shards.begin(), record->shards.end(),
                        [&, id = shard](const auto &entry) { return entry.id == id; });
        if (!kept) {
            this->report("the record lost " + text(shard));
        }
    }
}

auto Invariants::checkTables() -> void
{
    for (std::size_t index = 0; index < this->seenDaemons.size(); ++index) {
        const auto &vm = this->world.daemons()[index];
        auto &seen = this->seenDaemons[index];
        if (vm.node == nullptr) {
            continue;
        }
        if (seen.incarnationNumber != vm.incarnationNumber) {
            seen = {vm.incarnationNumber, 0, 0};
        }
        const auto table = vm.node->table();
        if (table == nullptr || table->version().value == seen.tableVersion) {
            continue;
        }
        if (table->version().value < seen.tableVersion) {
            this->report(vm.identity.id.value + " went back to an older table");
        }
        seen.tableVersion = table->version().value;
        const auto stored = this->recordHistory.find(seen.tableVersion);
        if (stored == this->recordHistory.end()
            || stored->second != encodeRecord(table->record())) {
            this->report(vm.identity.id.value + " has a table that the store never held, version "
                         + std::to_string(seen.tableVersion));
        }
    }
}

auto Invariants::checkConfiguration() -> void
{
    if (const auto item = this->world.store().peek(std::string(manifestKey))) {
        const auto manifest = decodeManifest(item->value);
        const auto generation = manifest ? manifest->generation : 0;
        if (generation < this->acceptedGeneration) {
            this->report("the accepted document went back");
        }
        this->acceptedGeneration = std::max(this->acceptedGeneration, generation);
    }
    for (std::size_t index = 0; index < this->seenDaemons.size(); ++index) {
        const auto &vm = this->world.daemons()[index];
        auto &seen = this->seenDaemons[index];
        if (vm.node == nullptr || seen.incarnationNumber != vm.incarnationNumber) {
            continue;
        }
        const auto generation = vm.node->configuration().generation();
        if (generation < seen.generation) {
            this->report(vm.identity.id.value + " went back to an older document");
        }
        if (generation > this->acceptedGeneration) {
            this->report(vm.identity.id.value + " has a document in force that was not accepted");
        }
        seen.generation = generation;
    }
}

auto Invariants::allRuns() -> std::map<RequestId, std::vector<RunRecord>>
{
    std::map<RequestId, std::vector<RunRecord>> runs;
    for (const auto &vm : this->world.upstreams()) {
        for (const auto &run : vm.model->runs().records()) {
            runs[run.id].push_back(run);
            if (vm.drainingSince
                && run.start > *vm.drainingSince + drainLimit + this->storeAwayTime) {
                this->report("leaving upstream " + vm.id.value + " got new work " + run.id.value);
            }
        }
    }
    return runs;
}

auto Invariants::checkEnd() -> void
{
    const auto runs = this->allRuns();
    for (const auto &caller : this->world.requests()) {
        const auto own = runs.find(caller.id);
        this->checkCaller(caller, own == runs.end() ? std::vector<RunRecord>{} : own->second);
    }
    if (this->world.unmatchedEndCount() > 0) {
        this->report("ends for exchanges that had one: "
                     + std::to_string(this->world.unmatchedEndCount()));
    }
    for (const auto &vm : this->world.daemons()) {
        const auto isUp = vm.node != nullptr && !vm.isStopping;
        if (isUp && vm.node->configuration().generation() != this->acceptedGeneration) {
            this->report("the accepted document is not in force at " + vm.identity.id.value);
        }
    }
}

auto Invariants::checkCaller(const CallerRecord &caller, const std::vector<RunRecord> &runs) -> void
{
    if (!caller.idempotent && runs.size() > 1) {
        this->report("request " + caller.id.value + " ran " + std::to_string(runs.size())
                     + " times");
    }
    for (std::size_t index = 0; index < caller.submissions.size(); ++index) {
        const auto &submission = caller.submissions[index];
        const auto isLast = index + 1 == caller.submissions.size();
        if (!submission.endedAt) {
            const auto &vm = this->world.daemons()[submission.daemon];
            if (this->world.now() > submission.deadline + endMargin && vm.node != nullptr) {
                this->report("request " + caller.id.value + " has no end");
            }
            continue;
        }
        if (!submission.end) {
            continue;
        }
        const auto &end = *submission.end;
        if (end.kind == EndKind::Answer
            && (!end.body.starts_with(caller.id.value) || !end.body.ends_with(caller.id.value))) {
            this->report("request " + caller.id.value + " got another answer: " + end.body);
        }
        if (end.kind == EndKind::Answer
            && std::none_of(runs.begin(), runs.end(),
                            [](const RunRecord &run) { return run.effect; })) {
            this->report("request " + caller.id.value + " was answered without a run");
        }
        if (end.kind != EndKind::Refused) {
            continue;
        }
        const auto nextSent = isLast ? Instant::max() : caller.submissions[index + 1].at;
        for (const auto &run : runs) {
            if (run.start < nextSent) {
                this->report("request " + caller.id.value + " was refused ("
                             + std::string(toString(end.reason)) + ") but ran");
            }
        }
    }
}

auto Invariants::longestUnavailability() const -> Duration
{
    struct Sent
    {
        Instant sentAt{};
        std::optional<Instant> answeredAt;
    };
    std::map<Key, std::vector<Sent>> submissions;
    for (const auto &caller : this->world.requests()) {
        for (const auto &submission : caller.submissions) {
            const auto isAnswered = submission.end && submission.end->kind == EndKind::Answer;
            submissions[caller.key].push_back(
                {submission.at, isAnswered ? submission.endedAt : std::nullopt});
        }
    }
    Duration longest{0};
    for (const auto &[key, list] : submissions) {
        // An unavailability lasts from the first request sent after an answer to the next answer.
        auto lastAnswer = Instant::min();
        auto lastSent = Instant::min();
        for (const auto &sent : list) {
            lastSent = std::max(lastSent, sent.sentAt);
        }
        while (true) {
            auto nextAnswer = Instant::max();
            for (const auto &sent : list) {
                if (sent.answeredAt && *sent.answeredAt > lastAnswer) {
                    nextAnswer = std::min(nextAnswer, *sent.answeredAt);
                }
            }
            const auto isLast = nextAnswer == Instant::max();
            // Without a further answer, the key counts as not served until its last request.
            nextAnswer = isLast ? lastSent : nextAnswer;
            for (const auto &sent : list) {
                const auto isWaiting = sent.sentAt > lastAnswer && sent.sentAt < nextAnswer;
                if (isWaiting) {
                    longest = std::max(longest, nextAnswer - sent.sentAt);
                }
            }
            if (isLast) {
                break;
            }
            lastAnswer = nextAnswer;
        }
    }
    return longest;
}

} // namespace gooseberrywall
