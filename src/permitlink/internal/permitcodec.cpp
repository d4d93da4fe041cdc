#include "permitlink/permitcodec.h"

#include "permitlink/schema/permit.capnp.h"

#include <algorithm>
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace gooseberrywall {

namespace {

/// Maximum number of upstreams to avoid in a request; further ones are dropped.
constexpr std::size_t maxAvoidedUpstreams = 8;
/// Size of the builder's first segment in words of 8 bytes.
constexpr std::size_t firstSegmentWords = 128;
/// Limits how much data a packed datagram may expand to, in words of 8 bytes.
constexpr std::uint64_t traversalLimitWords = 4096;
/// About 30 years.
constexpr std::int64_t maxMicroseconds = 1'000'000'000'000'000;
constexpr std::int32_t maxCount = 1'000'000;
/// Total size of the names of evacuated failure domains in one message, so that it fits into one
/// packet; a larger set isn't sent, and receivers read it from the store.
constexpr std::size_t maxEvacuatedBytes = 1000;
/// More crashes than quarantine a request aren't told.
constexpr unsigned maxCrashes = 16;
/// Counted for each name besides its text.
constexpr std::size_t bytesPerName = 16;
/// Larger factors are implausible and count as unknown.
constexpr double maxSlowdown = 10'000;

auto writeId(permitwire::PermitId::Builder builder, const PermitId &id) -> void
{
    builder.setLife(id.incarnation);
    builder.setSequence(id.sequence);
}

auto readId(permitwire::PermitId::Reader reader, const Address &entry) -> PermitId
{
    return PermitId{entry, reader.getLife(), reader.getSequence()};
}

/// @returns the duration, limited so that sums with a time can't overflow
auto durationOf(std::int64_t microseconds) -> Duration
{
    return Duration{std::clamp(microseconds, -maxMicroseconds, maxMicroseconds)};
}

/// @returns the number of requests or slots, limited so that sums can't overflow
auto countOf(std::int32_t number) -> int
{
    return std::clamp(number, 0, maxCount);
}

/// @returns the factor; nothing where it is unknown, as in messages of builds without the field
auto slowdownOf(double factor) -> std::optional<double>
{
    // Also refuses NaN.
    return factor > 0 && factor <= maxSlowdown ? std::optional(factor) : std::nullopt;
}

auto textOf(capnp::Text::Reader text) -> std::string
{
    return {text.begin(), text.size()};
}

auto write(permitwire::Message::Builder builder, const PermitRequest &request) -> void
{
    auto out = builder.initRequest();
    writeId(out.initId(), request.id);
    out.setService(request.service.value);
    out.setDomain(request.domain.value);
    out.setRequest(request.request.value);
    out.setPrint(request.fingerprint);
    out.setPriority(request.priority);
    out.setRemaining(request.remaining.count());
    out.setUntilTarget(request.untilTarget.count());
    out.setHasKey(request.key.has_value());
    out.setKey(request.key.value_or(0));
    out.setIsRetry(request.isRetry);
    out.setIsolated(request.isIsolated);
    const auto count = std::min(request.avoid.size(), maxAvoidedUpstreams);
    auto avoid = out.initAvoid(static_cast<unsigned>(count));
    for (unsigned index = 0; index < count; ++index) {
        avoid.set(index, request.avoid[index].value);
    }
}

auto write(permitwire::Message::Builder builder, const PermitAnswer &answer) -> void
{
    auto out = builder.initVerdict();
    const auto &verdict = answer.verdict;
    writeId(out.initId(), answer.id);
    out.setKind(static_cast<std::uint8_t>(verdict.kind));
    out.setUpstream(verdict.upstream.value);
    out.setAddress(verdict.address.value);
    out.setHasSpan(verdict.ownedRange.has_value());
    out.setFirst(verdict.ownedRange.value_or(KeyRange{}).first);
    out.setLast(verdict.ownedRange.value_or(KeyRange{}).last);
    out.setReason(static_cast<std::uint8_t>(verdict.reason));
    out.setRetryAfter(verdict.retryAfter.count());
    out.setGrantorTerm(verdict.grantorTerm);
    out.setUpstreamLife(verdict.incarnation.value);
    out.setForwarder(verdict.forwarder.value);
}

auto write(permitwire::Message::Builder builder, const PermitReport &report) -> void
{
    auto out = builder.initReport();
    writeId(out.initId(), report.id);
    out.setService(report.service.value);
    out.setUpstream(report.upstream.value);
    out.setEnd(static_cast<std::uint8_t>(report.end));
    out.setLatency(report.latency.count());
    const auto load = report.load.value_or(ReportedLoad{});
    out.setHasLoad(report.load.has_value());
    out.setRunning(load.running);
    out.setWaiting(load.waiting);
    out.setSlots(load.slots);
    out.setSlowdown(load.slowdown.value_or(0));
    out.setHasLimit(report.requestLimit.has_value());
    out.setLimitPerSecond(report.requestLimit.value_or(RequestLimit{}).perSecond);
    out.setLeaving(report.isLeaving);
    out.setHasPause(report.pause.has_value());
    out.setPause(report.pause.value_or(Duration{0}).count());
    out.setForwarder(report.forwarder.value);
    out.setLeaveHint(static_cast<std::uint8_t>(report.leaveHint));
}

auto write(permitwire::Message::Builder builder, const PermitCancel &cancel) -> void
{
    auto out = builder.initCancel();
    writeId(out.initId(), cancel.id);
    out.setService(cancel.service.value);
}

auto evacuatedBytes(const EvacuatedDomains &evacuated) -> std::size_t
{
    std::size_t bytes = 0;
    for (const auto &domain : evacuated.domains) {
        bytes += domain.value.size() + bytesPerName;
    }
    return bytes;
}

auto writeEvacuated(permitwire::Announcement::Builder out, const EvacuatedDomains &evacuated)
    -> void
{
    if (evacuated.revision == 0 || evacuatedBytes(evacuated) > maxEvacuatedBytes) {
        return;
    }
    out.setEvacuationRevision(evacuated.revision);
    auto list = out.initEvacuated(static_cast<unsigned>(evacuated.domains.size()));
    unsigned index = 0;
    for (const auto &domain : evacuated.domains) {
        list.set(index++, domain.value);
    }
}

auto write(permitwire::Message::Builder builder, const GrantorAnnouncement &announcement) -> void
{
    auto out = builder.initAnnouncement();
    out.setService(announcement.service.value);
    out.setTerm(announcement.term);
    out.setConfiguration(announcement.configurationRevision);
    out.setConfigurationAge(announcement.configurationAge.count());
    out.setDaemons(announcement.daemonCount);
    writeEvacuated(out, announcement.evacuated);
}

auto write(permitwire::Message::Builder builder, const DaemonHello &) -> void
{
    builder.initHello();
}

auto write(permitwire::Message::Builder builder, const SuspectNotice &notice) -> void
{
    auto out = builder.initSuspects();
    out.setService(notice.service.value);
    const auto count = std::min(notice.suspects.size(), SuspectNotice::maxSuspects);
    auto suspects = out.initSuspects(static_cast<unsigned>(count));
    for (unsigned index = 0; index < count; ++index) {
        const auto &suspect = notice.suspects[index];
        auto item = suspects[index];
        item.setPrint(suspect.fingerprint.value);
        item.setSinceLastCrash(suspect.sinceLastCrash.count());
        const auto crashCount = std::min(static_cast<unsigned>(suspect.crashes.size()), maxCrashes);
        auto crashes = item.initCrashes(crashCount);
        for (unsigned crash = 0; crash < crashCount; ++crash) {
            crashes.set(crash, suspect.crashes[crash]);
        }
    }
}

auto readRequest(permitwire::Request::Reader in, const Address &sender) -> PermitMessage
{
    PermitRequest request;
    request.id = readId(in.getId(), sender);
    request.service.value = textOf(in.getService());
    request.domain.value = textOf(in.getDomain());
    request.request.value = textOf(in.getRequest());
    request.fingerprint = in.getPrint();
    request.priority = in.getPriority();
    request.remaining = durationOf(in.getRemaining());
    request.untilTarget = durationOf(in.getUntilTarget());
    if (in.getHasKey()) {
        request.key = in.getKey();
    }
    request.isRetry = in.getIsRetry();
    request.isIsolated = in.getIsolated();
    const auto avoid = in.getAvoid();
    for (unsigned index = 0; index < avoid.size() && index < maxAvoidedUpstreams; ++index) {
        request.avoid.push_back(UpstreamId{textOf(avoid[index])});
    }
    return request;
}

auto readAnswer(permitwire::Verdict::Reader in, const Address &self) -> std::optional<PermitMessage>
{
    PermitAnswer answer;
    answer.id = readId(in.getId(), self);
    auto &verdict = answer.verdict;
    if (in.getKind() > static_cast<std::uint8_t>(PermitVerdict::Kind::NotGrantor)
        || in.getReason() >= reasonCount) {
        return std::nullopt;
    }
    verdict.kind = static_cast<PermitVerdict::Kind>(in.getKind());
    verdict.upstream.value = textOf(in.getUpstream());
    verdict.address.value = textOf(in.getAddress());
    if (in.getHasSpan()) {
        verdict.ownedRange = KeyRange{in.getFirst(), in.getLast()};
    }
    verdict.reason = static_cast<Reason>(in.getReason());
    verdict.retryAfter = durationOf(in.getRetryAfter());
    verdict.grantorTerm = in.getGrantorTerm();
    verdict.incarnation.value = in.getUpstreamLife();
    verdict.forwarder.value = textOf(in.getForwarder());
    return answer;
}

auto readReport(permitwire::Report::Reader in, const Address &sender)
    -> std::optional<PermitMessage>
{
    if (in.getEnd() > static_cast<std::uint8_t>(AttemptEnd::Unused)) {
        return std::nullopt;
    }
    PermitReport report;
    report.id = readId(in.getId(), sender);
    report.service.value = textOf(in.getService());
    report.upstream.value = textOf(in.getUpstream());
    report.end = static_cast<AttemptEnd>(in.getEnd());
    report.latency = durationOf(in.getLatency());
    if (in.getHasLoad()) {
        report.load = ReportedLoad{countOf(in.getRunning()), countOf(in.getWaiting()),
                                   countOf(in.getSlots()), slowdownOf(in.getSlowdown())};
    }
    // Also refuses NaN.
    if (in.getHasLimit() && in.getLimitPerSecond() >= 0) {
        report.requestLimit = RequestLimit{in.getLimitPerSecond()};
    }
    report.isLeaving = in.getLeaving();
    if (in.getHasPause() && in.getPause() >= 0) {
        report.pause = durationOf(in.getPause());
    }
    report.forwarder.value = textOf(in.getForwarder());
    // A later build may know further hints.
    if (in.getLeaveHint() <= static_cast<std::uint8_t>(LeaveHint::MayLeave)) {
        report.leaveHint = static_cast<LeaveHint>(in.getLeaveHint());
    }
    return report;
}

auto readEvacuated(permitwire::Announcement::Reader in) -> EvacuatedDomains
{
    EvacuatedDomains evacuated;
    const auto list = in.getEvacuated();
    if (in.getEvacuationRevision() == 0 || list.size() > maxEvacuatedBytes / bytesPerName) {
        return evacuated;
    }
    evacuated.revision = in.getEvacuationRevision();
    for (const auto domain : list) {
        evacuated.domains.insert(FailureDomain{textOf(domain)});
    }
    return evacuated;
}

auto readSuspects(permitwire::Suspects::Reader in) -> SuspectNotice
{
    SuspectNotice notice;
    notice.service.value = textOf(in.getService());
    const auto suspects = in.getSuspects();
    for (unsigned index = 0; index < suspects.size() && index < SuspectNotice::maxSuspects;
         ++index) {
        SuspectRequest suspect;
        suspect.fingerprint.value = suspects[index].getPrint();
        suspect.sinceLastCrash = durationOf(suspects[index].getSinceLastCrash());
        const auto crashes = suspects[index].getCrashes();
        for (unsigned crash = 0; crash < crashes.size() && crash < maxCrashes; ++crash) {
            suspect.crashes.push_back(crashes[crash]);
        }
        notice.suspects.push_back(std::move(suspect));
    }
    return notice;
}

auto readMessage(permitwire::Message::Reader in, const Address &sender, const Address &self)
    -> std::optional<PermitMessage>
{
    switch (in.which()) {
    case permitwire::Message::REQUEST:
        return readRequest(in.getRequest(), sender);
    case permitwire::Message::VERDICT:
        return readAnswer(in.getVerdict(), self);
    case permitwire::Message::REPORT:
        return readReport(in.getReport(), sender);
    case permitwire::Message::CANCEL: {
        const auto cancel = in.getCancel();
        return PermitCancel{readId(cancel.getId(), sender),
                            ServiceName{textOf(cancel.getService())}};
    }
    case permitwire::Message::ANNOUNCEMENT: {
        const auto announcement = in.getAnnouncement();
        return GrantorAnnouncement{ServiceName{textOf(announcement.getService())},
                                   announcement.getTerm(),
                                   announcement.getConfiguration(),
                                   durationOf(announcement.getConfigurationAge()),
                                   announcement.getDaemons(),
                                   readEvacuated(announcement)};
    }
    case permitwire::Message::HELLO:
        return DaemonHello{};
    case permitwire::Message::SUSPECTS:
        return readSuspects(in.getSuspects());
    }
    return std::nullopt;
}

} // namespace

auto encodePermitMessage(const PermitMessage &message) -> std::string
{
    capnp::MallocMessageBuilder builder(firstSegmentWords);
    auto root = builder.initRoot<permitwire::Message>();
    std::visit([&](const auto &alternative) { write(root, alternative); }, message);
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    const auto bytes = stream.getArray().asChars();
    return {bytes.begin(), bytes.size()};
}

auto decodePermitMessage(std::string_view bytes, const Address &sender, const Address &self)
    -> std::optional<PermitMessage>
{
    try {
        kj::ArrayInputStream stream(
            kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        capnp::ReaderOptions options;
        options.traversalLimitInWords = traversalLimitWords;
        capnp::PackedMessageReader reader(stream, options);
        return readMessage(reader.getRoot<permitwire::Message>(), sender, self);
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

} // namespace gooseberrywall
