#pragma once

#include "store.h"

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <set>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>

/// What the scripts of the review share: records, instances that hold keys, and the daemons as
/// processes.
namespace review {

/// Exit codes of a script.
constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

/// Writes record.txt: one line an event, with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &fileName)
        : file(fileName)
        , start(Clock::now())
    {
    }
    auto write(const std::string &line) -> void
    {
        const std::lock_guard lock(this->mutex);
        this->file << millisecondsSince(this->start) << " ms " << line << std::endl;
    }

private:
    std::mutex mutex;
    std::ofstream file;
    Instant start;
};

/// @returns whether the script plays the disruption; TROUBLE=0 leaves it out
inline auto hasTrouble() -> bool
{
    const auto *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline auto readFile(const std::string &name) -> std::string
{
    std::ifstream file(name, std::ios::binary);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

inline auto replaceAll(std::string text, const std::string &from, const std::string &to)
    -> std::string
{
    for (auto at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

/// @returns the first word of the deploy file's run command
inline auto deployedProgram() -> std::string
{
    const auto text = readFile("deploy/system.toml");
    const auto at = text.find("\nrun = \"");
    if (at == std::string::npos) {
        throw std::runtime_error("the deploy file has no run command");
    }
    const auto first = at + std::strlen("\nrun = \"");
    return text.substr(first, text.find_first_of("\" ", first) - first);
}

/// The processes that the script has started and that still run. May be used in signal handlers.
class Processes
{
public:
    static auto add(pid_t process) -> void { replace(0, process); }
    static auto remove(pid_t process) -> void { replace(process, 0); }
    static auto killAll() -> void
    {
        for (const auto &each : running) {
            if (const auto process = each.load(); process > 0) {
                ::kill(process, SIGKILL);
            }
        }
    }

private:
    static auto replace(pid_t former, pid_t process) -> void
    {
        for (auto &each : running) {
            auto expected = former;
            if (each.compare_exchange_strong(expected, process)) {
                return;
            }
        }
    }

    static inline std::array<std::atomic<pid_t>, 16> running{};
};

/// One daemon of the system, with settings from the deploy file's template.
class Daemon
{
public:
    struct Settings
    {
        std::string name;
        std::string zone = "zone-a";
        std::string folder;
        std::string store;
        int memoryMb = 182;
        int graceSeconds = 6;
    };

    explicit Daemon(Settings settings)
        : settings(std::move(settings))
        , frontPort(freePort())
        , readyPort(freePort())
        , peerPort(freePort())
        , metricsPort(freePort())
    {
    }
    ~Daemon() { this->kill(); }
    Daemon(const Daemon &) = delete;
    auto operator=(const Daemon &) -> Daemon & = delete;

    /// @param isBootstrap whether the whole system starts for the first time
    auto start(bool isBootstrap) -> void
    {
        const auto file = this->settings.folder + "/" + this->settings.name + ".ini";
        this->writeSettings(file, isBootstrap);
        const auto log = file + ".log";
        const auto program = deployedProgram();
        const auto variable = "GOOSEBERRYWALL_SETTINGS=" + file;
        const auto path = std::string("PATH=") + std::getenv("PATH");
        std::array<char *, 2> arguments{const_cast<char *>(program.c_str()), nullptr};
        std::array<char *, 3> environment{const_cast<char *>(variable.c_str()),
                                          const_cast<char *>(path.c_str()), nullptr};
        posix_spawn_file_actions_t actions{};
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        const auto error = posix_spawn(&this->process, program.c_str(), &actions, nullptr,
                                       arguments.data(), environment.data());
        posix_spawn_file_actions_destroy(&actions);
        if (error != 0) {
            this->process = 0;
            throw std::runtime_error("the daemon can't be started; run the deploy file's build");
        }
        Processes::add(this->process);
    }
    auto signal(int number) const -> void
    {
        if (this->process > 0) {
            ::kill(this->process, number);
        }
    }
    /// Ends the process and waits for its end.
    auto kill() -> void
    {
        if (this->process > 0) {
            ::kill(this->process, SIGKILL);
            waitpid(this->process, nullptr, 0);
            Processes::remove(this->process);
            this->process = 0;
        }
    }
    /// @returns how the process has ended; empty while it runs
    auto ended() -> std::optional<std::string>
    {
        auto status = 0;
        if (this->process <= 0 || waitpid(this->process, &status, WNOHANG) != this->process) {
            return std::nullopt;
        }
        Processes::remove(this->process);
        this->process = 0;
        return WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                   : "exit status " + std::to_string(WEXITSTATUS(status));
    }
    [[nodiscard]] auto isReady() const -> bool
    {
        const auto connection = Connection::open(this->readyPort);
        if (connection == nullptr
            || !connection->send("GET /readyz HTTP/1.1\r\nHost: platform\r\n\r\n")) {
            return false;
        }
        constexpr long timeoutMs = 1000;
        const auto reply = connection->read(timeoutMs);
        return reply && reply->status() == 200;
    }
    /// @returns the peak of the process's resident memory in KiB
    [[nodiscard]] auto peakMemoryKb() const -> long
    {
        std::ifstream file("/proc/" + std::to_string(this->process) + "/status");
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("VmHWM:")) {
                return std::atol(line.c_str() + std::strlen("VmHWM:"));
            }
        }
        return 0;
    }
    [[nodiscard]] auto front() const -> int { return this->frontPort; }
    [[nodiscard]] auto peerAddress() const -> std::string { return addressText(this->peerPort); }
    [[nodiscard]] auto name() const -> const std::string & { return this->settings.name; }
    [[nodiscard]] auto memoryMb() const -> int { return this->settings.memoryMb; }
    [[nodiscard]] auto isRunning() const -> bool { return this->process > 0; }
    [[nodiscard]] auto log() const -> std::string
    {
        return readFile(this->settings.folder + "/" + this->settings.name + ".ini.log");
    }

private:
    /// Fills in the template as the platform does, with bounds like those of the site.
    auto writeSettings(const std::string &file, bool isBootstrap) const -> void
    {
        auto text = readFile("deploy/edge.ini.template");
        const std::vector<std::pair<std::string, std::string>> values{
            {"{{node_name}}", this->settings.name},
            {"{{zone}}", this->settings.zone},
            {"{{listen.front}}", addressText(this->frontPort)},
            {"{{listen.ready}}", addressText(this->readyPort)},
            {"{{ip}}:{{internal_ports.0}}", addressText(this->peerPort)},
            {"{{ip}}:9464", addressText(this->metricsPort)},
            {"{{limits.cpu_share}}", "0.5"},
            {"{{limits.cpu_cores}}", "1"},
            {"{{limits.memory_mb}}", std::to_string(this->settings.memoryMb)},
            {"{{#bootstrap}}yes{{/bootstrap}}", isBootstrap ? "yes" : ""},
            {"{{^bootstrap}}no{{/bootstrap}}", isBootstrap ? "" : "no"},
            {"{{bounds.grace_s}}", std::to_string(this->settings.graceSeconds)},
            {"{{platform.address}}", this->settings.store},
            {"{{bounds.retry_budget_ratio}}", "0.2"},
            {"{{bounds.retry_budget_extra}}", "144"},
            {"{{bounds.budget_window_s}}", "10"},
            {"{{bounds.hold_max_s}}", "10"},
            {"{{bounds.drain_s}}", "2"},
        };
        for (const auto &[name, value] : values) {
            text = replaceAll(std::move(text), name, value);
        }
        if (text.find("{{") != std::string::npos) {
            throw std::runtime_error("the template has an unknown placeholder");
        }
        std::ofstream(file) << text;
    }

    Settings settings;
    int frontPort;
    int readyPort;
    int peerPort;
    int metricsPort;
    pid_t process = 0;
};

/// Waits until the condition holds.
template<typename Condition>
[[nodiscard]] auto waitFor(long limitMs, Condition condition) -> bool
{
    const auto start = Clock::now();
    while (!condition()) {
        if (millisecondsSince(start) > limitMs) {
            return false;
        }
        sleepFor(10);
    }
    return true;
}

/// A route and its service in the operators' configuration; both have the same name.
struct RouteSpec
{
    std::string name;
    std::string type;
    double timeoutSeconds = 1;
    double targetSeconds = 0.3;
    bool isSharded = false;
    int maxAttempts = 2;
};

inline auto configurationText(int version, const std::vector<RouteSpec> &specs) -> std::string
{
    auto routes = json::array();
    auto services = json::array();
    for (const auto &spec : specs) {
        routes.push_back({{"name", "r-" + spec.name},
                          {"host", "h.example"},
                          {"prefix", "/" + spec.name + "/"},
                          {"route_type", spec.type},
                          {"timeout_s", spec.timeoutSeconds},
                          {"target_latency_s", spec.targetSeconds},
                          {"priority", 1},
                          {"max_attempts", spec.maxAttempts},
                          {"service", spec.name}});
        json service{{"name", spec.name}, {"health_path", "/healthz"}, {"max_connections", 292}};
        if (spec.isSharded) {
            service["sharded"] = true;
            service["warm_s"] = 5.0;
            service["grants"] = "call";
        }
        services.push_back(std::move(service));
    }
    return json{{"version", version},
                {"routes", routes},
                {"services", services},
                {"limits",
                 {{"max_header_bytes", 16384},
                  {"max_body_bytes", 67108864},
                  {"header_timeout_s", 3},
                  {"idle_timeout_s", 15}}}}
        .dump();
}

/// @returns the Unix time in milliseconds
inline auto unixMilliseconds() -> std::int64_t
{
    return std::chrono::duration_cast<milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// What an instance writes into the store under servers/ID.
inline auto entryText(const std::string &service, const std::string &address, std::int64_t born,
                      const std::string &phase = "ready") -> std::string
{
    return json{{"service", service}, {"address", address}, {"zone", "zone-a"},
                {"version", "v1"},    {"capacity", 3},      {"phase", phase},
                {"warmup_left_s", 0}, {"sequence", 1},      {"born", born}}
        .dump();
}

/// The text of a client's request.
inline auto requestText(const std::string &method, const std::string &path, const std::string &id,
                        long deadlineMs, const std::vector<Header> &more = {},
                        const std::string &body = "") -> std::string
{
    Message request;
    request.start = method + " " + path + " HTTP/1.1";
    request.headers = {
        {"Host", "h.example"}, {"Request-Id", id}, {"Deadline-Ms", std::to_string(deadlineMs)}};
    request.headers.insert(request.headers.end(), more.begin(), more.end());
    if (method != "GET") {
        request.headers.push_back({"Content-Length", std::to_string(body.size())});
    }
    request.body = body;
    return messageText(request);
}

/// Calls the case's function with the folder for what the run needs, and maps failures to exit
/// codes. All daemons have ended when it returns.
template<typename Play>
auto runCase(int argc, char **argv, Play play) -> int
{
    std::signal(SIGPIPE, SIG_IGN);
    for (const auto number : {SIGTERM, SIGINT, SIGHUP}) {
        std::signal(number, [](int) {
            Processes::killAll();
            _exit(couldNotRun);
        });
    }
    if (argc != 3) {
        std::fputs("usage: case FOLDER RECORD\n", stderr);
        return couldNotRun;
    }
    // Threads of the stand-ins may still write when main() returns.
    auto *record = new Record(argv[2]);
    std::thread([record] {
        constexpr long longestRunMs = 115'000;
        sleepFor(longestRunMs);
        record->write("could not run: the run took too long");
        Processes::killAll();
        _exit(couldNotRun);
    }).detach();
    auto code = couldNotRun;
    try {
        code = play(std::string(argv[1]), *record);
    } catch (const std::exception &failure) {
        record->write(std::string("could not run: ") + failure.what());
    }
    record->write(code == ruleBroken ? "result: the rule was broken"
                  : code == ruleHeld ? "result: the rule held"
                                     : "result: the case could not run");
    std::fflush(nullptr);
    _exit(code);
}

} // namespace review
