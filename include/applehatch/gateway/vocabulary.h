/// The names that a deployment's callers and upstreams use in their headers.
#pragma once

#include "applehatch/direct/prompt.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace applehatch::gateway {

/// What an upstream says of its load.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
};

/// Header names, and readers of those values that have a format of their own.
struct Vocabulary
{
    std::string requestId;      ///< Names one request of a caller; echoed by upstreams.
    std::string deadline;       ///< Milliseconds that the caller, or the upstream, has left.
    std::string proof;          ///< Set by upstreams on what they ran.
    std::string notRun;         ///< Set by upstreams on what they did not run.
    std::string expectInstance; ///< The upstream refuses what names another instance.
    std::string customer;       ///< Tells the upstream whose request it is.
    std::string priority;       ///< 0 is the most urgent.
    std::string loadReport;
    std::string prompt;      ///< The parts of a prompt, in order.
    std::string tokens;      ///< Tokens of the prompt and, at most, of the answer.
    std::string fetchFrom;   ///< Names an engine to fetch the prompt's context from.
    std::string lastEventId; ///< Where a resumed stream goes on.
    std::string keyScheme;   ///< Before the key in `Authorization`.
    /// Only routers may set these; dropped when a caller sends them.
    std::vector<std::string> routerOnly;
    /// Decide how a request runs; never dropped, whatever `Connection` names.
    std::vector<std::string> kept;

    std::function<direct::Prompt(std::string_view)> readPrompt;
    std::function<std::optional<LoadReport>(std::string_view)> readLoad;
    /// The most tokens that an answer has; 0 when that is not told.
    std::function<std::uint32_t(std::string_view)> readMostTokens;
};

} // namespace applehatch::gateway
