#include "crowd/crowdcell.h"

#include <catch2/catch.hpp>
#include <iostream>
#include <utility>

using namespace gooseberrywall;
using std::chrono::seconds;

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
constexpr std::size_t kibibytesPerMebibyte = 1024;
constexpr int crowdSize = 48;
/// One caller of this many sends its request completely; the others stop one byte short.
constexpr int completeOneIn = 12;
/// A caller whose connection is closed by the daemon opens another one, up to this number. The
/// daemon may still have the earlier ones then, since it discards their input for a while.
constexpr int connectionsPerCaller = 3;
/// Descriptors beside those of the crowd: listeners, store, and connections to upstreams, which
/// have 32 slots in total.
constexpr std::size_t otherDescriptors = 64;
constexpr std::size_t memoryMb = 64;
constexpr std::size_t maxBodyBytes = 8 * mebibyte;
/// For callers that send in pieces: small enough for several hundred pieces per body.
constexpr std::size_t pieceBytes = std::size_t{16} * 1024;
constexpr Duration startLimit = seconds{15};
constexpr Duration sendLimit = seconds{10};
/// How long the crowd stays before the ordinary request is sent.
constexpr Duration stayTime = seconds{2};
constexpr Duration ordinaryLimit = seconds{20};
/// For the daemon to close the connections of a crowd that has left.
constexpr Duration leaveLimit = seconds{10};

auto cellSettings(const std::string &name) -> CrowdCellSettings
{
    CrowdCellSettings settings;
    settings.program = CROWD_PROGRAM;
    settings.folder = CROWD_FOLDER;
    settings.name = name;
    settings.memoryMb = memoryMb;
    settings.maxBodyBytes = maxBodyBytes;
    return settings;
}

auto targetOf(const std::string &id) -> std::string
{
    return CrowdCell::prefix + id;
}

auto planFor(CrowdRequest request) -> CallerPlan
{
    CallerPlan plan;
    plan.request = std::move(request);
    plan.connectionLimit = connectionsPerCaller;
    return plan;
}

/// @param isWhole whether the caller sends as much as its socket takes, or in pieces
auto stoppingPlan(CrowdRequest request, int index, bool isWhole) -> CallerPlan
{
    auto plan = planFor(std::move(request));
    plan.missingBytes = index % completeOneIn == 0 ? 0 : 1;
    if (!isWhole) {
        plan.bytesPerTurn = pieceBytes;
    }
    return plan;
}

/// Lets the crowd send, then checks what holds for each crowd: the process lives, its memory and
/// descriptors stay within their bounds, an ordinary request is served beside the crowd, and the
/// descriptors of a crowd that has left are closed.
auto checkCrowd(CrowdCell &cell, const std::string &name) -> void
{
    cell.runUntilSettled(sendLimit);
    cell.runFor(stayTime);
    const auto openCallers = cell.openCallers();
    constexpr std::size_t ordinaryBytes = 300;
    const auto answer = cell.ask(
        [](const std::string &id) {
            return announcedRequest(targetOf(id), id, ordinaryBytes, ordinaryBytes, false);
        },
        ordinaryLimit);
    const auto usage = cell.peakUsage();
    const auto leftDescriptors = cell.dismissCallers(otherDescriptors, leaveLimit);
    std::cout << name << ": peak memory " << usage.peakMemoryKiB / kibibytesPerMebibyte
              << " MiB, descriptors " << usage.descriptors << " (afterwards " << leftDescriptors
              << "), open callers " << openCallers << ", memory_mb "
              << (cell.hasMemorySetting() ? "set" : "unknown to this build")
              << ", ordinary request: " << answer.substr(0, answer.find('\r')) << std::endl;
    CHECK(cell.isRunning());
    CHECK(usage.peakMemoryKiB > 0);
    CHECK(usage.peakMemoryKiB < memoryMb * kibibytesPerMebibyte);
    CHECK(usage.descriptors < crowdSize * connectionsPerCaller + otherDescriptors);
    CHECK(leftDescriptors < otherDescriptors);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with(SizedUpstream::answerText(ordinaryBytes)));
}

} // namespace

// Guards against a process that holds each body of permitted size, without a bound on their sum.
SCENARIO("Crowd: large announced bodies that stop short of their end")
{
    GIVEN("a daemon that serves requests")
    {
        CrowdCell cell(cellSettings("announced"));
        REQUIRE(cell.waitUntilServed(startLimit));
        WHEN("a crowd sends bodies of the largest permitted size, whole and in pieces")
        {
            for (auto index = 0; index < crowdSize; ++index) {
                const auto id = "crowd-" + std::to_string(index);
                cell.addCaller(stoppingPlan(
                    announcedRequest(targetOf(id), id, maxBodyBytes, maxBodyBytes, true), index,
                    index % 2 == 0));
            }
            THEN("the process stays within its bounds and serves an ordinary request")
            {
                checkCrowd(cell, "announced bodies");
            }
        }
    }
}

// Guards against chunked bodies whose bytes aren't counted as they arrive.
SCENARIO("Crowd: bodies in large chunks that stop short of their end")
{
    GIVEN("a daemon that serves requests")
    {
        CrowdCell cell(cellSettings("large-chunks"));
        REQUIRE(cell.waitUntilServed(startLimit));
        WHEN("a crowd sends bodies of the largest permitted size in chunks, whole and in pieces")
        {
            constexpr std::size_t chunkBytes = 64 * 1024;
            for (auto index = 0; index < crowdSize; ++index) {
                const auto id = "crowd-" + std::to_string(index);
                cell.addCaller(
                    stoppingPlan(chunkedRequest(targetOf(id), id, maxBodyBytes, chunkBytes), index,
                                 index % 2 == 0));
            }
            THEN("the process stays within its bounds and serves an ordinary request")
            {
                checkCrowd(cell, "large chunks");
            }
        }
    }
}

// Guards against an overhead of small chunks that isn't counted.
SCENARIO("Crowd: bodies in one-byte chunks that stop short of their end")
{
    GIVEN("a daemon that serves requests")
    {
        CrowdCell cell(cellSettings("small-chunks"));
        REQUIRE(cell.waitUntilServed(startLimit));
        WHEN("a crowd sends bodies in chunks of one byte, whole and in pieces")
        {
            // Six bytes are sent for each byte of the body, 576 MiB in total.
            constexpr std::size_t bodyBytes = 2 * mebibyte;
            for (auto index = 0; index < crowdSize; ++index) {
                const auto id = "crowd-" + std::to_string(index);
                cell.addCaller(stoppingPlan(chunkedRequest(targetOf(id), id, bodyBytes, 1), index,
                                            index % 2 == 0));
            }
            THEN("the process stays within its bounds and serves an ordinary request")
            {
                checkCrowd(cell, "one-byte chunks");
            }
        }
    }
}

// Guards against a process that holds the bytes of a body which it has refused.
SCENARIO("Crowd: bodies that are announced far over the limit")
{
    GIVEN("a daemon that serves requests")
    {
        CrowdCell cell(cellSettings("announced-over-limit"));
        REQUIRE(cell.waitUntilServed(startLimit));
        WHEN("a crowd announces bodies far over the limit and sends, whatever the answer is")
        {
            constexpr std::size_t announcedBytes = 1024 * mebibyte;
            constexpr std::size_t sentBytes = 4 * maxBodyBytes;
            for (auto index = 0; index < crowdSize; ++index) {
                const auto id = "crowd-" + std::to_string(index);
                auto plan =
                    planFor(announcedRequest(targetOf(id), id, announcedBytes, sentBytes, true));
                cell.addCaller(std::move(plan));
            }
            THEN("the process stays within its bounds and serves an ordinary request")
            {
                checkCrowd(cell, "announced over the limit");
            }
        }
    }
}

// Guards against a process that holds each body up to the limit before it refuses it.
SCENARIO("Crowd: bodies that are sent far over the limit without an announcement")
{
    GIVEN("a daemon that serves requests")
    {
        CrowdCell cell(cellSettings("sent-over-limit"));
        REQUIRE(cell.waitUntilServed(startLimit));
        WHEN("a crowd sends chunks far over the limit, whatever the answer is")
        {
            constexpr std::size_t chunkBytes = 64 * 1024;
            constexpr std::size_t sentBytes = 4 * maxBodyBytes;
            for (auto index = 0; index < crowdSize; ++index) {
                const auto id = "crowd-" + std::to_string(index);
                auto plan = planFor(chunkedRequest(targetOf(id), id, sentBytes, chunkBytes));
                // The body has no end: its last chunk is never sent.
                plan.request.tail.clear();
                cell.addCaller(std::move(plan));
            }
            THEN("the process stays within its bounds and serves an ordinary request")
            {
                checkCrowd(cell, "sent over the limit");
            }
        }
    }
}

// Guards against answers that are held without a bound for callers that don't take them.
SCENARIO("Crowd: large answers that stay unread")
{
    GIVEN("a daemon that serves requests, and upstreams with large answers")
    {
        auto settings = cellSettings("unread-answers");
        settings.largeAnswerBytes = 4 * mebibyte;
        CrowdCell cell(settings);
        REQUIRE(cell.waitUntilServed(startLimit));
        WHEN("a crowd asks for large answers and doesn't read them")
        {
            for (auto index = 0; index < crowdSize; ++index) {
                const auto id = "crowd-" + std::to_string(index);
                auto plan =
                    planFor(announcedRequest(CrowdCell::largeAnswerPrefix + id, id, 1, 1, true));
                plan.readsAnswer = false;
                cell.addCaller(std::move(plan));
            }
            THEN("the process stays within its bounds and serves an ordinary request")
            {
                checkCrowd(cell, "unread answers");
            }
        }
    }
}

// Guards against a fixed limit on bodies below the operators' limit, and against copies of a body:
// two copies of the largest one don't fit into the memory of the smallest VM.
SCENARIO("Crowd: a single request of the largest size that operators permit")
{
    GIVEN("a daemon with the memory of the smallest VM and no other load")
    {
        constexpr std::size_t largestBodyBytes = 67'108'864;
        constexpr std::size_t smallestMemoryMb = 112;
        auto settings = cellSettings("single");
        settings.memoryMb = smallestMemoryMb;
        settings.maxBodyBytes = largestBodyBytes;
        CrowdCell cell(settings);
        REQUIRE(cell.waitUntilServed(startLimit));
        WHEN("a caller sends a body of the largest permitted size")
        {
            const auto answer = cell.ask(
                [](const std::string &id) {
                    return announcedRequest(targetOf(id), id, largestBodyBytes, largestBodyBytes,
                                            false);
                },
                ordinaryLimit);
            THEN("it is served, and the process stays within its memory")
            {
                const auto usage = cell.peakUsage();
                std::cout << "single largest body: peak memory "
                          << usage.peakMemoryKiB / kibibytesPerMebibyte << " MiB, descriptors "
                          << usage.descriptors
                          << ", answer: " << answer.substr(0, answer.find('\r')) << std::endl;
                CHECK(cell.isRunning());
                CHECK(usage.peakMemoryKiB > 0);
                CHECK(usage.peakMemoryKiB < smallestMemoryMb * kibibytesPerMebibyte);
                CHECK(usage.descriptors < otherDescriptors);
                CHECK(answer.starts_with("HTTP/1.1 200"));
                CHECK(answer.ends_with(SizedUpstream::answerText(largestBodyBytes)));
            }
        }
    }
}
