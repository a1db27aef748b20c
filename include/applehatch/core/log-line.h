/// One event as key=value pairs.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace applehatch::core {

/// Builds `event=NAME key=value ...` on one line.
///
/// A value with a space, quote, equals sign or control character is quoted and escaped; without
/// this a caller could forge a line with a newline in a header.
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

} // namespace applehatch::core
