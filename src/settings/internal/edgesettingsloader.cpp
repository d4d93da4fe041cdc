#include "settings/edgesettingsloader.h"

#include "http/endpoint.h"
#include "inidocument/checkedini.h"
#include "settings/internal/commonkeys.h"

#include <array>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr double thousandth = 0.001;
constexpr std::size_t bytesPerMegabyte = 1'000'000;
constexpr std::array<const char *, 4> addressKeys{"caller_listen", "ready_listen", "peer_listen",
                                                  "metrics_listen"};

auto daemonSection() -> SectionDescription
{
    return {"daemon",
            SectionCount::One,
            "Identity of this daemon and the addresses where it listens.",
            {{"id", ValueKind::Text, "", 1, maximumNameBytes, std::nullopt, takesEffectAtStart,
              "Unique among the daemons; a replaced VM may take the id over."},
             {"failure_domain", ValueKind::Text, "", 1, maximumNameBytes, std::nullopt,
              takesEffectAtStart, "The failure domain of this VM; upstreams in it are preferred."},
             addressKey("caller_listen", "Where callers reach this daemon."),
             addressKey("ready_listen", "Where the balancer asks whether this daemon is ready."),
             addressKey("peer_listen", "Where other daemons send their datagrams."),
             addressKey("metrics_listen", "Where metrics collectors reach this daemon."),
             {"shutdown_timeout_s", ValueKind::Seconds, "s", 1000, 600'000, "6", takesEffectAtOnce,
              "From SIGTERM to the end of the process; requests end before."},
             {"processor_share", ValueKind::Decimal, "", 1, 1'000'000, "1", takesEffectAtStart,
              "Share of each core that this VM may use. VMs with more become grantors first."},
             {"processor_cores", ValueKind::Decimal, "", 1, 1'000'000, "1", takesEffectAtStart,
              "Cores of this VM."},
             {"starts_with_system", ValueKind::Boolean, "", 0, 0, "yes", takesEffectAtStart,
              "Whether the whole system starts for the first time. If not, a store without a "
              "record of owners has lost it, and keys are granted once earlier grants have run "
              "out."},
             {"memory_mb", ValueKind::Integer, "MB", 0, 100'000'000, "0", takesEffectAtStart,
              "Memory of this VM that the daemon may use; 0: what the system reports. Requests and "
              "answers that it holds may take 65 % of it; a twentieth of that is kept free of "
              "large ones."},
             {"connection_limit", ValueKind::Integer, "", 10, 100'000, "2000", takesEffectAtOnce,
              "Maximum number of open connections from callers; further ones are closed."}}};
}

auto storeSection() -> SectionDescription
{
    return {"store",
            SectionCount::One,
            "The key-value store that keeps the configuration, upstreams and owners.",
            {addressKey("address", "Where the store listens.")}};
}

auto retriesSection() -> SectionDescription
{
    return {"retries",
            SectionCount::Optional,
            "Bounds on retries, for each service over all daemons together.",
            {{"ratio", ValueKind::Decimal, "", 0, 10'000, "0.1", takesEffectAtOnce,
              "Retries allowed per request within the window."},
             {"extra", ValueKind::Integer, "", 0, 100'000, "10", takesEffectAtOnce,
              "Retries allowed in addition within the window, whatever the number of "
              "requests."},
             {"window_s", ValueKind::Seconds, "s", 100, 600'000, "10", takesEffectAtStart,
              "Length of the window."}}};
}

auto grantsSection() -> SectionDescription
{
    return {"grants",
            SectionCount::Optional,
            "Grants of keys to upstreams.",
            {{"longest_hold_s", ValueKind::Seconds, "s", 1000, 600'000, "10", takesEffectAtStart,
              "Longest grant that upstreams accept; bridges an outage of the store."}}};
}

auto upstreamsSection() -> SectionDescription
{
    return {
        "upstreams",
        SectionCount::Optional,
        "Requests to upstreams.",
        {{"drain_time_s", ValueKind::Seconds, "s", 500, 600'000, "2", takesEffectAtStart,
          "From an upstream's first statement that it is about to stop until no request may "
          "reach it; only requests that no other can serve use this time. An upstream whose "
          "answers "
          "hint that it leaves, by closing their connections, is used for 0.4 s less than this "
          "after it was last known to stay, where the store confirms nothing else."},
         {"heartbeat_s", ValueKind::Seconds, "s", 0, 600'000, "0", takesEffectAtStart,
          "How often upstreams renew their entries in the store, which expire after three times "
          "this; 0: unknown. An entry that is missing after a shorter failure of the store is "
          "that of an upstream that has left."},
         {"load_weight", ValueKind::Decimal, "", 0, 10'000, "0.1", takesEffectAtStart,
          "Weight of an upstream's utilisation against its latency where a grantor chooses one. "
          "Low: fast upstreams are filled first; 3: the load is even."}}};
}

auto logSection() -> SectionDescription
{
    return {
        "log",
        SectionCount::Optional,
        "Log lines on standard output.",
        {{"level", ValueKind::Text, "", 1, 8, "info", takesEffectAtOnce,
          "The lowest level that is written: debug, info, warning or error."},
         {"lines_per_second", ValueKind::Integer, "lines/s", 1, 100'000, "200", takesEffectAtOnce,
          "Further lines are counted and dropped."},
         {"sample_one_in", ValueKind::Integer, "requests", 0, 1'000'000, "50", takesEffectAtOnce,
          "Every n-th request is logged in full, the same ones by all daemons; 0: "
          "none. Unusual events are logged for every request."}}};
}

} // namespace

auto edgeSettingsDescription() -> std::vector<SectionDescription>
{
    return {daemonSection(), storeSection(),     retriesSection(),
            grantsSection(), upstreamsSection(), logSection()};
}

auto EdgeSettingsLoader::load(std::string_view text, const std::string &fileName)
    -> std::optional<EdgeSettings>
{
    CheckedIni ini;
    const auto values = ini.parse(text, fileName, edgeSettingsDescription());
    if (!values) {
        this->error = ini.lastError();
        return std::nullopt;
    }
    const auto &daemon = *values->find("daemon");
    const auto &store = *values->find("store");
    const auto rejectInvalidAddress = [&](const IniSection &section, const std::string &key) {
        if (parseEndpoint(Address{section.text(key)})) {
            return false;
        }
        this->error = {IniErrorKind::BadValue,
                       fileName,
                       section.lineOf(key),
                       section.kind(),
                       key,
                       "'" + section.text(key) + "' is not an address",
                       "Write a numeric IP address and a port, such as 10.0.0.1:8080."};
        return true;
    };
    for (const auto *key : addressKeys) {
        if (rejectInvalidAddress(daemon, key)) {
            return std::nullopt;
        }
    }
    if (rejectInvalidAddress(store, "address")) {
        return std::nullopt;
    }
    const auto &retries = *values->find("retries");
    const auto &log = *values->find("log");
    if (auto levelError = logLevelError(log, fileName)) {
        this->error = std::move(*levelError);
        return std::nullopt;
    }
    EdgeSettings settings;
    settings.id = DaemonId{daemon.text("id")};
    settings.domain = FailureDomain{daemon.text("failure_domain")};
    settings.callerListen = Address{daemon.text("caller_listen")};
    settings.readyListen = Address{daemon.text("ready_listen")};
    settings.peerListen = Address{daemon.text("peer_listen")};
    settings.metricsListen = Address{daemon.text("metrics_listen")};
    settings.shutdownTimeout = daemon.duration("shutdown_timeout_s");
    settings.processorCores = static_cast<double>(daemon.integer("processor_share")) * thousandth
                              * static_cast<double>(daemon.integer("processor_cores")) * thousandth;
    settings.startsWithSystem = daemon.boolean("starts_with_system");
    settings.memoryBytes = static_cast<std::size_t>(daemon.integer("memory_mb")) * bytesPerMegabyte;
    settings.connectionLimit = static_cast<std::size_t>(daemon.integer("connection_limit"));
    settings.store = Address{store.text("address")};
    settings.retryRatio = static_cast<double>(retries.integer("ratio")) * thousandth;
    settings.retryExtra = static_cast<double>(retries.integer("extra"));
    settings.retryWindow = retries.duration("window_s");
    settings.longestHold = values->find("grants")->duration("longest_hold_s");
    const auto &upstreams = *values->find("upstreams");
    settings.drainTime = upstreams.duration("drain_time_s");
    settings.upstreamHeartbeat = upstreams.duration("heartbeat_s");
    settings.loadWeight = static_cast<double>(upstreams.integer("load_weight")) * thousandth;
    settings.logLevel = log.text("level");
    settings.logLinesPerSecond = log.integer("lines_per_second");
    settings.logSampleOneIn = static_cast<std::uint64_t>(log.integer("sample_one_in"));
    return settings;
}

} // namespace gooseberrywall
