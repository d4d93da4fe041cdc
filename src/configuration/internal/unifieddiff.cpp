#include "configuration/unifieddiff.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace gooseberrywall {

namespace {

constexpr std::size_t contextLines = 3;
/// Limits the memory of a comparison. Larger pairs of texts are shown as replaced entirely.
constexpr std::size_t maximumTableCells = 1'000'000;

struct DiffLine
{
    char mark = ' ';
    std::string_view text;
};

auto splitLines(std::string_view text) -> std::vector<std::string_view>
{
    auto lines = std::vector<std::string_view>{};
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

using Lines = std::vector<std::string_view>;

/// For each pair of line numbers, the length of the longest common subsequence of the lines from
/// there to the end of both texts.
class CommonSubsequenceLengths
{
public:
    CommonSubsequenceLengths(const Lines &before, const Lines &after)
        : width(after.size() + 1)
        , lengths((before.size() + 1) * width)
    {
        for (auto row = before.size(); row-- > 0;) {
            for (auto column = after.size(); column-- > 0;) {
                this->at(row, column) =
                    before[row] == after[column]
                        ? this->at(row + 1, column + 1) + 1
                        : std::max(this->at(row + 1, column), this->at(row, column + 1));
            }
        }
    }

    auto at(std::size_t row, std::size_t column) -> std::uint32_t &
    {
        return this->lengths[row * this->width + column];
    }

private:
    std::size_t width;
    std::vector<std::uint32_t> lengths;
};

auto replaceWhole(const Lines &before, const Lines &after) -> std::vector<DiffLine>
{
    auto lines = std::vector<DiffLine>{};
    for (const auto line : before) {
        lines.push_back({'-', line});
    }
    for (const auto line : after) {
        lines.push_back({'+', line});
    }
    return lines;
}

auto compare(const Lines &before, const Lines &after) -> std::vector<DiffLine>
{
    if (before == after) {
        return {};
    }
    if ((before.size() + 1) * (after.size() + 1) > maximumTableCells) {
        return replaceWhole(before, after);
    }
    auto lengths = CommonSubsequenceLengths(before, after);
    auto lines = std::vector<DiffLine>{};
    std::size_t row = 0;
    std::size_t column = 0;
    while (row < before.size() || column < after.size()) {
        const auto rowLeft = row < before.size();
        const auto columnLeft = column < after.size();
        if (rowLeft && columnLeft && before[row] == after[column]) {
            lines.push_back({' ', before[row]});
            ++row;
            ++column;
        } else if (rowLeft
                   && (!columnLeft || lengths.at(row + 1, column) >= lengths.at(row, column + 1))) {
            lines.push_back({'-', before[row++]});
        } else {
            lines.push_back({'+', after[column++]});
        }
    }
    return lines;
}

/// The lines [from, to) that are printed under one heading.
struct Hunk
{
    std::size_t from = 0;
    std::size_t to = 0;
};

auto findHunks(const std::vector<DiffLine> &lines) -> std::vector<Hunk>
{
    auto hunks = std::vector<Hunk>{};
    for (std::size_t index = 0; index < lines.size(); ++index) {
        if (lines[index].mark == ' ') {
            continue;
        }
        const auto from = index - std::min(index, contextLines);
        const auto to = std::min(index + 1 + contextLines, lines.size());
        if (!hunks.empty() && from <= hunks.back().to) {
            hunks.back().to = to;
        } else {
            hunks.push_back({from, to});
        }
    }
    return hunks;
}

auto countLines(const std::vector<DiffLine> &lines, Hunk range, char excludedMark) -> std::size_t
{
    const auto first = lines.begin() + static_cast<std::ptrdiff_t>(range.from);
    const auto last = lines.begin() + static_cast<std::ptrdiff_t>(range.to);
    return static_cast<std::size_t>(std::count_if(
        first, last, [excludedMark](const DiffLine &line) { return line.mark != excludedMark; }));
}

auto hunkRange(const std::vector<DiffLine> &lines, Hunk hunk, char excludedMark) -> std::string
{
    const auto count = countLines(lines, hunk, excludedMark);
    const auto before = countLines(lines, {0, hunk.from}, excludedMark);
    return std::to_string(count == 0 ? before : before + 1) + "," + std::to_string(count);
}

} // namespace

auto unifiedDiff(std::string_view before, std::string_view after, const std::string &beforeName,
                 const std::string &afterName) -> std::string
{
    const auto lines = compare(splitLines(before), splitLines(after));
    const auto hunks = findHunks(lines);
    if (hunks.empty()) {
        return {};
    }
    auto text = "--- " + beforeName + "\n+++ " + afterName + "\n";
    for (const auto &hunk : hunks) {
        text += "@@ -" + hunkRange(lines, hunk, '+') + " +" + hunkRange(lines, hunk, '-') + " @@\n";
        for (auto index = hunk.from; index < hunk.to; ++index) {
            text += lines[index].mark;
            text += lines[index].text;
            text += '\n';
        }
    }
    return text;
}

} // namespace gooseberrywall
