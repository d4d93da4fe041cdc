#include "inidocument/types/inivalues.h"

#include <chrono>
#include <stdexcept>
#include <utility>

namespace gooseberrywall {

IniSection::IniSection(std::string kind, std::string name, int line, std::vector<IniEntry> entries)
    : sectionKind(std::move(kind))
    , sectionName(std::move(name))
    , headingLine(line)
    , entries(std::move(entries))
{
}

auto IniSection::heading() const -> std::string
{
    return this->sectionName.empty() ? this->sectionKind
                                     : this->sectionKind + " " + this->sectionName;
}

auto IniSection::lineOf(const std::string &key) const -> int
{
    const auto line = this->entry(key).line;
    return line == 0 ? this->headingLine : line;
}

auto IniSection::text(const std::string &key) const -> const std::string &
{
    return std::get<std::string>(this->entry(key).value);
}

auto IniSection::boolean(const std::string &key) const -> bool
{
    return std::get<bool>(this->entry(key).value);
}

auto IniSection::integer(const std::string &key) const -> std::int64_t
{
    return std::get<std::int64_t>(this->entry(key).value);
}

auto IniSection::duration(const std::string &key) const -> Duration
{
    return std::chrono::milliseconds(this->integer(key));
}

auto IniSection::list(const std::string &key) const -> const std::vector<std::string> &
{
    return std::get<std::vector<std::string>>(this->entry(key).value);
}

auto IniSection::entry(const std::string &key) const -> const IniEntry &
{
    for (const auto &candidate : this->entries) {
        if (candidate.key == key) {
            return candidate;
        }
    }
    throw std::out_of_range("section '" + this->heading() + "' has no key '" + key + "'");
}

IniValues::IniValues(std::vector<IniSection> sections)
    : allSections(std::move(sections))
{
}

auto IniValues::find(const std::string &kind, const std::string &name) const -> const IniSection *
{
    for (const auto &section : this->allSections) {
        if (section.kind() == kind && (name.empty() || section.name() == name)) {
            return &section;
        }
    }
    return nullptr;
}

} // namespace gooseberrywall
