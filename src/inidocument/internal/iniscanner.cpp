#include "inidocument/internal/iniscanner.h"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <ini.h>

namespace gooseberrywall {

namespace {

/// libinih silently truncates longer lines, so they are rejected first.
constexpr std::size_t maximumLineBytes = 190;
constexpr std::size_t maximumNameBytes = 48;

auto isBlank(char character) -> bool
{
    return character == ' ' || character == '\t' || character == '\r';
}

auto isControlCharacter(char character) -> bool
{
    const auto byte = static_cast<unsigned char>(character);
    return (byte < 0x20 && !isBlank(character)) || byte == 0x7f;
}

auto isNameCharacter(char character) -> bool
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-'
           || character == '_' || character == '.';
}

auto isName(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= maximumNameBytes
           && std::all_of(text.begin(), text.end(), isNameCharacter);
}

auto trimmed(std::string_view text) -> std::string_view
{
    while (!text.empty() && isBlank(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isBlank(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

} // namespace

auto IniScanner::scan(std::string_view text) -> std::optional<std::vector<RawSection>>
{
    this->remainingText = text;
    this->lineNumber = 0;
    this->sections.clear();
    this->error = {};
    const auto failedLine =
        ini_parse_stream(&IniScanner::readLine, this, &IniScanner::handleEntry, this);
    if (failedLine != 0 && this->error.kind == IniErrorKind::None) {
        this->lineNumber = failedLine;
        this->fail(IniErrorKind::Syntax, "the line is neither a heading nor 'key = value'",
                   "Write 'key = value', or start the line with '#' to make it a comment.");
    }
    if (this->error.kind != IniErrorKind::None) {
        return std::nullopt;
    }
    return std::move(this->sections);
}

auto IniScanner::readLine(char *buffer, int size, void *scanner) -> char *
{
    auto *self = static_cast<IniScanner *>(scanner);
    if (self->remainingText.empty() || self->error.kind != IniErrorKind::None) {
        return nullptr;
    }
    const auto line = self->nextLine();
    if (line.size() > std::min(maximumLineBytes, static_cast<std::size_t>(size) - 2)) {
        self->fail(IniErrorKind::Syntax, "the line is too long",
                   "Write at most 190 bytes a line; lists may continue in indented lines below.");
        return nullptr;
    }
    if (std::any_of(line.begin(), line.end(), isControlCharacter)) {
        self->fail(IniErrorKind::Syntax, "the line contains a control character", "Remove it.");
        return nullptr;
    }
    self->readHeading();
    std::memcpy(buffer, line.data(), line.size());
    buffer[line.size()] = '\n';
    buffer[line.size() + 1] = '\0';
    return buffer;
}

auto IniScanner::nextLine() -> std::string_view
{
    const auto end = this->remainingText.find('\n');
    this->currentLine = this->remainingText.substr(0, end);
    this->remainingText =
        end == std::string_view::npos ? std::string_view{} : this->remainingText.substr(end + 1);
    ++this->lineNumber;
    return this->currentLine;
}

auto IniScanner::readHeading() -> void
{
    const auto line = trimmed(this->currentLine);
    if (line.empty() || line.front() != '[') {
        return;
    }
    const auto closingBracket = line.find(']');
    const auto heading = trimmed(line.substr(
        1, closingBracket == std::string_view::npos ? closingBracket : closingBracket - 1));
    const auto kindEnd = std::min(heading.find_first_of(" \t"), heading.size());
    const auto kind = heading.substr(0, kindEnd);
    const auto name = trimmed(heading.substr(kindEnd));
    const auto tail =
        closingBracket == std::string_view::npos ? "" : trimmed(line.substr(closingBracket + 1));
    const auto isTailValid = tail.empty() || tail.front() == ';' || tail.front() == '#';
    if (this->currentLine.front() != '[' || closingBracket == std::string_view::npos || !isTailValid
        || !isName(kind) || (!name.empty() && !isName(name))) {
        this->fail(IniErrorKind::Syntax, "the heading is malformed",
                   "Write '[kind]' or '[kind name]' at the start of the line; a name has at most "
                   "48 letters, digits, '-', '_' or '.'.");
        return;
    }
    this->sections.push_back({std::string(kind), std::string(name), this->lineNumber, {}});
}

auto IniScanner::handleEntry(void *scanner, const char *, const char *name, const char *value)
    -> int
{
    auto *self = static_cast<IniScanner *>(scanner);
    if (self->error.kind == IniErrorKind::None) {
        self->addEntry(name, value);
    }
    return 1;
}

auto IniScanner::addEntry(const std::string &name, const std::string &value) -> void
{
    if (this->sections.empty()) {
        this->fail(IniErrorKind::Syntax, "the key '" + name + "' precedes the first heading",
                   "Put it below the heading of its section.");
        return;
    }
    auto &entries = this->sections.back().entries;
    const auto indented = !this->currentLine.empty() && isBlank(this->currentLine.front());
    if (indented && !entries.empty() && entries.back().key == name) {
        entries.back().value += "," + value;
        entries.back().continued = true;
        return;
    }
    entries.push_back({name, value, this->lineNumber, false});
}

auto IniScanner::fail(IniErrorKind kind, std::string message, std::string remedy) -> void
{
    if (this->error.kind != IniErrorKind::None) {
        return;
    }
    this->error.kind = kind;
    this->error.line = this->lineNumber;
    this->error.message = std::move(message);
    this->error.remedy = std::move(remedy);
}

} // namespace gooseberrywall
