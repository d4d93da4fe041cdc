#include "settings/internal/commonkeys.h"
#include "settings/settingsloader.h"

namespace gooseberrywall {

namespace {

constexpr std::int64_t maximumPathBytes = 1024;

auto daemonSection() -> SectionDescription
{
    return {
        "daemon",
        SectionCount::One,
        "Identity of this daemon and the addresses where it listens.",
        {{"id", ValueKind::Text, "", 1, maximumNameBytes, std::nullopt, takesEffectAtStart,
          "Unique within the cell; a replaced VM may take the id over."},
         {"failure_domain", ValueKind::Text, "", 1, maximumNameBytes, std::nullopt,
          takesEffectAtStart, "The failure domain of this VM."},
         {"cell", ValueKind::Text, "", 1, maximumNameBytes, "cell", takesEffectAtStart,
          "The cell that this daemon belongs to."},
         addressKey("caller_listen", "Where callers reach this daemon."),
         addressKey("admin_listen", "Where operators and metrics collectors reach this daemon."),
         addressKey("peer_listen", "Where the other daemons of the cell reach this daemon."),
         {"shutdown_timeout_ms", ValueKind::Milliseconds, "ms", 100, 600'000, "20000",
          takesEffectAtStart, "The longest time that a graceful shutdown may take."}}};
}

auto peersSection() -> SectionDescription
{
    return {"peers",
            SectionCount::One,
            "The other daemons of the cell.",
            {{"seeds", ValueKind::List, "id@ip:port", 0, 64, "", takesEffectAtStart,
              "Daemons to contact first. One that runs is enough; the others are "
              "discovered through it."},
             {"secret", ValueKind::Text, "", 8, 256, std::nullopt, takesEffectAtStart,
              "Shared by the daemons of the cell; never logged. A sender without it can "
              "send neither tables nor grants."}}};
}

auto platformSection() -> SectionDescription
{
    return {"platform",
            SectionCount::One,
            "The platform's key-value service.",
            {addressKey("address", "Where the key-value service listens.")}};
}

auto limitsSection() -> SectionDescription
{
    return {"limits",
            SectionCount::Optional,
            "Bounds of this daemon's memory.",
            {{"body_limit_bytes", ValueKind::Integer, "bytes", 0, 16'777'216, "65536",
              takesEffectAtStart, "Larger request bodies are refused."},
             {"connections", ValueKind::Integer, "", 1, 100'000, "8192", takesEffectAtStart,
              "Maximum number of open connections from callers; further ones are closed."},
             {"receive_timeout_ms", ValueKind::Milliseconds, "ms", 100, 600'000, "10000",
              takesEffectAtStart, "Maximum time from the first byte of a request to its last."},
             {"upstream_connections", ValueKind::Integer, "", 1, 256, "8", takesEffectAtStart,
              "Connections to each upstream that this daemon is grantor of."}}};
}

auto logSection() -> SectionDescription
{
    return {"log",
            SectionCount::Optional,
            "The log on standard error.",
            {{"level", ValueKind::Text, "", 4, 8, "info", takesEffectAtStart,
              "The lowest level that is written: debug, info, warning or error."},
             {"lines_per_second", ValueKind::Integer, "", 1, 100'000, "200", takesEffectAtStart,
              "Further lines are dropped and counted."}}};
}

auto adminSection() -> SectionDescription
{
    return {
        "admin",
        SectionCount::Optional,
        "The administration listener.",
        {{"operator_token", ValueKind::Text, "", 0, 256, "", takesEffectAtStart,
          "Operators send it to drain upstreams and lift quarantines; if it is empty, "
          "such orders are refused. Never logged."},
         {"tls_certificate_file", ValueKind::Text, "", 0, maximumPathBytes, "", takesEffectAtStart,
          "PEM file of the certificate; if it is set, the listener uses TLS."},
         {"tls_key_file", ValueKind::Text, "", 0, maximumPathBytes, "", takesEffectAtStart,
          "PEM file of the certificate's key."}}};
}

} // namespace

auto daemonSettingsDescription() -> std::vector<SectionDescription>
{
    return {daemonSection(), peersSection(), platformSection(),
            limitsSection(), logSection(),   adminSection()};
}

} // namespace gooseberrywall
