#include "edge/configurationlog.h"

namespace gooseberrywall {

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

auto logIgnoredConfiguration(Logger &logger, bool isReadable, std::uint64_t knownVersion) -> void
{
    LogLine line("configuration_ignored");
    line.with("reason", isReadable ? "version not newer" : "unreadable")
        .with("known", static_cast<std::int64_t>(knownVersion));
    logger.write(LogLevel::Warning, line.text());
}

} // namespace gooseberrywall
