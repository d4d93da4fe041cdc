#include "edge/configurationtexts.h"

#include "common/hash.h"
#include "compression/textcompression.h"

#include <algorithm>
#include <utility>

namespace gooseberrywall {

namespace {

constexpr const char *acceptHeader = "Accept-Encoding";
constexpr const char *encodingHeader = "Content-Encoding";
constexpr const char *frameEncoding = "zstd";
/// Digest of the text that the receiver of a frame has.
constexpr const char *baseHeader = "X-Base-Digest";

auto hasValue(const MessageHead &head, const char *header, std::string_view value) -> bool
{
    const auto *found = head.find(header);
    return found != nullptr && *found == value;
}

} // namespace

ConfigurationTexts::ConfigurationTexts(ConfigurationTextsSettings settings)
    : settings(settings)
{
}

auto ConfigurationTexts::entryOf(const std::string &text) -> Entry
{
    return Entry{text, std::to_string(stableHash(text))};
}

auto ConfigurationTexts::set(const std::string &text) -> void
{
    if (!this->entry.text.empty()) {
        this->earlier.push_front(std::move(this->entry));
    }
    this->entry = entryOf(text);
    this->frames.clear();
    std::size_t bytes = 0;
    const auto firstBeyond =
        std::find_if(this->earlier.begin(), this->earlier.end(), [&](const Entry &each) {
            bytes += each.text.size();
            return bytes > this->settings.earlierBytes;
        });
    this->earlier.erase(firstBeyond, this->earlier.end());
    if (this->earlier.size() > this->settings.earlierTexts) {
        this->earlier.resize(this->settings.earlierTexts);
    }
}

auto ConfigurationTexts::find(const std::string &digest) const -> const std::string *
{
    if (this->entry.digest == digest) {
        return &this->entry.text;
    }
    const auto found = std::find_if(this->earlier.begin(), this->earlier.end(),
                                    [&](const Entry &each) { return each.digest == digest; });
    return found == this->earlier.end() ? nullptr : &found->text;
}

auto ConfigurationTexts::requestHeaders() const -> std::vector<HttpHeader>
{
    std::vector<HttpHeader> headers{HttpHeader{acceptHeader, frameEncoding}};
    if (!this->entry.text.empty()) {
        headers.push_back(HttpHeader{baseHeader, this->entry.digest});
    }
    return headers;
}

auto ConfigurationTexts::answer(const MessageHead &request) -> WholeMessage
{
    WholeMessage message;
    if (!hasValue(request, acceptHeader, frameEncoding)) {
        message.body = this->entry.text;
        return message;
    }
    const auto *digest = request.find(baseHeader);
    const auto *base = digest == nullptr ? nullptr : this->find(*digest);
    const auto key = base == nullptr ? std::string{} : *digest;
    auto frame = this->frames.find(key);
    if (frame == this->frames.end()) {
        const auto made = compressed(this->entry.text, base == nullptr ? "" : *base);
        if (!made) {
            message.body = this->entry.text;
            return message;
        }
        frame = this->frames.emplace(key, *made).first;
    }
    message.head.headers.push_back(HttpHeader{encodingHeader, frameEncoding});
    if (base != nullptr) {
        message.head.headers.push_back(HttpHeader{baseHeader, key});
    }
    message.body = frame->second;
    return message;
}

auto ConfigurationTexts::read(const WholeMessage &message) const -> std::optional<std::string>
{
    if (message.head.find(encodingHeader) == nullptr) {
        return message.body;
    }
    const auto *digest = message.head.find(baseHeader);
    const auto *base = digest == nullptr ? nullptr : this->find(*digest);
    const auto isReadable = hasValue(message.head, encodingHeader, frameEncoding)
                            && (digest == nullptr || base != nullptr);
    return isReadable ? decompressed(message.body, base == nullptr ? "" : *base,
                                     this->settings.textLimitBytes)
                      : std::nullopt;
}

} // namespace gooseberrywall
