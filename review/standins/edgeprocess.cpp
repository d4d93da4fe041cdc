#include "edgeprocess.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace gooseberrywall::review {

namespace {

/// @returns the template with its sections `{{#a}}..{{/a}}` and `{{^a}}..{{/a}}` kept or dropped
auto withSections(std::string text, const std::map<std::string, std::string> &fields) -> std::string
{
    for (const auto *const mark : {"{{#", "{{^"}) {
        const auto isPositive = std::string(mark) == "{{#";
        for (auto at = text.find(mark); at != std::string::npos; at = text.find(mark)) {
            const auto nameEnd = text.find("}}", at);
            const auto name = text.substr(at + 3, nameEnd - at - 3);
            const auto closing = "{{/" + name + "}}";
            const auto end = text.find(closing, nameEnd);
            const auto found = fields.find(name);
            const auto isSet =
                found != fields.end() && !found->second.empty() && found->second != "false";
            const auto inner = text.substr(nameEnd + 2, end - nameEnd - 2);
            text.replace(at, end + closing.size() - at, isSet == isPositive ? inner : "");
        }
    }
    return text;
}

} // namespace

EdgeProcess::EdgeProcess(std::string program, std::string settingsFile)
    : program(std::move(program))
    , settingsFile(std::move(settingsFile))
{
}

EdgeProcess::~EdgeProcess()
{
    if (this->isRunning()) {
        this->signal(SIGCONT);
        this->signal(SIGKILL);
        waitpid(this->id, nullptr, 0);
    }
}

auto EdgeProcess::writeSettings(const std::string &templateText,
                                const std::map<std::string, std::string> &fields) const -> void
{
    auto text = withSections(templateText, fields);
    for (auto at = text.find("{{"); at != std::string::npos; at = text.find("{{")) {
        const auto end = text.find("}}", at);
        const auto found = fields.find(text.substr(at + 2, end - at - 2));
        text.replace(at, end + 2 - at, found == fields.end() ? "" : found->second);
    }
    std::ofstream(this->settingsFile) << text;
}

auto EdgeProcess::start() -> void
{
    std::array<char *, 2> arguments{this->program.data(), nullptr};
    std::vector<std::string> variables{"GOOSEBERRYWALL_SETTINGS=" + this->settingsFile};
    for (const auto *const name : {"PATH", "HOME", "LANG"}) {
        if (const auto *const value = std::getenv(name)) {
            variables.push_back(std::string(name) + "=" + value);
        }
    }
    std::vector<char *> environment;
    for (auto &variable : variables) {
        environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    const auto logFile = this->settingsFile + ".log";
    posix_spawn_file_actions_t actions{};
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    const auto error = posix_spawn(&this->id, this->program.c_str(), &actions, nullptr,
                                   arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        this->id = 0;
        throw std::runtime_error(this->program
                                 + " can't be started; run the build of deploy/system.toml");
    }
}

auto EdgeProcess::signal(int number) -> void
{
    if (this->id != 0) {
        kill(this->id, number);
    }
}

auto EdgeProcess::isRunning() -> bool
{
    int status = 0;
    if (this->id == 0) {
        return false;
    }
    if (waitpid(this->id, &status, WNOHANG) == 0) {
        return true;
    }
    this->lastEndSignal = WIFSIGNALED(status) ? WTERMSIG(status) : 0;
    this->id = 0;
    return false;
}

} // namespace gooseberrywall::review
