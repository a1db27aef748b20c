/// Header names and value formats used by a deployment's callers and upstreams.
#pragma once

#include "applehatch/direct/prompt.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace applehatch::gateway {

/// Load reported by an upstream: numbers of requests.
struct LoadReport
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    /// Time that work takes there now as a multiple of the usual time; none if not reported.
    std::optional<double> slowdown;
};

/// Header names, and parsers for values with a deployment-specific format.
struct Vocabulary
{
    std::string requestId;      ///< Identifies a caller's request; echoed by upstreams.
    std::string deadline;       ///< Milliseconds left for the request, from caller or to upstream.
    std::string proof;          ///< Set by upstreams on responses to requests that ran.
    std::string notRun;         ///< Set by upstreams on responses to requests that did not run.
    std::string expectInstance; ///< An upstream refuses requests that name another instance.
    std::string customer;       ///< Identifies the customer to the upstream.
    std::string priority;       ///< 0 is the highest priority.
    std::string loadReport;     ///< Load of the upstream, set on its responses.
    std::string prompt;         ///< Parts of the prompt, in order.
    std::string tokens;         ///< Tokens of the prompt and maximum tokens of the answer.
    std::string fetchFrom;      ///< Engine from which to fetch the prompt's context.
    std::string lastEventId;    ///< Id of the event after which a stream resumes.
    std::string resumes;        ///< Id of the request that brought a resumed stream's first event.
    std::string leaving;        ///< Set by upstreams that are about to exit.
    std::string restRequest;    ///< On a refusal, how long the upstream wants no requests.
    std::string keyScheme;      ///< Scheme before the key in `Authorization`.
    /// Headers that only routers may set; removed from callers' requests.
    std::vector<std::string> routerOnly;
    /// Headers that decide how a request runs; never removed, even if listed in `Connection`.
    std::vector<std::string> endToEnd;

    /// Whether a registry entry is kept alive by its owner, so that it may lapse without its
    /// owner's doing while the registry is away. Without this function all are.
    std::function<bool(std::string_view key)> isLeased;
    /// Returns the name of the upstream of a registry entry. Without this function it is the key.
    std::function<std::string(std::string_view key)> instanceOf;
    std::function<direct::Prompt(std::string_view)> readPrompt;
    std::function<std::optional<LoadReport>(std::string_view)> readLoad;
    std::function<bool(std::string_view)> readLeaving;
    /// Returns nothing if no rest is asked for, or if the value is malformed.
    std::function<std::optional<std::chrono::milliseconds>(std::string_view)> readRestRequest;
    /// Parses the maximum number of tokens of the answer; 0 if unknown.
    std::function<std::uint32_t(std::string_view)> readMaxTokens;
};

} // namespace applehatch::gateway
