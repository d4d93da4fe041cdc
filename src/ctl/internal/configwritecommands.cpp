#include "ctl/internal/configwritecommands.h"

#include "ctl/internal/configcalls.h"
#include "ctl/sectionfile.h"

#include "common/textfile.h"
#include "configuration/teamtoken.h"
#include "http/percentcoding.h"

#include <array>
#include <iostream>
#include <openssl/rand.h>
#include <sstream>

namespace gooseberrywall {

namespace {

constexpr std::size_t tokenBytes = 24;
constexpr std::size_t saltBytes = 8;

auto readFile(const std::string &name) -> std::optional<std::string>
{
    if (name != "-") {
        return readTextFile(name);
    }
    auto text = std::ostringstream();
    text << std::cin.rdbuf();
    return text.str();
}

auto targetOf(const FileSection &section, bool onlyCheck) -> std::string
{
    return "/v1/config/sections/" + percentEncode(section.section.value)
           + (onlyCheck ? "/check" : "") + "?expected=" + std::to_string(section.version);
}

auto randomHex(std::size_t bytes) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    auto random = std::vector<unsigned char>(bytes);
    if (RAND_bytes(random.data(), static_cast<int>(bytes)) != 1) {
        return {};
    }
    auto hex = std::string{};
    for (const auto byte : random) {
        hex += digits[byte >> 4U];
        hex += digits[byte & 0x0fU];
    }
    return hex;
}

/// @returns key and value of an argument "key=value"; std::nullopt if it has another form
auto splitKeyValue(const std::string &argument)
    -> std::optional<std::pair<std::string, std::string>>
{
    const auto equals = argument.find('=');
    if (equals == std::string::npos || equals == 0) {
        return std::nullopt;
    }
    return std::pair(argument.substr(0, equals), argument.substr(equals + 1));
}

} // namespace

ConfigSetCommand::ConfigSetCommand(bool onlyCheck)
    : onlyCheck(onlyCheck)
{
}

auto ConfigSetCommand::name() const -> std::string
{
    return this->onlyCheck ? "check" : "set";
}

auto ConfigSetCommand::help() const -> std::string
{
    return this->onlyCheck
               ? "config check FILE         what the sections of a file would change ('-': "
                 "standard "
                 "input)"
               : "config set FILE           sends the sections of a file, one after another; each "
                 "below the\n"
                 "                          line '# version N' that 'config get' printed, new ones "
                 "without";
}

auto ConfigSetCommand::run(const CommandContext &context) const -> ExitCode
{
    if (context.arguments.size() != 1) {
        return printUsage(*this);
    }
    const auto text = readFile(context.arguments[0]);
    const auto sections = text ? readSectionFile(*text) : std::nullopt;
    if (!sections || sections->empty()) {
        std::cerr << "the file can't be read or has no sections; start each one with its heading, "
                     "such as [service fitment]\n";
        return ExitCode::Usage;
    }
    for (const auto &section : *sections) {
        const auto answer =
            callConfig(context, HttpMethod::Post, targetOf(section, this->onlyCheck), section.text);
        if (answer.code != ExitCode::Ok) {
            std::cerr << "[" << section.section.value << "] and what follows it in the file was "
                      << (this->onlyCheck ? "not checked\n" : "not accepted\n");
            return answer.code;
        }
        if (!this->onlyCheck) {
            printAccepted(context, answer.body);
        } else if (!context.json) {
            std::cout << answer.body.value("diff", "") << "[" << section.section.value << "] "
                      << answer.body.value("message", "") << '\n';
        }
    }
    return ExitCode::Ok;
}

auto ConfigEditCommand::help() const -> std::string
{
    return "config edit KIND NAME KEY=VALUE...\n"
           "                          changes keys of a section; 'KEY=' goes back to the default";
}

auto ConfigEditCommand::run(const CommandContext &context) const -> ExitCode
{
    const auto &words = context.arguments;
    if (words.size() < 3) {
        return printUsage(*this);
    }
    auto contextWithoutJson = context;
    contextWithoutJson.json = false;
    const auto read = callConfig(contextWithoutJson, HttpMethod::Get, sectionPath(context));
    if (read.code != ExitCode::Ok) {
        return read.code;
    }
    auto section =
        FileSection{SectionName{words[0] + " " + words[1]},
                    read.body.value("version", std::uint64_t{0}), read.body.value("text", "")};
    for (std::size_t index = 2; index < words.size(); ++index) {
        const auto pair = splitKeyValue(words[index]);
        if (!pair) {
            return printUsage(*this);
        }
        section.text = withKey(section.text, pair->first, pair->second);
    }
    const auto answer =
        callConfig(context, HttpMethod::Post, targetOf(section, false), section.text);
    if (answer.code == ExitCode::Ok) {
        printAccepted(context, answer.body);
    }
    return answer.code;
}

auto ConfigRollbackCommand::help() const -> std::string
{
    return "config rollback KIND NAME VERSION\n"
           "                          makes a new version with the text of an earlier one";
}

auto ConfigRollbackCommand::run(const CommandContext &context) const -> ExitCode
{
    if (context.arguments.size() != 3 || !toNumber(context.arguments[2])) {
        return printUsage(*this);
    }
    const auto answer = callConfig(context, HttpMethod::Post,
                                   sectionPath(context) + "/rollback?to=" + context.arguments[2]);
    if (answer.code == ExitCode::Ok) {
        printAccepted(context, answer.body);
    }
    return answer.code;
}

auto ConfigRemoveCommand::help() const -> std::string
{
    return "config remove KIND NAME VERSION\n"
           "                          removes a section; VERSION is the present one";
}

auto ConfigRemoveCommand::run(const CommandContext &context) const -> ExitCode
{
    if (context.arguments.size() != 3 || !toNumber(context.arguments[2])) {
        return printUsage(*this);
    }
    const auto answer =
        callConfig(context, HttpMethod::Post,
                   sectionPath(context) + "/remove?expected=" + context.arguments[2]);
    if (answer.code == ExitCode::Ok) {
        printAccepted(context, answer.body);
    }
    return answer.code;
}

ConfigTokenCommand::ConfigTokenCommand(bool generate)
    : generate(generate)
{
}

auto ConfigTokenCommand::name() const -> std::string
{
    return this->generate ? "new-token" : "hash-token";
}

auto ConfigTokenCommand::help() const -> std::string
{
    return this->generate
               ? "config new-token          prints a random token and its hash"
               : "config hash-token         reads a token from standard input and prints "
                 "its hash";
}

auto ConfigTokenCommand::run(const CommandContext &context) const -> ExitCode
{
    if (!context.arguments.empty()) {
        return printUsage(*this);
    }
    auto token = std::string{};
    if (this->generate) {
        token = randomHex(tokenBytes);
    } else {
        std::getline(std::cin, token);
    }
    const auto salt = randomHex(saltBytes);
    if (token.empty() || salt.empty()) {
        std::cerr << "no token was sent to standard input, or the system has no random bytes\n";
        return ExitCode::Usage;
    }
    if (this->generate) {
        std::cout << "token: " << token << "\nhash: ";
    }
    std::cout << hashToken(token, salt) << '\n';
    return ExitCode::Ok;
}

} // namespace gooseberrywall
