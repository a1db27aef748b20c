/// What a status code says of an HTTP response.
#pragma once

namespace applehatch::core {

/// Whether a response with this status may have a body, unless it answers a HEAD.
[[nodiscard]] constexpr auto allowsBody(int status) -> bool
{
    constexpr int firstFinal = 200;
    constexpr int noContent = 204;
    constexpr int notModified = 304;
    return status >= firstFinal && status != noContent && status != notModified;
}

} // namespace applehatch::core
