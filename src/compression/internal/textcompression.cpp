#include "compression/textcompression.h"

#include <algorithm>
#include <bit>
#include <memory>
#include <zstd.h>

namespace gooseberrywall {

namespace {

constexpr int compressionLevel = 3;
/// Smallest and largest window that Zstandard's readers accept by default, as powers of two.
constexpr int smallestWindowLog = 10;
constexpr int largestWindowLog = 27;

struct ContextDeleter
{
    auto operator()(ZSTD_CCtx *context) const -> void { ZSTD_freeCCtx(context); }
    auto operator()(ZSTD_DCtx *context) const -> void { ZSTD_freeDCtx(context); }
};

/// @returns the window in which all of the base can be referred to from the end of the text
auto windowLogOf(std::string_view text, std::string_view base) -> int
{
    const auto bytes = std::max<std::size_t>(1, text.size() + base.size());
    return std::clamp(static_cast<int>(std::bit_width(bytes)), smallestWindowLog, largestWindowLog);
}

} // namespace

auto compressed(std::string_view text, std::string_view base) -> std::optional<std::string>
{
    const std::unique_ptr<ZSTD_CCtx, ContextDeleter> context(ZSTD_createCCtx());
    const auto set = [&](ZSTD_cParameter parameter, int value) {
        return ZSTD_isError(ZSTD_CCtx_setParameter(context.get(), parameter, value)) == 0;
    };
    const auto isReady =
        context && set(ZSTD_c_compressionLevel, compressionLevel) && set(ZSTD_c_checksumFlag, 1)
        && set(ZSTD_c_windowLog, windowLogOf(text, base))
        && ZSTD_isError(ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size())) == 0;
    if (!isReady) {
        return std::nullopt;
    }
    std::string frame(ZSTD_compressBound(text.size()), '\0');
    const auto length =
        ZSTD_compress2(context.get(), frame.data(), frame.size(), text.data(), text.size());
    if (ZSTD_isError(length) != 0) {
        return std::nullopt;
    }
    return frame.substr(0, length);
}

auto decompressed(std::string_view frame, std::string_view base, std::size_t sizeLimit)
    -> std::optional<std::string>
{
    const auto length = ZSTD_getFrameContentSize(frame.data(), frame.size());
    if (length == ZSTD_CONTENTSIZE_UNKNOWN || length == ZSTD_CONTENTSIZE_ERROR
        || length > sizeLimit) {
        return std::nullopt;
    }
    const std::unique_ptr<ZSTD_DCtx, ContextDeleter> context(ZSTD_createDCtx());
    const auto isReady =
        context && ZSTD_isError(ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size())) == 0;
    if (!isReady) {
        return std::nullopt;
    }
    std::string text(static_cast<std::size_t>(length), '\0');
    const auto read =
        ZSTD_decompressDCtx(context.get(), text.data(), text.size(), frame.data(), frame.size());
    return ZSTD_isError(read) == 0 && read == length ? std::optional(std::move(text))
                                                     : std::nullopt;
}

} // namespace gooseberrywall
