#include "applehatch/core/log-line.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>

namespace applehatch::core {

namespace {

constexpr unsigned char firstPrintable = 0x20;
constexpr unsigned char deleteCharacter = 0x7f;

auto isControl(unsigned char c) -> bool
{
    return c < firstPrintable || c == deleteCharacter;
}

auto needsQuotes(std::string_view value) -> bool
{
    return value.empty() || std::any_of(value.begin(), value.end(), [](char c) {
               return c == ' ' || c == '"' || c == '=' || c == '\\'
                   || isControl(static_cast<unsigned char>(c));
           });
}

auto appendEscaped(std::string &text, char c) -> void
{
    constexpr std::string_view digits = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\') {
        text += '\\';
        text += c;
    } else if (isControl(byte)) {
        text += "\\x";
        text += digits[byte >> 4U];
        text += digits[byte & 0xfU];
    } else {
        text += c;
    }
}

} // namespace

LogLine::LogLine(std::string_view event)
{
    text_ = "event=";
    text_ += event;
}

auto LogLine::add(std::string_view key, std::string_view value) -> LogLine &
{
    text_ += ' ';
    text_ += key;
    text_ += '=';
    if (!needsQuotes(value)) {
        text_ += value;
        return *this;
    }
    text_ += '"';
    for (const auto c : value)
        appendEscaped(text_, c);
    text_ += '"';
    return *this;
}

auto LogLine::add(std::string_view key, std::int64_t value) -> LogLine &
{
    return add(key, std::string_view(std::to_string(value)));
}

auto millisecondsOf(Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

auto millisecondsText(Duration duration) -> std::string
{
    return std::to_string(millisecondsOf(duration)) + " ms";
}

auto hexText(std::uint64_t value) -> std::string
{
    constexpr std::size_t digits = 16;
    std::array<char, digits + 1> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64, value);
    return text.data();
}

} // namespace applehatch::core
