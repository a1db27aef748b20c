// Serves callers: passes requests from HTTP exchanges to the node and writes its answers back.
#include "router-host.h"

#include "applehatch/telemetry/logger.h"

#include "caller-answer.h"
#include "problem.h"
#include "request-reader.h"

#include <array>
#include <charconv>

namespace applehatch::router {

namespace {

constexpr int hexBase = 16;

auto hex(std::uint64_t value) -> std::string
{
    std::array<char, 2 * sizeof(value)> digits{};
    auto *first = digits.data();
    return {first, std::to_chars(first, first + digits.size(), value, hexBase).ptr};
}

auto nameOf(AnswerOutcome outcome) -> std::string_view
{
    switch (outcome) {
    case AnswerOutcome::Sent:
        return "sent";
    case AnswerOutcome::CallerDisconnected:
        return "left";
    case AnswerOutcome::TooLarge:
        return "answer-too-large";
    case AnswerOutcome::GaveWay:
        return "gave-way";
    }
    return "";
}

auto logCaller(const core::RequestId &request, AnswerOutcome outcome) -> void
{
    telemetry::writeLog(telemetry::LogLevel::Info,
                        core::LogLine("caller-lost")
                            .add("request", request)
                            .add("outcome", nameOf(outcome))
                            .text());
}

} // namespace

auto RouterHost::nextRequest() -> core::RequestId
{
    return requestPrefix_ + hex(++requests_);
}

auto RouterHost::serveCaller(process::HttpExchange &exchange) -> void
{
    if (process::answerHealth(exchange, health()))
        return;
    const auto request = nextRequest();
    if (exchange.path() == answersPath)
        serveEvent(exchange, request, readResume(exchange, request));
    else if (exchange.path() == ticketsPath)
        serveEvent(exchange, request, readTicketRequest(exchange, request));
    else
        serveEvent(exchange, request, readCall(exchange, request));
}

template <typename Event>
auto RouterHost::serveEvent(process::HttpExchange &exchange, const core::RequestId &request,
                            std::variant<Event, core::Failure> read) -> void
{
    if (const auto *failure = std::get_if<core::Failure>(&read)) {
        const auto problem = problemAnswer(*failure, request);
        (void)exchange.respond(problem.status, problem.headers, problem.body);
        return;
    }
    const auto kept = exchange.answer();
    const auto queue = std::make_shared<CallerQueue>(
        maxBufferedAnswer, [kept](std::size_t bytes) { return kept->keep(bytes); });
    kept->onGivenWay([queue = queue.get()] { queue->overflow(); });
    {
        const std::lock_guard lock(callersMutex_);
        callers_.emplace(request, queue);
    }
    node_.handle(std::get<Event>(std::move(read)));
    CallerAnswer answer(exchange, request, [this, &request](std::uint64_t offset) {
        node_.handle(core::CallerConsumed{request, offset});
    });
    const auto outcome = answer.serve(*queue);
    kept->onGivenWay(nullptr);
    {
        const std::lock_guard lock(callersMutex_);
        callers_.erase(request);
        callerRemoved_.notify_all();
    }
    if (outcome != AnswerOutcome::Sent) {
        logCaller(request, outcome);
        node_.handle(core::CallerDisconnected{request});
    }
}

// Waits for the threads that still write answers. The node has drained once it has produced the
// last answer, but stopping the server would cut off a write that is still in progress.
auto RouterHost::waitForCallers() -> void
{
    constexpr auto writeTimeout = std::chrono::seconds(5);
    std::unique_lock lock(callersMutex_);
    callerRemoved_.wait_for(lock, writeTimeout, [this] { return callers_.empty(); });
}

} // namespace applehatch::router
