#include "inidocument/types/inierror.h"

namespace gooseberrywall {

auto IniError::text() const -> std::string
{
    auto location = this->file;
    if (this->line > 0) {
        location += (location.empty() ? "line " : ":") + std::to_string(this->line);
    }
    if (!this->section.empty()) {
        location += (location.empty() ? "[" : " [") + this->section + "]";
    }
    if (!this->key.empty()) {
        location += (location.empty() ? "" : " ") + this->key;
    }
    const auto explanation = this->message + ". " + this->remedy;
    return location.empty() ? explanation : location + ": " + explanation;
}

auto toString(IniErrorKind kind) -> std::string
{
    switch (kind) {
    case IniErrorKind::None:
        return "none";
    case IniErrorKind::Syntax:
        return "syntax";
    case IniErrorKind::UnknownSection:
        return "unknown_section";
    case IniErrorKind::MissingSection:
        return "missing_section";
    case IniErrorKind::DuplicateSection:
        return "duplicate_section";
    case IniErrorKind::UnknownKey:
        return "unknown_key";
    case IniErrorKind::MissingKey:
        return "missing_key";
    case IniErrorKind::DuplicateKey:
        return "duplicate_key";
    case IniErrorKind::BadValue:
        return "bad_value";
    case IniErrorKind::OutOfRange:
        return "out_of_range";
    case IniErrorKind::Contradiction:
        return "contradiction";
    }
    return "none";
}

} // namespace gooseberrywall
