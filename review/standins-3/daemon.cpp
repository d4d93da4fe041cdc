#include "daemon.h"

#include "http/clocktimer.h"

#include <arpa/inet.h>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace gooseberrywall::review {

namespace {

/// Below the ports that systems give to outgoing connections.
constexpr int firstPort = 20000;
constexpr int portCount = 12000;
/// Offset between the first ports of concurrent programs.
constexpr int portsPerProcess = 131;

auto isFree(int port, int type) -> bool
{
    const auto descriptor = socket(AF_INET, type | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    const auto isBound =
        bind(descriptor, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    close(descriptor);
    return isBound;
}

} // namespace

auto freeAddress() -> Address
{
    static auto next = (getpid() * portsPerProcess) % portCount;
    for (auto attempt = 0; attempt < portCount; ++attempt) {
        const auto port = firstPort + next;
        next = (next + 1) % portCount;
        if (isFree(port, SOCK_STREAM) && isFree(port, SOCK_DGRAM)) {
            return Address{"127.0.0.1:" + std::to_string(port)};
        }
    }
    throw std::runtime_error("no free loopback port");
}

Record::Record(const std::string &file)
    : out(file)
    , start(monotonicNow())
{
}

auto Record::seconds(Instant moment) const -> double
{
    return std::chrono::duration<double>(moment - this->start).count();
}

auto Record::write(const std::string &line) -> void
{
    char time[32];
    static_cast<void>(std::snprintf(time, sizeof time, "%8.3f ", this->seconds(monotonicNow())));
    this->out << time << line << '\n' << std::flush;
}

Daemon::Daemon(std::string name, std::string program, const std::string &folder,
               const Address &store, Record &record)
    : daemonName(std::move(name))
    , program(std::move(program))
    , settingsFile(folder + "/" + this->daemonName + ".ini")
    , store(store)
    , record(record)
{
}

Daemon::~Daemon()
{
    if (this->isRunning()) {
        kill(this->processId, SIGKILL);
        waitpid(this->processId, nullptr, 0);
    }
}

auto Daemon::writeSettings(bool isFirstStart) const -> void
{
    // deploy/edge.ini.template with the figures of the small sites.
    std::ofstream(this->settingsFile)
        << "[daemon]\nid = " << this->daemonName
        << "\nfailure_domain = north-1\ncaller_listen = " << this->callerListen.value
        << "\nready_listen = " << this->readyListen.value
        << "\npeer_listen = " << this->peerListen.value
        << "\nmetrics_listen = " << this->metricsListen.value
        << "\nprocessor_share = 0.14\nprocessor_cores = 1\nmemory_mb = 182\nstarts_with_system = "
        << (isFirstStart ? "yes" : "no")
        << "\nshutdown_timeout_s = 6\n\n[store]\naddress = " << this->store.value
        << "\n\n[retries]\nratio = 0.2\nextra = 144\nwindow_s = 10\n\n"
        << "[grants]\nlongest_hold_s = 10\n\n[upstreams]\ndrain_time_s = 2\n";
}

auto Daemon::start(bool isFirstStart) -> void
{
    this->writeSettings(isFirstStart);
    const auto log = this->settingsFile + ".log";
    this->disturbedAt = monotonicNow();
    this->processId = fork();
    if (this->processId == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const auto output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        setenv("GOOSEBERRYWALL_SETTINGS", this->settingsFile.c_str(), 1);
        execl(this->program.c_str(), this->program.c_str(), static_cast<char *>(nullptr));
        _exit(127);
    }
    this->record.write("start " + this->daemonName);
}

auto Daemon::signal(int number) -> void
{
    if (this->processId != 0) {
        this->disturbedAt = monotonicNow();
        kill(this->processId, number);
        this->record.write("signal " + std::to_string(number) + " to " + this->daemonName);
    }
}

auto Daemon::isRunning() -> bool
{
    if (this->processId != 0 && waitpid(this->processId, nullptr, WNOHANG) != 0) {
        this->record.write("end of " + this->daemonName);
        this->processId = 0;
    }
    return this->processId != 0;
}

} // namespace gooseberrywall::review
