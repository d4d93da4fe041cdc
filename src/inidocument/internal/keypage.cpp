#include "inidocument/keypage.h"

namespace gooseberrywall {

namespace {

auto decimalText(std::int64_t thousandths) -> std::string
{
    auto text = std::to_string(thousandths / 1000);
    if (thousandths % 1000 != 0) {
        text += "." + std::to_string(1000 + thousandths % 1000).substr(1);
    }
    return text;
}

auto kindText(const KeyDescription &key) -> std::string
{
    const auto range = std::to_string(key.minimum) + " to " + std::to_string(key.maximum);
    const auto unit = key.unit.empty() ? "" : " " + key.unit;
    switch (key.kind) {
    case ValueKind::Text:
        return "text, " + range + " bytes";
    case ValueKind::Boolean:
        return "yes or no";
    case ValueKind::Integer:
    case ValueKind::Milliseconds:
        return range + unit;
    case ValueKind::Seconds:
    case ValueKind::Decimal:
        return decimalText(key.minimum) + " to " + decimalText(key.maximum) + unit;
    case ValueKind::List:
        return "list, " + range + unit;
    }
    return {};
}

auto defaultText(const KeyDescription &key) -> std::string
{
    if (!key.defaultValue) {
        return "required";
    }
    return key.defaultValue->empty() ? "none" : "`" + *key.defaultValue + "`";
}

auto headingOf(const SectionDescription &section) -> std::string
{
    return section.count == SectionCount::Named ? "[" + section.kind + " NAME]"
                                                : "[" + section.kind + "]";
}

} // namespace

auto describeSections(const std::vector<SectionDescription> &sections) -> std::string
{
    auto markdown = std::string{};
    for (const auto &section : sections) {
        markdown += "\n### " + headingOf(section) + "\n\n" + section.text + "\n\n";
        markdown += "| Key | Value | Default | Takes effect | Meaning |\n|---|---|---|---|---|\n";
        for (const auto &key : section.keys) {
            markdown += "| `" + key.name + "` | " + kindText(key) + " | " + defaultText(key) + " | "
                        + key.takesEffect + " | " + key.text + " |\n";
        }
    }
    return markdown;
}

} // namespace gooseberrywall
