/// What callers must find, and the checks over a whole history.
#pragma once

#include "applehatch/experiment/fleet.h"

#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace applehatch::system_test {

using experiment::CallerAnswer;
using experiment::CallerRequest;
using experiment::Fleet;

/// The whole answer that the upstream's stand-in gives to `request`, as a caller sees its data.
[[nodiscard]] auto expectedAnswer(const CallerRequest &request) -> std::string;

/// The data of `answer`, without event ids.
[[nodiscard]] auto dataOf(const CallerRequest &request, const CallerAnswer &answer) -> std::string;

/// True when `answer` is the whole answer to `request` and nobody else's.
[[nodiscard]] auto isWholeAndOwn(const CallerRequest &request, const CallerAnswer &answer) -> bool;

/// Like `request`, with one more header.
[[nodiscard]] auto with(CallerRequest request, const std::string &name, const std::string &value)
    -> CallerRequest;

/// One request and its final answer, as a caller saw them.
struct Exchange
{
    CallerRequest request;
    CallerAnswer answer;
};

/// What many callers saw, to be checked against what the upstreams wrote down. Thread-safe.
class History
{
public:
    auto add(const CallerRequest &request, const CallerAnswer &answer) -> void;

    /// Everything that breaks a promise, one line each; empty when all held:
    /// a successful answer is whole and its own; a failure is a problem document with a known kind;
    /// what was told `not-run` has no run; what was told `ran` has one; a key has at most one run.
    [[nodiscard]] auto violations(const Fleet &fleet) const -> std::vector<std::string>;

    [[nodiscard]] auto size() const -> std::size_t;

    /// How often each kind of problem was told, with its detail.
    [[nodiscard]] auto problems() const -> std::map<std::string, std::size_t>;

    /// Answers that are whole.
    [[nodiscard]] auto whole() const -> std::size_t;

private:
    mutable std::mutex mutex_;
    std::vector<Exchange> exchanges_;
};

/// Upstreams whose load went above `bound`, from the samples they kept.
[[nodiscard]] auto overloaded(Fleet &fleet, std::uint32_t bound) -> std::vector<std::string>;

} // namespace applehatch::system_test
