/// Failures as callers are told them.
#pragma once

#include "applehatch/core/error.h"
#include "applehatch/core/message.h"

#include <string>

namespace applehatch::router {

/// A whole answer: status, headers and `application/problem+json` body.
struct ProblemAnswer
{
    int status = 500;
    core::Headers headers;
    std::string body;
};

[[nodiscard]] auto problemAnswer(const core::Failure &failure, const core::RequestId &request)
    -> ProblemAnswer;

/// The same document as an SSE event named `error`, for an answer that has begun.
[[nodiscard]] auto problemEvent(const core::Failure &failure, const core::RequestId &request)
    -> std::string;

} // namespace applehatch::router
