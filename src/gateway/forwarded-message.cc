#include "forwarded-message.h"

#include "applehatch/gateway/exchange.h"

#include <algorithm>
#include <string_view>

namespace applehatch::gateway {

namespace {

constexpr int highestPriority = 0;
constexpr int lowestPriority = 9;

auto millisecondsText(Duration duration) -> std::string
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::to_string(std::max<std::chrono::milliseconds::rep>(1, count));
}

} // namespace

auto headersWithout(const HeaderList &headers, const std::vector<std::string> &dropped)
    -> HeaderList
{
    // Sorted, since a caller may list thousands of names beside thousands of headers.
    std::vector<std::string_view> names(dropped.begin(), dropped.end());
    std::sort(names.begin(), names.end(), lessIgnoringCase);
    HeaderList remaining;
    for (const auto &field : headers.fields()) {
        if (!std::binary_search(names.begin(), names.end(), field.name, lessIgnoringCase))
            remaining.add(field.name, field.value);
    }
    return remaining;
}

auto forwardedHead(const ResponseHead &head) -> ResponseHead
{
    auto dropped = hopByHopHeaders(head.headers, {});
    dropped.emplace_back("Content-Length");
    ResponseHead forwarded;
    forwarded.status = head.status;
    forwarded.reason = head.reason;
    forwarded.length = head.length;
    forwarded.headers = headersWithout(head.headers, dropped);
    return forwarded;
}

auto Exchange::upstreamText() -> std::string
{
    const auto &vocabulary = *environment_.vocabulary;
    auto dropped = hopByHopHeaders(request_.headers, vocabulary.endToEnd);
    dropped.insert(dropped.end(), vocabulary.routerOnly.begin(), vocabulary.routerOnly.end());
    for (const auto *own : {"Authorization", "Content-Length", "Expect"})
        dropped.emplace_back(own);
    for (const auto &own :
         {vocabulary.deadline, vocabulary.customer, vocabulary.expectInstance, vocabulary.priority})
        dropped.push_back(own);
    const auto resumes = phase_ == Phase::Relaying && !events_.lastId().empty();
    if (resumes)
        dropped.push_back(vocabulary.lastEventId);
    RequestMessage forwarded;
    forwarded.method = request_.method;
    forwarded.target = request_.target;
    forwarded.body = isLastAttempt() ? std::move(request_.body) : request_.body;
    forwarded.headers = headersWithout(request_.headers, dropped);
    forwarded.headers.add(vocabulary.deadline, millisecondsText(timeLeft()));
    forwarded.headers.add(vocabulary.expectInstance, attempt_.choice.upstream.instance);
    if (!permit_.customer.empty())
        forwarded.headers.add(vocabulary.customer, permit_.customer);
    if (!demand_.prompt.empty())
        forwarded.headers.add(
            vocabulary.priority,
            std::to_string(std::clamp(permit_.priority, highestPriority, lowestPriority)));
    if (resumes)
        forwarded.headers.add(vocabulary.lastEventId, events_.lastId());
    if (const auto &from = attempt_.choice.fetchFrom)
        forwarded.headers.add(vocabulary.fetchFrom, from->ip + ':' + std::to_string(from->port));
    return requestText(forwarded);
}

} // namespace applehatch::gateway
