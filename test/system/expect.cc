#include "system/expect.h"

#include "applehatch/emulator/engine-answer.h"
#include "applehatch/emulator/service-answer.h"
#include "applehatch/emulator/upstream-server.h"

#include <map>

namespace applehatch::system_test {

namespace {

auto isChat(const CallerRequest &request) -> bool
{
    return request.path == "/v1/chat/completions";
}

auto isStream(const CallerRequest &request) -> bool
{
    return isChat(request) && emulator::EngineAnswer(request.body).wantsStream();
}

auto headerOf(const CallerRequest &request, const std::string &name) -> std::string
{
    for (const auto &[key, value] : request.headers) {
        if (key == name) {
            return value;
        }
    }
    return {};
}

/// What is wrong with one exchange, given how often its body was run; empty when nothing is.
auto violation(const Exchange &exchange, std::size_t runs) -> std::string
{
    const auto &[request, answer] = exchange;
    const auto problem = answer.problem();
    if (problem.is_null()) {
        return answer.status == 0 || isWholeAndOwn(request, answer) ? "" : "not whole or not own";
    }
    const auto run = problem.value("run", std::string());
    if (problem.value("kind", std::string()).empty()) {
        return "a problem without a kind";
    }
    if (run != "not-run" && run != "ran" && run != "unknown") {
        return "a problem without a run";
    }
    if (run == "not-run" && runs > 0) {
        return "told not-run, but it ran";
    }
    return run == "ran" && runs == 0 ? "told ran, but it did not run" : "";
}

} // namespace

auto expectedAnswer(const CallerRequest &request) -> std::string
{
    if (!isChat(request)) {
        return emulator::serviceAnswer(request.method, request.path, request.body);
    }
    const emulator::EngineAnswer answer(request.body);
    return answer.wantsStream() ? answer.stream() : answer.plain();
}

auto dataOf(const CallerRequest &request, const CallerAnswer &answer) -> std::string
{
    return isStream(request) ? answer.streamData() : answer.body;
}

auto isWholeAndOwn(const CallerRequest &request, const CallerAnswer &answer) -> bool
{
    return answer.status == 200 && answer.framed
        && dataOf(request, answer) == expectedAnswer(request);
}

auto with(CallerRequest request, const std::string &name, const std::string &value) -> CallerRequest
{
    request.headers.emplace_back(name, value);
    return request;
}

auto History::add(const CallerRequest &request, const CallerAnswer &answer) -> void
{
    const std::lock_guard lock(mutex_);
    exchanges_.push_back({request, answer});
}

auto History::violations(const Fleet &fleet) const -> std::vector<std::string>
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::size_t> runsByBody;
    for (const auto &run : fleet.runs()) {
        if (run.operation == "start") {
            ++runsByBody[run.bodyHash];
        }
    }
    std::vector<std::string> found;
    for (const auto &exchange : exchanges_) {
        const auto &body = exchange.request.body;
        const auto runs = runsByBody[emulator::hex(core::stableHash(body))];
        auto wrong = violation(exchange, runs);
        if (wrong.empty() && !headerOf(exchange.request, "Idempotency-Key").empty() && runs > 1) {
            wrong = "a key was run " + std::to_string(runs) + " times";
        }
        if (!wrong.empty()) {
            found.push_back(wrong + ": " + body + " answered " + exchange.answer.problem().dump());
        }
    }
    return found;
}

auto History::size() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    return exchanges_.size();
}

auto History::problems() const -> std::map<std::string, std::size_t>
{
    const std::lock_guard lock(mutex_);
    std::map<std::string, std::size_t> counts;
    for (const auto &exchange : exchanges_) {
        const auto problem = exchange.answer.problem();
        if (problem.is_object()) {
            ++counts[exchange.answer.problemKind() + ": " + problem.value("detail", "")];
        }
    }
    return counts;
}

auto History::whole() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto &[request, answer] : exchanges_) {
        count += isWholeAndOwn(request, answer) ? 1U : 0U;
    }
    return count;
}

auto overloaded(Fleet &fleet, std::uint32_t bound) -> std::vector<std::string>
{
    std::vector<std::string> found;
    for (const auto &member : fleet.members()) {
        const auto highWater = fleet.record(member).value("highWater", 0U);
        if (highWater > bound) {
            found.push_back(member.name + " ran " + std::to_string(highWater));
        }
    }
    return found;
}

} // namespace applehatch::system_test
