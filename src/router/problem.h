/// Conversion of failures to problem documents for callers.
#pragma once

#include "applehatch/core/error.h"
#include "applehatch/core/message.h"

#include <string>

namespace applehatch::router {

/// Complete HTTP answer with an `application/problem+json` body.
struct ProblemAnswer
{
    int status = 500;
    core::Headers headers;
    std::string body;
};

/// Builds the answer for a failure before any part of an answer was sent.
[[nodiscard]] auto problemAnswer(const core::Failure &failure, const core::RequestId &request)
    -> ProblemAnswer;

/// Builds an SSE event named `error` with the same document, for an answer that has begun.
[[nodiscard]] auto problemEvent(const core::Failure &failure, const core::RequestId &request)
    -> std::string;

} // namespace applehatch::router
