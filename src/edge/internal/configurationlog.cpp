#include "edge/configurationlog.h"

#include "common/durations.h"

#include <string>

namespace gooseberrywall {

namespace {

auto endName(OutboundResult::End end) -> std::string_view
{
    switch (end) {
    case OutboundResult::End::Answered:
        return "answered";
    case OutboundResult::End::NotSent:
        return "not_sent";
    case OutboundResult::End::NoAnswer:
        return "no_answer";
    case OutboundResult::End::BadAnswer:
        return "bad_answer";
    }
    return "no_answer";
}

} // namespace

auto logReceivedConfiguration(Logger &logger, StoreRevision revision, std::string_view from,
                              std::string_view by, std::size_t bytes) -> void
{
    LogLine line("configuration_received");
    line.with("revision", static_cast<std::int64_t>(revision.value))
        .with("from", std::string(from))
        .with("by", std::string(by))
        .with("bytes", static_cast<std::int64_t>(bytes));
    logger.write(LogLevel::Info, line.text());
}

auto logFetchedConfiguration(Logger &logger, const Address &from, const OutboundResult &result,
                             Duration time) -> void
{
    logger.write(LogLevel::Info, LogLine("configuration_fetched")
                                     .with("from", from.value)
                                     .with("transferred_bytes",
                                           static_cast<std::int64_t>(result.answer.body.size()))
                                     .with("time_ms", toMilliseconds(time))
                                     .text());
}

auto logFailedFetch(Logger &logger, const Address &from, const OutboundResult &result,
                    Duration time) -> void
{
    logger.write(LogLevel::Info,
                 LogLine("configuration_fetch_failed")
                     .with("from", from.value)
                     .with("end", endName(result.end))
                     .with("status", result.answer.head.status)
                     .with("partial_bytes", static_cast<std::int64_t>(result.partialBytes))
                     .with("time_ms", toMilliseconds(time))
                     .text());
}

auto logConfigurationMode(Logger &logger, bool isFollowingStore, std::string_view why,
                          StoreRevision revision,
                          const std::optional<ConfigurationConfirmation> &confirmation, Instant now)
    -> void
{
    LogLine line(isFollowingStore ? "configuration_from_store" : "configuration_from_grantors");
    line.with("why", std::string(why)).with("revision", static_cast<std::int64_t>(revision.value));
    if (confirmation) {
        line.with("confirmed_by", confirmation->by.value)
            .with("confirmed", static_cast<std::int64_t>(confirmation->revision.value))
            .with("confirmed_ms", toMilliseconds(now - confirmation->at));
    }
    logger.write(LogLevel::Info, line.text());
}

auto logAdoptedConfiguration(Logger &logger, const RouteConfiguration &configuration,
                             StoreRevision revision) -> void
{
    LogLine line("configuration_adopted");
    line.with("version", static_cast<std::int64_t>(configuration.version))
        .with("routes", static_cast<std::int64_t>(configuration.routes.size()))
        .with("malformed", static_cast<std::int64_t>(configuration.malformedRoutes))
        .with("revision", static_cast<std::int64_t>(revision.value));
    logger.write(LogLevel::Info, line.text());
    for (const auto &field : configuration.malformedServiceFields) {
        logger.write(LogLevel::Warning,
                     LogLine("configuration_field_ignored").with("field", field).text());
    }
}

auto logConfigurationTime(Logger &logger, StoreRevision revision, Duration time) -> void
{
    logger.write(LogLevel::Info, LogLine("configuration_handled")
                                     .with("revision", static_cast<std::int64_t>(revision.value))
                                     .with("time_ms", toMilliseconds(time))
                                     .text());
}

auto logIgnoredConfiguration(Logger &logger, bool isReadable, std::uint64_t knownVersion) -> void
{
    LogLine line("configuration_ignored");
    line.with("reason", isReadable ? "version not newer" : "unreadable")
        .with("known", static_cast<std::int64_t>(knownVersion));
    logger.write(LogLevel::Warning, line.text());
}

} // namespace gooseberrywall
