#include "applehatch/clients/upstream-client.h"

#include "upstream-client-exchange.h"
#include "upstream-client-stream-end.h"

#include <algorithm>
#include <array>

namespace applehatch::clients {

namespace {

constexpr auto connectLimit = std::chrono::seconds(2);
/// An engine that reads a long context for the first time pauses longer than ever between tokens.
constexpr auto firstByteFactor = 4;
constexpr auto chatPath = "/v1/chat/completions";

auto setHeader(core::Headers &headers, std::string_view name, const std::string &value) -> void
{
    std::erase_if(headers, [name](const auto &header) { return sameName(header.first, name); });
    if (!value.empty()) {
        headers.emplace_back(name, value);
    }
}

/// Whoever goes on with a stream may never have seen the call that began it.
auto isContinuation(const core::StartRun &start) -> bool
{
    return start.call.method.empty();
}

auto requestFor(const core::StartRun &start) -> ExchangeRequest
{
    ExchangeRequest request{start.call.method, start.call.path, start.call.headers, {}};
    if (start.call.body) {
        request.body = *start.call.body;
    }
    const auto resume = start.resumeFrom == 0 ? "" : std::to_string(start.resumeFrom);
    if (isContinuation(start)) {
        request.method = "POST";
        request.path = chatPath;
    }
    setHeader(request.headers, "X-Request-Id", start.request);
    setHeader(request.headers, "X-Priority", std::to_string(start.priority));
    setHeader(request.headers, "X-Chat-Key", start.chat == 0 ? "" : chatHex(start.chat));
    setHeader(request.headers, "X-Resume-From", resume);
    return request;
}

auto isEventStream(const ExchangeHead &head) -> bool
{
    return head.status == 200
        && headerValue(head.headers, "Content-Type").starts_with("text/event-stream");
}

/// Reads the body to its end; true when the end shows that all of it arrived.
auto readWhole(Exchange &exchange, const ExchangeHead &head, const core::StartRun &start,
               const CallHooks &hooks) -> bool
{
    StreamEnd end(start.resumeFrom > 0);
    const auto events = isEventStream(head);
    while (true) {
        const auto data = exchange.read();
        if (exchange.stop() != ExchangeStop::None) {
            return false;
        }
        if (data.empty()) {
            return events ? end.reachedAtClose() : head.framed;
        }
        hooks.onData(std::string(data));
        end.take(data);
        if (events && end.reached()) {
            return true;
        }
    }
}

auto breakFor(const Exchange &exchange) -> core::RunBreak
{
    if (exchange.stop() == ExchangeStop::Silent
        && exchange.stage() != ExchangeStage::NotConnected) {
        return core::RunBreak::Silent;
    }
    switch (exchange.stage()) {
    case ExchangeStage::NotConnected:
        return core::RunBreak::NeverSent;
    case ExchangeStage::Sent:
        return core::RunBreak::Lost;
    case ExchangeStage::HeadRead:
        break;
    }
    return exchange.stop() == ExchangeStop::None ? core::RunBreak::EndedEarly
                                                 : core::RunBreak::Lost;
}

} // namespace

UpstreamClient::UpstreamClient(core::Address upstream, core::Duration silence)
    : upstream_(std::move(upstream))
    , silence_(silence)
{ }

auto UpstreamClient::run(const core::StartRun &start, const CallHooks &hooks,
                         const std::atomic<bool> &cancelled) const -> CallOutcome
{
    const auto request = requestFor(start);
    if (!sendable(request)) {
        return {false, core::RunBreak::NeverSent};
    }
    Exchange exchange(upstream_, cancelled);
    try {
        if (!exchange.connect(connectLimit)) {
            return {false, core::RunBreak::NeverSent};
        }
        // A plain answer comes in one piece after the whole run, so only a stream's pauses tell
        // that an upstream went silent; a plain answer may take until its deadline.
        const auto wholeRun = std::max(silence_, start.remaining);
        exchange.allowPause(start.call.stream ? firstByteFactor * silence_ : wholeRun);
        const auto head = exchange.send(request);
        if (!head) {
            return {false, breakFor(exchange)};
        }
        exchange.allowPause(start.call.stream ? silence_ : wholeRun);
        hooks.onHead(head->status, head->headers, headerValue(head->headers, "X-Cache") == "warm");
        if (readWhole(exchange, *head, start, hooks)) {
            return {true, core::RunBreak::Lost};
        }
    } catch (const kj::Exception &) {
        // The stage reached says all that can be said of a broken connection.
    }
    return {false, breakFor(exchange)};
}

} // namespace applehatch::clients
