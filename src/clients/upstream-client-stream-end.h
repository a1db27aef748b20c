/// Recognises the end marker of an engine's stream.
#pragma once

#include "applehatch/core/identity.h"

#include <string>
#include <string_view>

namespace applehatch::clients {

/// Watches a stream of server-sent events for its last one, `data: [DONE]`.
///
/// A connection that breaks can look like an orderly close. Without the marker a caller would get
/// the first half of an answer as if it were all of it.
class StreamEnd
{
public:
    /// A resumed stream may begin inside the marker.
    explicit StreamEnd(bool resumed);

    auto take(std::string_view data) -> void;

    /// The marker was read, at the start of a line and with its empty line.
    [[nodiscard]] auto reached() const -> bool;

    /// As `reached`, at an orderly end of the body: also true for a resumed stream of which only
    /// the last part of the marker was missing.
    [[nodiscard]] auto reachedAtClose() const -> bool;

private:
    bool resumed_;
    std::size_t total_ = 0;
    std::string tail_;
};

/// A chat's key as engines take it: 16 hexadecimal digits.
[[nodiscard]] auto chatHex(core::ChatKey chat) -> std::string;

/// The key from its digits; 0 when they are none.
[[nodiscard]] auto chatFromHex(std::string_view text) -> core::ChatKey;

} // namespace applehatch::clients
