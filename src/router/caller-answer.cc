#include "caller-answer.h"

#include "problem.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <strings.h>
#include <utility>

namespace applehatch::router {

namespace {

using std::chrono::milliseconds;

constexpr int ok = 200;

// Interval at which the connection is checked for a disconnect. While a caller waits for a complete
// answer nothing is written that could fail, so without the check a slot would be spent on an
// answer that nobody reads.
constexpr core::Duration probeInterval = milliseconds(500);

constexpr std::string_view streamType = "text/event-stream";

// Number of bytes between reports of progress: a report per token would double the node's work.
constexpr std::uint64_t consumedReportBytes = 32U << 10U;

auto sameName(const std::string &left, const char *right) -> bool
{
    return strcasecmp(left.c_str(), right) == 0;
}

auto isEventStream(const core::Headers &headers) -> bool
{
    return std::any_of(headers.begin(), headers.end(), [](const auto &header) {
        return sameName(header.first, "Content-Type")
            && std::string_view(header.second).substr(0, streamType.size()) == streamType;
    });
}

// Returns the length that the headers announce, 0 without one.
auto lengthOf(const core::Headers &headers) -> std::size_t
{
    const auto found = std::find_if(headers.begin(), headers.end(), [](const auto &header) {
        return sameName(header.first, "Content-Length");
    });
    std::size_t length = 0;
    if (found != headers.end())
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), length);
    return length;
}

// Removes the headers for length and framing, which the connection to the caller sets itself.
auto withoutFraming(core::Headers headers) -> core::Headers
{
    std::erase_if(headers, [](const auto &header) {
        return sameName(header.first, "Content-Length") || sameName(header.first, "Connection")
            || sameName(header.first, "Transfer-Encoding") || sameName(header.first, "Keep-Alive");
    });
    return headers;
}

} // namespace

CallerAnswer::CallerAnswer(process::HttpExchange &exchange, core::RequestId request,
                           std::function<void(std::uint64_t)> onConsumed)
    : exchange_(exchange)
    , request_(std::move(request))
    , onConsumed_(std::move(onConsumed))
{ }

auto CallerAnswer::serve(CallerQueue &queue) -> AnswerOutcome
{
    while (!outcome_) {
        auto items = queue.take(probeInterval);
        if (!items && exchange_.answer()->hasGivenWay())
            return giveWay();
        if (!items || (items->empty() && exchange_.callerDisconnected()))
            return AnswerOutcome::CallerDisconnected;
        for (auto &item : *items) {
            taken_ += CallerQueue::memoryOf(item);
            const auto reached =
                std::visit([this](auto &typedItem) { return take(typedItem); }, item);
            if (!reached)
                return AnswerOutcome::CallerDisconnected;
            if (outcome_)
                return *outcome_;
        }
        if (!flush())
            return AnswerOutcome::CallerDisconnected;
    }
    return *outcome_;
}

auto CallerAnswer::take(core::AnswerHead &head) -> bool
{
    head_ = std::move(head);
    const auto length = lengthOf(head_->headers);
    head_->headers = withoutFraming(std::move(head_->headers));
    stream_ = isEventStream(head_->headers);
    if (!stream_)
        pending_.reserve(std::min(length, maxBufferedAnswer));
    return !stream_ || exchange_.beginStream(head_->status, head_->headers);
}

auto CallerAnswer::take(core::AnswerChunk &chunk) -> bool
{
    if (stream_)
        pending_.append("id: ").append(chunk.position).append("\n");
    pending_ += chunk.data;
    offset_ = chunk.offset + chunk.data.size();
    if (stream_ || pending_.size() <= maxBufferedAnswer)
        return true;
    outcome_ = AnswerOutcome::TooLarge;
    return sendProblem({core::ErrorKind::UpstreamFailed, core::Run::Ran,
                        "the answer is larger than this router holds", std::nullopt});
}

// Writes all events that arrived together in one call.
auto CallerAnswer::flush() -> bool
{
    if (!stream_) {
        reportConsumed();
        return true;
    }
    if (!exchange_.streamPart(std::exchange(pending_, {})))
        return false;
    exchange_.answer()->release(std::exchange(taken_, 0));
    reportConsumed();
    return true;
}

auto CallerAnswer::reportConsumed() -> void
{
    if (offset_ - reported_ < consumedReportBytes)
        return;
    reported_ = offset_;
    onConsumed_(offset_);
}

auto CallerAnswer::take(core::AnswerEnd & /*end*/) -> bool
{
    outcome_ = AnswerOutcome::Sent;
    auto reached = false;
    if (stream_)
        reached = flush() && exchange_.endStream();
    else
        reached = head_ && exchange_.respond(head_->status, head_->headers, pending_);
    if (reached)
        onConsumed_(offset_);
    return reached;
}

auto CallerAnswer::take(core::AnswerFailure &failure) -> bool
{
    outcome_ = AnswerOutcome::Sent;
    return sendProblem(failure.failure);
}

auto CallerAnswer::sendProblem(const core::Failure &failure) -> bool
{
    if (stream_) {
        pending_ += problemEvent(failure, request_);
        return flush() && exchange_.endStream();
    }
    const auto problem = problemAnswer(failure, request_);
    return exchange_.respond(problem.status, problem.headers, problem.body);
}

auto CallerAnswer::giveWay() -> AnswerOutcome
{
    pending_ = {};
    if (!stream_)
        (void)sendProblem({core::ErrorKind::UpstreamFailed, core::Run::Ran,
                           "answers take all the memory of this router", std::nullopt});
    return AnswerOutcome::GaveWay;
}

auto CallerAnswer::take(core::AnswerTicket &ticket) -> bool
{
    outcome_ = AnswerOutcome::Sent;
    nlohmann::ordered_json json;
    json["ticket"] = ticket.ticket;
    json["expiresInMs"] = std::chrono::floor<milliseconds>(ticket.lifetime).count();
    return exchange_.respond(
        ok, {{"Content-Type", "application/json"}, {"Applehatch-Request", request_}}, json.dump());
}

} // namespace applehatch::router
