#include "settings/settingswatch.h"

#include <utility>

namespace gooseberrywall {

SettingsWatch::SettingsWatch(std::string fileName, std::function<std::optional<std::string>()> read)
    : fileName(std::move(fileName))
    , read(std::move(read))
{
}

auto SettingsWatch::check() -> SettingsCheck
{
    auto text = this->read();
    if (this->seen && *this->seen == text) {
        return {};
    }
    this->seen = text;
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
