#include "settings/settingswatch.h"

#include <utility>

namespace gooseberrywall {

SettingsWatch::SettingsWatch(std::string fileName,
                             std::function<std::optional<std::string>()> readFile)
    : fileName(std::move(fileName))
    , readFile(std::move(readFile))
{
}

auto SettingsWatch::check() -> SettingsCheck
{
    auto text = this->readFile();
    if (this->lastText && *this->lastText == text) {
        return {};
    }
    this->lastText = text;
    SettingsCheck result;
    if (!text) {
        result.kind = SettingsCheck::Kind::Refused;
        result.problem = this->fileName + ": can't be read; check the path and its permissions";
        return result;
    }
    result.settings = this->loader.load(*text, this->fileName);
    if (!result.settings) {
        result.kind = SettingsCheck::Kind::Refused;
        result.problem = this->loader.lastError().text();
        return result;
    }
    result.kind = SettingsCheck::Kind::Changed;
    return result;
}

} // namespace gooseberrywall
