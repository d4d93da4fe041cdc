#include "cell.h"
#include "slowreader.h"

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>

namespace gooseberrywall::review {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a script ends with.
enum class Outcome : int { Held = 0, Broken = 1, NotRun = 2 };

/// How often a fault of instances comes, how long it lasts, and the time between two.
constexpr auto faultCount = 5;
/// As above; only some of the rejections that are followed by others meet a request.
constexpr auto rejectionFaultCount = 9;
constexpr Duration faultTime = seconds{5};
constexpr Duration faultPause = seconds{4};
/// Of five instances of a service, three are faulty.
constexpr auto instanceCount = 5U;
constexpr auto faultyCount = 3U;
/// Share of a faulty instance's answers that additional bytes follow.
constexpr auto secondAnswerShare = 0.03;

struct Scenario
{
    CellSettings cell;
    /// The disruption happens.
    bool isTroubled = true;
    Record &record;
};

auto conclude(Record &record, Outcome outcome, const std::string &why) -> Outcome
{
    const auto *const word = outcome == Outcome::Held     ? "held: "
                             : outcome == Outcome::Broken ? "BROKEN: "
                                                          : "not run: ";
    record.write(word + why);
    std::cout << word << why << std::endl;
    return outcome;
}

auto secondAnswersOf(Cell &cell) -> int
{
    auto count = 0;
    for (const auto &instance : cell.instances()) {
        count += instance->secondAnswers();
    }
    return count;
}

/// Clients on slow links take large answers while a daemon is stopped as planned.
auto runSlowReaders(Scenario scenario) -> Outcome
{
    constexpr std::size_t documentBytes = 15'000'000;
    constexpr std::size_t bytesPerSecond = 3'200'000;
    constexpr auto readers = 2;
    constexpr auto deadlineMs = 5800;
    scenario.cell.timeoutSeconds = 6;
    scenario.cell.answerBytes = [](const std::string &target) {
        return target.starts_with("/look/document") ? documentBytes : std::size_t{1500};
    };
    auto &record = scenario.record;
    Cell cell(scenario.cell, record);
    cell.setSending(true);
    if (!cell.waitUntilServed()) {
        return conclude(record, Outcome::NotRun, "the cell doesn't serve requests");
    }
    std::vector<std::unique_ptr<SlowReader>> clients;
    std::vector<SlowReader::Result> results;
    const auto begin = monotonicNow();
    for (auto index = 0; index < readers; ++index) {
        const auto id = "d" + std::to_string(index);
        const auto target = "/look/document" + std::to_string(index);
        record.write("client sends " + id + " " + target + " to edge-1 and takes "
                     + std::to_string(bytesPerSecond) + " bytes a second");
        clients.push_back(std::make_unique<SlowReader>(
            cell.base(), cell.front(0), Cell::request("GET", target, id, deadlineMs),
            bytesPerSecond, [&, id](const SlowReader::Result &result) {
                const auto time = std::chrono::duration_cast<milliseconds>(monotonicNow() - begin);
                record.write("client of " + id + ": "
                             + (result.answer ? "complete answer" : "connection ended early")
                             + " after " + std::to_string(result.receivedBytes) + " bytes and "
                             + std::to_string(time.count()) + " ms");
                results.push_back(result);
            }));
    }
    cell.runFor(milliseconds{30});
    if (scenario.isTroubled) {
        record.write("edge-1 gets SIGTERM");
        cell.daemon(0).signal(SIGTERM);
    }
    cell.runFor(seconds{8});
    auto complete = 0;
    auto cutOff = 0;
    for (const auto &result : results) {
        const auto isComplete = result.answer && result.answer->head.status == 200
                                && result.answer->body.size() == documentBytes;
        complete += isComplete ? 1 : 0;
        cutOff += result.answer ? 0 : 1;
    }
    const auto ran = cell.runCount("d0") + cell.runCount("d1");
    const auto text = std::to_string(complete) + " answers complete, " + std::to_string(cutOff)
                      + " cut off, " + std::to_string(ran) + " runs at instances";
    if (cutOff > 0 && ran > 0) {
        return conclude(record, Outcome::Broken, text);
    }
    return conclude(record, complete == readers ? Outcome::Held : Outcome::NotRun, text);
}

/// An instance sends additional bytes after some of its answers.
auto runSecondAnswers(Scenario scenario) -> Outcome
{
    scenario.cell.requestsPerSecond = 120;
    scenario.cell.instancesPerService = instanceCount;
    auto &record = scenario.record;
    Cell cell(scenario.cell, record);
    cell.setSending(true);
    if (!cell.waitUntilServed()) {
        return conclude(record, Outcome::NotRun, "the cell doesn't serve requests");
    }
    const auto disturb = [&](double share) {
        record.write("three of five instances of each service send additional bytes after "
                     + std::to_string(share) + " of their answers");
        for (auto index = 0U; index < faultyCount; ++index) {
            for (const auto first : {0U, instanceCount}) {
                cell.instances()[first + index]->sendSecondAnswers(share, Instance::Followed::All);
            }
        }
    };
    for (auto count = 0; count < faultCount; ++count) {
        disturb(scenario.isTroubled ? secondAnswerShare : 0);
        cell.runFor(faultTime);
        disturb(0);
        cell.runFor(faultPause);
    }
    cell.setSending(false);
    cell.runFor(seconds{3});
    auto served = 0;
    auto foreign = 0;
    for (const auto &[id, request] : cell.sentRequests()) {
        if (request.status != 200) {
            continue;
        }
        ++served;
        const auto isOwn = request.body.find(" to " + request.target + "\n") != std::string::npos;
        if (!isOwn) {
            ++foreign;
            record.write("client of " + id + " (" + request.target + ") got a success with "
                         + request.body.substr(0, request.body.find('\n')));
        }
    }
    const auto sent = secondAnswersOf(cell);
    const auto text = std::to_string(served) + " requests served, " + std::to_string(foreign)
                      + " of them with the answer to another request; " + std::to_string(sent)
                      + " second answers";
    if (foreign > 0) {
        return conclude(record, Outcome::Broken, text);
    }
    return conclude(record, served > 100 ? Outcome::Held : Outcome::NotRun, text);
}

/// Instances reject a part of their requests, and one sends additional bytes after some rejections.
auto runSecondRejections(Scenario scenario) -> Outcome
{
    constexpr auto shedShare = 0.45;
    scenario.cell.requestsPerSecond = 160;
    scenario.cell.instancesPerService = instanceCount;
    auto &record = scenario.record;
    Cell cell(scenario.cell, record);
    cell.setSending(true);
    if (!cell.waitUntilServed()) {
        return conclude(record, Outcome::NotRun, "the cell doesn't serve requests");
    }
    const auto disturb = [&](double shed, double followed) {
        record.write("the instances of book shed " + std::to_string(shed)
                     + " of their requests, and three of five send additional bytes after "
                     + std::to_string(followed) + " of its answers");
        for (auto index = 0U; index < instanceCount; ++index) {
            cell.instances()[instanceCount + index]->shed(shed);
        }
        for (auto index = 0U; index < faultyCount; ++index) {
            cell.instances()[instanceCount + index]->sendSecondAnswers(
                followed, Instance::Followed::Rejections);
        }
    };
    for (auto count = 0; count < rejectionFaultCount; ++count) {
        disturb(scenario.isTroubled ? shedShare : 0, scenario.isTroubled ? secondAnswerShare : 0);
        cell.runFor(faultTime);
        disturb(0, 0);
        cell.runFor(faultPause);
    }
    cell.setSending(false);
    cell.runFor(seconds{3});
    auto ran = 0;
    auto twice = 0;
    auto refused = 0;
    for (const auto &[id, request] : cell.sentRequests()) {
        const auto runs = request.isIdempotent ? 0 : cell.runCount(id);
        ran += runs > 0 ? 1 : 0;
        twice += runs > 1 ? 1 : 0;
        refused += runs > 0 && request.status == 503 ? 1 : 0;
        if (runs > 1) {
            record.write(id + " isn't idempotent and ran " + std::to_string(runs) + " times");
        }
        if (runs > 0 && request.status == 503) {
            record.write(id + " isn't idempotent, was answered 503 and ran");
        }
    }
    const auto text = std::to_string(ran) + " requests ran that aren't idempotent, "
                      + std::to_string(twice) + " of them twice, " + std::to_string(refused)
                      + " were answered 503; " + std::to_string(secondAnswersOf(cell))
                      + " second answers";
    if (twice > 0) {
        return conclude(record, Outcome::Broken, text);
    }
    return conclude(record, ran > 100 ? Outcome::Held : Outcome::NotRun, text);
}

/// Instances that own keys send additional bytes after some of their answers to grants.
auto runGarbledGrants(Scenario scenario) -> Outcome
{
    constexpr Duration longestAllowed = milliseconds{500};
    scenario.cell.isKeyed = true;
    scenario.cell.hasBusyKeys = true;
    scenario.cell.requestsPerSecond = 125;
    scenario.cell.workTime = milliseconds{40};
    auto &record = scenario.record;
    Cell cell(scenario.cell, record);
    cell.setSending(true);
    if (!cell.waitUntilServed()) {
        return conclude(record, Outcome::NotRun, "the cell doesn't serve requests");
    }
    cell.runFor(seconds{3});
    for (auto count = 0; count < faultCount; ++count) {
        const auto share = scenario.isTroubled ? secondAnswerShare : 0;
        record.write("two of four instances send additional bytes after " + std::to_string(share)
                     + " of their answers");
        cell.setGarbledShare(share);
        cell.runFor(faultTime);
        cell.setGarbledShare(0);
        cell.runFor(faultPause);
    }
    const auto shared = std::chrono::duration_cast<milliseconds>(cell.longestSharedHold());
    const auto text = "two instances held the same key for " + std::to_string(shared.count())
                      + " ms at most; " + std::to_string(cell.garbledAnswers())
                      + " answers were followed by additional bytes";
    return conclude(record, shared > longestAllowed ? Outcome::Broken : Outcome::Held, text);
}

/// All daemons are killed; soon after they are back, the store is silent for some seconds, and its
/// leases run out meanwhile.
auto runSilentStore(Scenario scenario) -> Outcome
{
    constexpr Duration outageAfterKill = milliseconds{5500};
    constexpr Duration outageTime = milliseconds{4500};
    constexpr Duration recoveryTime = seconds{15};
    constexpr Duration observedTime = seconds{15};
    scenario.cell.isKeyed = true;
    scenario.cell.processorShare = "0.5";
    scenario.cell.workTime = milliseconds{20};
    auto &record = scenario.record;
    Cell cell(scenario.cell, record);
    cell.setSending(true);
    if (!cell.waitUntilServed()) {
        return conclude(record, Outcome::NotRun, "the cell doesn't serve requests");
    }
    cell.runFor(seconds{5});
    const auto killedAt = monotonicNow();
    if (scenario.isTroubled) {
        cell.killAll();
    }
    // The platform starts them again after 0.2 s.
    const auto backAt = monotonicNow() + milliseconds{400};
    cell.runFor(outageAfterKill);
    if (scenario.isTroubled) {
        record.write("the store is silent");
        cell.setStoreSilent(true);
    }
    cell.runFor(outageTime);
    record.write("the store answers");
    cell.setStoreSilent(false);
    cell.runFor(backAt + recoveryTime + observedTime - monotonicNow());
    cell.setSending(false);
    cell.runFor(seconds{2});
    struct Count
    {
        int sent = 0;
        int served = 0;
    };
    Count before;
    Count after;
    for (const auto &[id, request] : cell.sentRequests()) {
        auto *const count = request.sentAt < killedAt - seconds{1}   ? &before
                            : request.sentAt > backAt + recoveryTime ? &after
                                                                     : nullptr;
        if (count != nullptr) {
            ++count->sent;
            count->served += request.status == 200 ? 1 : 0;
        }
    }
    const auto text = "served before the kill " + std::to_string(before.served) + " of "
                      + std::to_string(before.sent) + ", later than 15 s after it "
                      + std::to_string(after.served) + " of " + std::to_string(after.sent);
    if (4 * before.served < before.sent || after.sent < 100) {
        return conclude(record, Outcome::NotRun, text);
    }
    return conclude(record, 4 * after.served < after.sent ? Outcome::Broken : Outcome::Held, text);
}

auto run(int argc, char *argv[]) -> Outcome
{
    if (argc != 6) {
        std::cerr << "usage: review-cell SCENARIO PROGRAM TEMPLATE FOLDER RECORD\n";
        return Outcome::NotRun;
    }
    const std::string name = argv[1];
    Record record(argv[5]);
    Scenario scenario{{}, true, record};
    scenario.cell.program = argv[2];
    scenario.cell.templateFile = argv[3];
    scenario.cell.folder = argv[4];
    const auto *const trouble = std::getenv("TROUBLE");
    scenario.isTroubled = trouble == nullptr || std::string(trouble) != "0";
    if (name == "slow-readers") {
        return runSlowReaders(std::move(scenario));
    }
    if (name == "second-answers") {
        return runSecondAnswers(std::move(scenario));
    }
    if (name == "second-rejections") {
        return runSecondRejections(std::move(scenario));
    }
    if (name == "silent-store") {
        return runSilentStore(std::move(scenario));
    }
    if (name == "garbled-grants") {
        return runGarbledGrants(std::move(scenario));
    }
    std::cerr << "unknown scenario " << name << '\n';
    return Outcome::NotRun;
}

} // namespace

} // namespace gooseberrywall::review

auto main(int argc, char *argv[]) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    for (const auto number : {SIGTERM, SIGINT}) {
        std::signal(number, gooseberrywall::review::onStopSignal);
    }
    try {
        return static_cast<int>(gooseberrywall::review::run(argc, argv));
    } catch (const std::exception &failure) {
        std::cerr << "not run: " << failure.what() << '\n';
        return 2;
    }
}
