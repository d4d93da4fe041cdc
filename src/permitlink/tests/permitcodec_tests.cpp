#include "permitlink/permitcodec.h"
#include "permitlink/schema/earlierpermit.capnp.h"
#include "permitlink/schema/permit.capnp.h"

#include <algorithm>
#include <array>
#include <capnp/any.h>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <catch2/catch.hpp>
#include <kj/io.h>
#include <limits>
#include <rapidcheck/catch.h>

using namespace gooseberrywall;

namespace {

const Address sender{"10.0.0.1:7000"};
const Address self{"10.0.0.2:7000"};

auto roundTrip(const PermitMessage &message, const Address &from, const Address &to)
    -> std::optional<PermitMessage>
{
    return decodePermitMessage(encodePermitMessage(message), from, to);
}

/// @returns the data of a report, without the word that holds the slowdown, and its texts
auto knownDataOf(const PermitReport &report) -> std::vector<std::string>
{
    const auto bytes = encodePermitMessage(report);
    kj::ArrayInputStream stream(
        kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
    capnp::PackedMessageReader reader(stream);
    const auto in = reader.getRoot<permitwire::Message>().getReport();
    // Size of the struct's data before the field was added.
    constexpr std::size_t knownBytes = 5 * sizeof(std::uint64_t);
    const auto data = capnp::AnyStruct::Reader(in).getDataSection();
    std::vector<std::string> known{
        std::string(data.begin(), data.begin() + std::min(knownBytes, data.size()))};
    for (const auto text : {in.getService(), in.getUpstream(), in.getForwarder()}) {
        known.emplace_back(text.begin(), text.size());
    }
    return known;
}

} // namespace

// Guards against fields at other positions, by which daemons of different builds misread each
// other.
SCENARIO("PermitCodec: given builds with and without the slowdown, each reads the other's reports",
         "[permitlink][mixedversions]")
{
    PermitReport report;
    report.id = PermitId{sender, 5, 6};
    report.service = ServiceName{"fitment"};
    report.upstream = UpstreamId{"a"};
    report.end = AttemptEnd::Answered;
    report.latency = std::chrono::milliseconds{80};
    report.load = ReportedLoad{3, 1, 3};
    report.pause = std::chrono::milliseconds{700};
    GIVEN("a report that a build without the field has encoded")
    {
        // Encoded by `capnp encode --packed` with the schema before the field was added.
        constexpr std::array<std::uint8_t, 51> bytes{
            0x10, 0x10, 0x50, 0x01, 0x01, 0x01, 0x02, 0x50, 0x05, 0x04, 0x12, 0x09, 0x03,
            0x07, 0x80, 0x38, 0x01, 0x11, 0x01, 0x03, 0x00, 0x00, 0x07, 0x60, 0xae, 0x0a,
            0x11, 0x0c, 0x02, 0x11, 0x11, 0x42, 0x11, 0x11, 0x12, 0x00, 0x00, 0x01, 0x05,
            0x01, 0x06, 0x7f, 0x66, 0x69, 0x74, 0x6d, 0x65, 0x6e, 0x74, 0x01, 0x61};
        const std::string text(bytes.begin(), bytes.end());
        THEN("its other fields are read, and the slowdown is unknown")
        {
            CHECK(decodePermitMessage(text, sender, self) == PermitMessage{report});
        }
    }
    GIVEN("reports with the field")
    {
        THEN("a build without it finds the fields that it knows unchanged")
        {
            const auto before = knownDataOf(report);
            report.load->slowdown = 2.5;
            CHECK(knownDataOf(report) == before);
        }
    }
    THEN("factors that no upstream can have are unknown")
    {
        for (const auto factor : {0.0, -1.0, std::numeric_limits<double>::quiet_NaN(),
                                  std::numeric_limits<double>::infinity(), 1e9}) {
            report.load->slowdown = factor;
            const auto read = std::get<PermitReport>(
                *decodePermitMessage(encodePermitMessage(report), sender, self));
            CHECK(read.load == ReportedLoad{3, 1, 3});
        }
    }
}

SCENARIO("PermitCodec: given any kind of message, decoding the encoded message restores it",
         "[permitlink]")
{
    PermitRequest request;
    request.id = PermitId{sender, 5, 6};
    request.request = RequestId{"r-1"};
    request.service = ServiceName{"fitment"};
    request.domain = FailureDomain{"north-1"};
    request.priority = 2;
    request.remaining = std::chrono::milliseconds{700};
    request.untilTarget = std::chrono::milliseconds{-20};
    request.key = KeyPosition{65535};
    request.isRetry = true;
    request.fingerprint = 99;
    request.avoid = {UpstreamId{"a"}, UpstreamId{"b"}};
    request.isIsolated = true;
    CHECK(roundTrip(request, sender, self) == PermitMessage{request});

    PermitAnswer answer;
    answer.id = PermitId{self, 5, 6};
    answer.verdict.kind = PermitVerdict::Kind::Granted;
    answer.verdict.upstream = UpstreamId{"a"};
    answer.verdict.incarnation = Incarnation{1733};
    answer.verdict.address = Address{"10.1.0.1:80"};
    answer.verdict.ownedRange = KeyRange{7, 9};
    answer.verdict.reason = Reason::QueueFull;
    answer.verdict.retryAfter = std::chrono::milliseconds{40};
    answer.verdict.grantorTerm = 77;
    answer.verdict.forwarder = Address{"10.0.0.3:7000"};
    CHECK(roundTrip(answer, sender, self) == PermitMessage{answer});

    PermitReport report;
    report.id = PermitId{sender, 5, 6};
    report.service = ServiceName{"fitment"};
    report.upstream = UpstreamId{"a"};
    report.end = AttemptEnd::NoAnswer;
    report.latency = std::chrono::milliseconds{80};
    report.load = ReportedLoad{3, 1, 3};
    report.requestLimit = RequestLimit{6.5};
    report.isLeaving = true;
    report.pause = std::chrono::milliseconds{700};
    report.forwarder = Address{"10.0.0.3:7000"};
    for (const auto hint : {LeaveHint::Unknown, LeaveHint::Stays, LeaveHint::MayLeave}) {
        report.leaveHint = hint;
        CHECK(roundTrip(report, sender, self) == PermitMessage{report});
    }

    report.requestLimit = RequestLimit{};
    CHECK(roundTrip(report, sender, self) == PermitMessage{report});

    report.load = ReportedLoad{3, 1, 3, 2.5};
    CHECK(roundTrip(report, sender, self) == PermitMessage{report});

    CHECK(roundTrip(DaemonHello{}, sender, self) == PermitMessage{DaemonHello{}});
    const PermitCancel cancel{PermitId{sender, 5, 6}, ServiceName{"fitment"}};
    CHECK(roundTrip(cancel, sender, self) == PermitMessage{cancel});
    const GrantorAnnouncement announcement{ServiceName{"fitment"}, 42, 4711,
                                           std::chrono::milliseconds{120}, 295};
    CHECK(roundTrip(announcement, sender, self) == PermitMessage{announcement});
    auto evacuating = announcement;
    evacuating.evacuated =
        EvacuatedDomains{{FailureDomain{"north-1"}, FailureDomain{"south-1"}}, 9};
    CHECK(roundTrip(evacuating, sender, self) == PermitMessage{evacuating});
    evacuating.evacuated = EvacuatedDomains{{}, 12};
    CHECK(roundTrip(evacuating, sender, self) == PermitMessage{evacuating});
}

// Guards against a fleet of two builds in which one side drops the other's announcements, or takes
// the absence of the new fields for "nothing is evacuated".
SCENARIO("PermitCodec: given announcements of an earlier build and of this one, each side works "
         "with the other's",
         "[permitlink]")
{
    GIVEN("a message of an earlier build, which has five fields only")
    {
        capnp::MallocMessageBuilder builder;
        auto root = builder.initRoot<earlierpermitwire::Message>();
        auto out = root.initAnnouncement();
        out.setService("fitment");
        out.setTerm(42);
        out.setConfiguration(4711);
        out.setConfigurationAge(120'000);
        out.setDaemons(295);
        kj::VectorOutputStream stream;
        capnp::writePackedMessage(stream, builder);
        const auto bytes = stream.getArray().asChars();
        const auto read = decodePermitMessage({bytes.begin(), bytes.size()}, sender, self);
        THEN("it is read, and it isn't known which failure domains are evacuated")
        {
            const GrantorAnnouncement expected{ServiceName{"fitment"}, 42, 4711,
                                               std::chrono::milliseconds{120}, 295};
            CHECK(read == PermitMessage{expected});
            CHECK(std::get<GrantorAnnouncement>(*read).evacuated.revision == 0);
        }
    }
    GIVEN("a message of this build that names evacuated failure domains")
    {
        GrantorAnnouncement announcement{ServiceName{"fitment"}, 42, 4711,
                                         std::chrono::milliseconds{120}, 295};
        announcement.evacuated = EvacuatedDomains{{FailureDomain{"north-1"}}, 9};
        const auto bytes = encodePermitMessage(announcement);
        kj::ArrayInputStream stream(
            kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(stream);
        const auto in = reader.getRoot<earlierpermitwire::Message>().getAnnouncement();
        THEN("an earlier build reads all fields that it knows")
        {
            CHECK(std::string{in.getService()} == "fitment");
            CHECK(in.getTerm() == 42);
            CHECK(in.getConfiguration() == 4711);
            CHECK(in.getConfigurationAge() == 120'000);
            CHECK(in.getDaemons() == 295);
        }
    }
}

// Guards against a daemon that takes a part of the evacuated failure domains for all of them.
TEST_CASE("PermitCodec: given more evacuated failure domains than fit, none are announced",
          "[permitlink]")
{
    GrantorAnnouncement announcement;
    announcement.evacuated.revision = 9;
    for (auto number = 0; number < 100; ++number) {
        announcement.evacuated.domains.insert(FailureDomain{"domain-" + std::to_string(number)});
    }
    const auto read = roundTrip(announcement, sender, self);
    CHECK(std::get<GrantorAnnouncement>(*read).evacuated == EvacuatedDomains{});
}

TEST_CASE("PermitCodec: given any bytes, decoding returns a message or nothing", "[permitlink]")
{
    rc::prop("decoding random bytes never fails", [](const std::string &bytes) {
        static_cast<void>(decodePermitMessage(bytes, sender, self));
    });
    rc::prop("decoding a damaged message never fails", [](std::uint8_t at, std::uint8_t value) {
        PermitRequest request;
        request.service = ServiceName{"fitment"};
        request.avoid = {UpstreamId{"a"}};
        auto bytes = encodePermitMessage(request);
        bytes[at % bytes.size()] = static_cast<char>(value);
        static_cast<void>(decodePermitMessage(bytes, sender, self));
    });
}

TEST_CASE("PermitCodec: given numbers that no daemon sends, sums with them don't overflow",
          "[permitlink]")
{
    // Guards against a stray datagram whose duration, added to the time, overflows.
    constexpr auto highest = std::numeric_limits<std::int64_t>::max();
    constexpr auto lowest = std::numeric_limits<std::int64_t>::min();
    for (const auto microseconds : {highest, lowest}) {
        PermitRequest request;
        request.remaining = Duration{microseconds};
        request.untilTarget = Duration{microseconds};
        const auto read = std::get<PermitRequest>(
            *decodePermitMessage(encodePermitMessage(request), sender, self));
        for (const auto duration : {read.remaining, read.untilTarget}) {
            CHECK(duration <= std::chrono::hours{24 * 366 * 100});
            CHECK(duration >= -std::chrono::hours{24 * 366 * 100});
        }
    }
    PermitReport report;
    report.load = ReportedLoad{std::numeric_limits<int>::max(), std::numeric_limits<int>::max(),
                               std::numeric_limits<int>::min()};
    report.pause = Duration{highest};
    const auto read =
        std::get<PermitReport>(*decodePermitMessage(encodePermitMessage(report), sender, self));
    CHECK(read.load->running <= std::numeric_limits<int>::max() / 4);
    CHECK(read.load->waiting <= std::numeric_limits<int>::max() / 4);
    CHECK(read.load->slots >= 0);
    CHECK(*read.pause <= std::chrono::hours{24 * 366 * 100});
}

TEST_CASE("PermitCodec: given more suspects than one packet holds, the message fits into one",
          "[permitlink]")
{
    constexpr std::size_t packetBytes = 1472;
    SuspectNotice notice;
    notice.service = ServiceName{"a-service-with-a-long-name"};
    for (std::uint64_t number = 1; number <= 10'000; ++number) {
        const auto crash = static_cast<CrashId>(0xf1234567U + number);
        notice.suspects.push_back(SuspectRequest{RequestFingerprint{0xf123456789abcdefU - number},
                                                 {crash, crash + 1, crash + 2},
                                                 std::chrono::minutes{9}});
    }
    const auto bytes = encodePermitMessage(notice);
    CHECK(bytes.size() <= packetBytes);
    const auto read = std::get<SuspectNotice>(*decodePermitMessage(bytes, sender, self));
    notice.suspects.resize(SuspectNotice::maxSuspects);
    CHECK(read == notice);
}
