#include "crowd/crowdcell.h"

#include <catch2/catch.hpp>
#include <iostream>

using namespace gooseberrywall;
using std::chrono::seconds;

namespace {

/// The largest body that operators permit, and the memory of the smallest VM.
constexpr std::size_t largestBodyBytes = 67'108'864;
constexpr std::size_t smallestMemoryMb = 112;
constexpr std::size_t kibibytesPerMebibyte = 1024;
constexpr Duration startLimit = seconds{15};
/// For the daemons to know each other, and the upstreams.
constexpr Duration settleTime = seconds{3};
constexpr Duration uploadLimit = seconds{20};

} // namespace

// Guards against copies of a body on the way through a forwarder, and against a limit of forwarders
// below that of the operators: an upload took the process over its memory, and wasn't served.
SCENARIO("Crowd: an upload of the largest size at a daemon that reaches upstreams through another",
         "[forwardedupload]")
{
    GIVEN("two daemons with the memory of the smallest VM, of which one has served requests, and "
          "upstreams that refuse new connections")
    {
        CrowdCellSettings settings;
        settings.program = CROWD_PROGRAM;
        settings.folder = CROWD_FOLDER;
        settings.name = "forwarded-upload";
        settings.memoryMb = smallestMemoryMb;
        settings.maxBodyBytes = largestBodyBytes;
        settings.hasForwarder = true;
        CrowdCell cell(settings);
        REQUIRE(cell.waitUntilForwarderServes(startLimit));
        cell.runFor(settleTime);
        REQUIRE(cell.waitUntilForwarderServes(startLimit));
        cell.stopAcceptingAtUpstreams();
        REQUIRE(cell.waitUntilServed(startLimit));
        WHEN("a caller sends a body of the largest permitted size to the other one")
        {
            const auto answer = cell.ask(
                [](const std::string &id) {
                    return announcedRequest(CrowdCell::prefix + id, id, largestBodyBytes,
                                            largestBodyBytes, false);
                },
                uploadLimit);
            THEN("it is served, and both processes stay within their memory")
            {
                const auto entryKiB = cell.peakUsage().peakMemoryKiB;
                const auto forwarderKiB = cell.forwarderUsage().peakMemoryKiB;
                std::cout << "forwarded largest body: peak memory "
                          << entryKiB / kibibytesPerMebibyte << " MiB, of the forwarder "
                          << forwarderKiB / kibibytesPerMebibyte
                          << " MiB, answer: " << answer.substr(0, answer.find('\r')) << std::endl;
                CHECK(cell.isRunning());
                CHECK(cell.isForwarderRunning());
                CHECK(entryKiB > 0);
                CHECK(entryKiB < smallestMemoryMb * kibibytesPerMebibyte);
                CHECK(forwarderKiB > largestBodyBytes / 1024);
                CHECK(forwarderKiB < smallestMemoryMb * kibibytesPerMebibyte);
                CHECK(answer.starts_with("HTTP/1.1 200"));
                CHECK(answer.ends_with(SizedUpstream::answerText(largestBodyBytes)));
            }
        }
    }
}
