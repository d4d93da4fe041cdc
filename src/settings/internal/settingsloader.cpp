#include "settings/settingsloader.h"

#include "inidocument/checkedini.h"
#include "settings/internal/commonkeys.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace gooseberrywall {

namespace {

auto isAddress(const std::string &text) -> bool
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || colon + 1 == text.size()) {
        return false;
    }
    constexpr std::size_t maximumPortDigits = 5;
    const auto port = text.substr(colon + 1);
    const auto isNumeric = std::all_of(port.begin(), port.end(),
                                       [](char letter) { return letter >= '0' && letter <= '9'; });
    constexpr int maximumPort = 65535;
    return isNumeric && port.size() <= maximumPortDigits && std::stoi(port) <= maximumPort;
}

auto trimmed(const std::string &line) -> std::string
{
    const auto *const blanks = " \t\r";
    const auto first = line.find_first_not_of(blanks);
    if (first == std::string::npos) {
        return {};
    }
    return line.substr(first, line.find_last_not_of(blanks) - first + 1);
}

/// @returns the key of a line "key = value"; empty if the line has no '='
auto keyInLine(const std::string &line) -> std::string
{
    const auto equals = line.find('=');
    return equals == std::string::npos ? std::string{} : trimmed(line.substr(0, equals));
}

/// Replaces or adds one key of one section. Lines before it keep their numbers, so that errors
/// still refer to lines of the file.
auto replaceKey(const std::string &text, const SettingsOverride &override) -> std::string
{
    std::istringstream lines(text);
    std::string line;
    std::string result;
    const auto replacement = override.key + " = " + override.value;
    auto inSection = false;
    auto replaced = false;
    while (std::getline(lines, line)) {
        const auto content = trimmed(line);
        if (content.starts_with('[')) {
            if (inSection && !replaced) {
                result += replacement + '\n';
                replaced = true;
            }
            inSection = content.starts_with('[' + override.section + ']');
        }
        if (inSection && !replaced && keyInLine(content) == override.key) {
            line = replacement;
            replaced = true;
        }
        result += line + '\n';
    }
    if (!replaced) {
        result += (inSection ? "" : "[" + override.section + "]\n") + replacement + '\n';
    }
    return result;
}

} // namespace

auto SettingsLoader::applyOverrides(std::string_view text, const std::string &fileName,
                                    const std::vector<SettingsOverride> &overrides)
    -> std::optional<std::string>
{
    auto result = std::string(text);
    const auto descriptions = daemonSettingsDescription();
    for (const auto &override : overrides) {
        const auto section = std::find_if(descriptions.begin(), descriptions.end(),
                                          [&](const SectionDescription &description) {
                                              return description.kind == override.section;
                                          });
        if (section == descriptions.end() || section->find(override.key) == nullptr) {
            this->error = {IniErrorKind::UnknownKey,
                           fileName,
                           0,
                           override.section,
                           override.key,
                           "the command line sets an unknown key",
                           "Use --set section.key=value with a key of docs/CONFIGURATION.md."};
            return std::nullopt;
        }
        result = replaceKey(result, override);
    }
    return result;
}

auto SettingsLoader::parseSeeds(const std::vector<std::string> &texts, DaemonSettings &settings,
                                const std::string &fileName, int line) -> bool
{
    for (const auto &text : texts) {
        const auto at = text.find('@');
        if (at == std::string::npos || at == 0 || !isAddress(text.substr(at + 1))) {
            this->error = {IniErrorKind::BadValue,
                           fileName,
                           line,
                           "peers",
                           "seeds",
                           "\"" + text + "\" is not a daemon id with an address",
                           "Write each seed as id@ip:port."};
            return false;
        }
        settings.seeds.push_back({{text.substr(0, at)}, {text.substr(at + 1)}});
    }
    return true;
}

auto SettingsLoader::load(std::string_view text, const std::string &fileName,
                          const std::vector<SettingsOverride> &overrides)
    -> std::optional<DaemonSettings>
{
    const auto effectiveText = this->applyOverrides(text, fileName, overrides);
    if (!effectiveText) {
        return std::nullopt;
    }
    CheckedIni ini;
    const auto values = ini.parse(*effectiveText, fileName, daemonSettingsDescription());
    if (!values) {
        this->error = ini.lastError();
        return std::nullopt;
    }
    const auto &daemon = *values->find("daemon");
    const auto &peers = *values->find("peers");
    const auto &platform = *values->find("platform");
    const auto &limits = *values->find("limits");
    const auto &log = *values->find("log");
    const auto &admin = *values->find("admin");
    DaemonSettings settings;
    settings.id = {daemon.text("id")};
    settings.domain = {daemon.text("failure_domain")};
    settings.cell = daemon.text("cell");
    settings.callerListen = {daemon.text("caller_listen")};
    settings.adminListen = {daemon.text("admin_listen")};
    settings.peerListen = {daemon.text("peer_listen")};
    settings.shutdownTimeout = daemon.duration("shutdown_timeout_ms");
    settings.peerSecret = peers.text("secret");
    settings.platform = {platform.text("address")};
    settings.bodyLimitBytes = static_cast<std::size_t>(limits.integer("body_limit_bytes"));
    settings.connectionLimit = static_cast<int>(limits.integer("connections"));
    settings.receiveTimeout = limits.duration("receive_timeout_ms");
    settings.upstreamConnections = static_cast<int>(limits.integer("upstream_connections"));
    settings.logLevel = log.text("level");
    settings.logLinesPerSecond = log.integer("lines_per_second");
    settings.operatorToken = admin.text("operator_token");
    settings.adminCertificateFile = admin.text("tls_certificate_file");
    settings.adminKeyFile = admin.text("tls_key_file");
    for (const auto &[section, key] :
         {std::pair{&daemon, "caller_listen"}, std::pair{&daemon, "admin_listen"},
          std::pair{&daemon, "peer_listen"}, std::pair{&platform, "address"}}) {
        if (!isAddress(section->text(key))) {
            this->error = {IniErrorKind::BadValue,
                           fileName,
                           section->lineOf(key),
                           section->heading(),
                           key,
                           "\"" + section->text(key) + "\" is not an address",
                           "Write ip:port, with a numeric IP address."};
            return std::nullopt;
        }
    }
    if (auto levelError = logLevelError(log, fileName)) {
        this->error = std::move(*levelError);
        return std::nullopt;
    }
    if (settings.adminCertificateFile.empty() != settings.adminKeyFile.empty()) {
        this->error = {IniErrorKind::Contradiction,
                       fileName,
                       admin.line(),
                       "admin",
                       "tls_key_file",
                       "TLS needs both a certificate and its key",
                       "Set both tls_certificate_file and tls_key_file, or neither."};
        return std::nullopt;
    }
    if (!this->parseSeeds(peers.list("seeds"), settings, fileName, peers.lineOf("seeds"))) {
        return std::nullopt;
    }
    return settings;
}

} // namespace gooseberrywall
