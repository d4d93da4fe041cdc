#include "edge/knowndaemons.h"

#include "http/endpoint.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

/// First line of the text; other texts aren't read.
constexpr std::string_view header = "daemons 1\n";

} // namespace

KnownDaemons::KnownDaemons(KnownDaemonsSettings settings)
    : settings(settings)
{
}

auto KnownDaemons::onHeard(const Address &daemon, Instant now) -> bool
{
    const auto isNew = this->heardAt.insert_or_assign(daemon, now).second;
    if (isNew && !this->storeDue) {
        this->storeDue = now + this->settings.storePause;
    }
    return isNew;
}

auto KnownDaemons::adopt(std::string_view text, Instant now) -> void
{
    if (!text.starts_with(header)) {
        return;
    }
    text.remove_prefix(header.size());
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        Address address{std::string(text.substr(0, end))};
        if (parseEndpoint(address)) {
            this->heardAt.try_emplace(std::move(address), now);
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

auto KnownDaemons::advance(Instant now) -> void
{
    std::erase_if(this->heardAt,
                  [&](const auto &row) { return now - row.second > this->settings.retention; });
}

auto KnownDaemons::emptyText() -> std::string
{
    return std::string(header);
}

auto KnownDaemons::takeText(Instant now) -> std::optional<std::string>
{
    if (!this->storeDue || now < *this->storeDue) {
        return std::nullopt;
    }
    this->storeDue.reset();
    auto text = emptyText();
    for (const auto &[address, moment] : this->heardAt) {
        text += address.value + "\n";
    }
    return text;
}

auto KnownDaemons::retryText(Instant now) -> void
{
    this->storeDue = now + this->settings.storePause;
}

auto KnownDaemons::addresses() const -> std::vector<Address>
{
    std::vector<Address> result;
    result.reserve(this->heardAt.size());
    for (const auto &[address, moment] : this->heardAt) {
        result.push_back(address);
    }
    return result;
}

} // namespace gooseberrywall
