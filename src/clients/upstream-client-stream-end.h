/// Recognises the end marker of an engine's stream.
#pragma once

#include "applehatch/core/identity.h"

#include <string>
#include <string_view>

namespace applehatch::clients {

/// Detects the last event, `data: [DONE]`, in a stream of server-sent events.
///
/// A broken connection can look like an orderly close. Without the marker, a caller would receive
/// the first half of an answer as if it were complete.
class StreamEnd
{
public:
    /// A resumed stream may begin inside the marker.
    explicit StreamEnd(bool resumed);

    auto take(std::string_view data) -> void;

    /// True once the marker was read, at the start of a line and followed by an empty line.
    [[nodiscard]] auto reached() const -> bool;

    /// Like `reached`, for an orderly end of the body: also true for a resumed stream that
    /// consisted only of the last part of the marker.
    [[nodiscard]] auto reachedAtClose() const -> bool;

private:
    bool resumed_;
    std::size_t total_ = 0;
    std::string tail_;
};

/// Formats a chat's key as engines expect it: 16 hexadecimal digits.
[[nodiscard]] auto chatHex(core::ChatKey chat) -> std::string;

/// Parses a chat's key from its hexadecimal digits; 0 when the text is not a key.
[[nodiscard]] auto chatFromHex(std::string_view text) -> core::ChatKey;

} // namespace applehatch::clients
