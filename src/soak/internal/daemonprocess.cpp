#include "soak/daemonprocess.h"

#include <array>
#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

extern char **environ;

namespace gooseberrywall {

DaemonProcess::DaemonProcess(std::string program, std::string settingsFile)
    : program(std::move(program))
    , settingsFile(std::move(settingsFile))
{
}

DaemonProcess::~DaemonProcess()
{
    if (this->isRunning()) {
        this->signal(SIGKILL);
        waitpid(this->id, nullptr, 0);
    }
}

auto DaemonProcess::start() -> void
{
    std::string option = "--config";
    std::array<char *, 4> arguments{this->program.data(), option.data(), this->settingsFile.data(),
                                    nullptr};
    const auto logFile = this->settingsFile + ".log";
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    const auto error =
        posix_spawn(&this->id, this->program.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    this->isExitExpected = false;
    this->isDisturbed = false;
    if (error != 0) {
        this->id = 0;
        throw std::runtime_error(
            this->program + " can't be started; check --program, or build gooseberrywall-edge");
    }
}

auto DaemonProcess::signal(int number) -> void
{
    if (this->id == 0) {
        return;
    }
    this->isExitExpected = this->isExitExpected || number == SIGTERM || number == SIGKILL;
    this->isDisturbed = this->isDisturbed || number != SIGCONT;
    kill(this->id, number);
}

auto DaemonProcess::isRunning() -> bool
{
    if (this->id == 0) {
        return false;
    }
    if (waitpid(this->id, nullptr, WNOHANG) == 0) {
        return true;
    }
    this->unexpectedExitCount += this->isExitExpected ? 0 : 1;
    this->id = 0;
    return false;
}

} // namespace gooseberrywall
