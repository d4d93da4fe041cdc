#include "crowd/crowdcell.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace gooseberrywall;
using std::chrono::seconds;

namespace {

constexpr std::size_t mebibyte = std::size_t{1024} * 1024;
constexpr std::size_t kibibytesPerMebibyte = 1024;
constexpr std::size_t memoryMb = 64;
constexpr int upstreamsPerAnswer = 6;
constexpr int crowdSize = 48;
/// Connections to the faulty upstreams, one for each open request, order and probe, and those
/// beside them.
constexpr std::size_t descriptorLimit = 300;
constexpr Duration startLimit = seconds{15};
constexpr Duration stayTime = seconds{8};
constexpr Duration ordinaryLimit = seconds{20};
/// Of an ordinary upload that lasts as long as the faulty upstreams answer.
constexpr std::size_t uploadBytes = 2 * mebibyte;
constexpr std::size_t uploadBytesPerTurn = 512;

auto cellSettings(const std::string &name) -> CrowdCellSettings
{
    CrowdCellSettings settings;
    settings.program = CROWD_PROGRAM;
    settings.folder = CROWD_FOLDER;
    settings.name = name;
    settings.memoryMb = memoryMb;
    settings.endlessUpstreamsPerAnswer = upstreamsPerAnswer;
    return settings;
}

auto checkBounds(CrowdCell &cell, const std::string &name) -> void
{
    const auto answer = cell.ask(
        [](const std::string &id) {
            return announcedRequest(CrowdCell::prefix + id, id, 300, 300, false);
        },
        ordinaryLimit);
    const auto usage = cell.peakUsage();
    std::cout << name << ": peak memory " << usage.peakMemoryKiB / kibibytesPerMebibyte
              << " MiB, descriptors " << usage.descriptors << ", endless answers "
              << cell.endlessAnswers()
              << ", ordinary request: " << answer.substr(0, answer.find('\r')) << std::endl;
    CHECK(cell.isRunning());
    CHECK(usage.peakMemoryKiB > 0);
    CHECK(usage.peakMemoryKiB < memoryMb * kibibytesPerMebibyte);
    CHECK(usage.descriptors < descriptorLimit);
    CHECK(cell.endlessAnswers() > upstreamsPerAnswer * EndlessUpstream::answerCount);
    CHECK(answer.starts_with("HTTP/1.1 200"));
}

} // namespace

// Guards against answers to orders and probes that are held without a bound.
SCENARIO("Crowd: upstreams that answer orders without end")
{
    GIVEN("a daemon that orders faulty upstreams to hold keys")
    {
        CrowdCell cell(cellSettings("endless-orders"));
        REQUIRE(cell.waitUntilServed(startLimit));
        cell.runFor(stayTime);
        THEN("the process stays within its bounds and serves an ordinary request")
        {
            checkBounds(cell, "endless answers to orders");
        }
    }
}

// Guards against answers to requests that are held without a bound, and against requests of other
// callers that are ended to hold them.
SCENARIO("Crowd: upstreams that answer requests without end")
{
    GIVEN("a daemon with an ordinary upload that is arriving")
    {
        CrowdCell cell(cellSettings("endless-requests"));
        REQUIRE(cell.waitUntilServed(startLimit));
        CallerPlan upload;
        upload.request = announcedRequest(std::string(CrowdCell::prefix) + "upload", "upload",
                                          uploadBytes, uploadBytes, true);
        upload.bytesPerTurn = uploadBytesPerTurn;
        upload.connectionLimit = 1;
        const auto &uploader = cell.addCaller(std::move(upload));
        WHEN("a crowd sends requests to faulty upstreams")
        {
            for (auto index = 0; index < crowdSize; ++index) {
                const auto id = "crowd-" + std::to_string(index);
                CallerPlan plan;
                plan.request = announcedRequest(CrowdCell::endlessPrefix + id, id, 1, 1, true);
                cell.addCaller(std::move(plan));
            }
            cell.runFor(stayTime);
            THEN("the process stays within its bounds, and the upload and an ordinary request are "
                 "served")
            {
                checkBounds(cell, "endless answers to requests");
                cell.runUntilAnswered(uploader, ordinaryLimit);
                CHECK(uploader.status() == 200);
            }
        }
    }
}
