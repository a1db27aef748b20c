/// Log lines of key=value pairs.
#pragma once

#include "applehatch/core/identity.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace applehatch::core {

/// Builds `event=NAME key=value ...` on one line.
///
/// A value that is empty or has a space, quote, backslash, equals sign or control character is
/// quoted and escaped. Otherwise a caller could forge a log line with a newline in a header.
class LogLine
{
public:
    explicit LogLine(std::string_view event);

    auto add(std::string_view key, std::string_view value) -> LogLine &;
    auto add(std::string_view key, std::int64_t value) -> LogLine &;

    [[nodiscard]] auto text() const -> const std::string & { return text_; }

private:
    std::string text_;
};

/// Returns whole milliseconds.
[[nodiscard]] auto millisecondsOf(Duration duration) -> std::int64_t;
/// Returns whole milliseconds with their unit, such as `120 ms`.
[[nodiscard]] auto millisecondsText(Duration duration) -> std::string;

/// Returns `value` as 16 hexadecimal digits.
[[nodiscard]] auto hexText(std::uint64_t value) -> std::string;

} // namespace applehatch::core
