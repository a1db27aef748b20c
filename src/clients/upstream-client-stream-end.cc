#include "upstream-client-stream-end.h"

#include <array>
#include <charconv>

namespace applehatch::clients {

namespace {

/// The end marker with either line ending that the event-stream format allows.
constexpr std::array<std::string_view, 2> markers = {"data: [DONE]\n\n", "data: [DONE]\r\n\r\n"};
constexpr std::size_t tailBytes = 64;
constexpr auto hexBase = 16;
constexpr std::size_t hexDigits = 16;

} // namespace

StreamEnd::StreamEnd(bool resumed)
    : resumed_(resumed)
{ }

auto StreamEnd::take(std::string_view data) -> void
{
    total_ += data.size();
    tail_.append(data);
    if (tail_.size() > tailBytes) {
        tail_.erase(0, tail_.size() - tailBytes);
    }
}

auto StreamEnd::reached() const -> bool
{
    for (const auto marker : markers) {
        if (!tail_.ends_with(marker)) {
            continue;
        }
        const auto before = tail_.size() - marker.size();
        if (before == 0 || tail_[before - 1] == '\n') {
            return true;
        }
    }
    return false;
}

auto StreamEnd::reachedAtClose() const -> bool
{
    if (reached()) {
        return true;
    }
    for (const auto marker : markers) {
        if (resumed_ && total_ < marker.size() && marker.ends_with(tail_)) {
            return true;
        }
    }
    return false;
}

auto chatHex(core::ChatKey chat) -> std::string
{
    std::array<char, hexDigits> digits{};
    const auto written = std::to_chars(digits.begin(), digits.end(), chat, hexBase);
    const std::string text(digits.begin(), written.ptr);
    return std::string(hexDigits - text.size(), '0') + text;
}

auto chatFromHex(std::string_view text) -> core::ChatKey
{
    core::ChatKey chat = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), chat, hexBase);
    return read.ec == std::errc{} && read.ptr == text.data() + text.size() ? chat : 0;
}

} // namespace applehatch::clients
