/// HTTP statuses and their meaning for a gateway.
#pragma once

namespace applehatch::gateway {

inline constexpr int firstServerError = 500;
inline constexpr int badRequest = 400;
inline constexpr int requestTimeout = 408;
inline constexpr int bodyTooLarge = 413;
inline constexpr int misdirected = 421;
inline constexpr int tooManyRequests = 429;
inline constexpr int headerTooLarge = 431;
inline constexpr int unavailable = 503;
inline constexpr int firstSuccess = 200;
inline constexpr int firstRedirect = 300;

// Whether a status tells a caller that its request did not run and never will.
[[nodiscard]] inline auto impliesNotRun(int status) -> bool
{
    return status == requestTimeout || status == misdirected || status == tooManyRequests
        || status == unavailable;
}

[[nodiscard]] inline auto isSuccess(int status) -> bool
{
    return status >= firstSuccess && status < firstRedirect;
}

} // namespace applehatch::gateway
