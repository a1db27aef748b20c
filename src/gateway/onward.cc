#include "onward.h"

#include "applehatch/gateway/exchange.h"

#include <algorithm>

namespace applehatch::gateway {

namespace {

constexpr int mostUrgent = 0;
constexpr int leastUrgent = 9;

auto millisecondsText(Duration duration) -> std::string
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return std::to_string(std::max<std::chrono::milliseconds::rep>(1, count));
}

} // namespace

auto headersWithout(const HeaderList &headers, const std::vector<std::string> &dropped)
    -> HeaderList
{
    HeaderList kept;
    for (const auto &field : headers.fields()) {
        const auto isDropped =
            std::any_of(dropped.begin(), dropped.end(), [&field](const std::string &name) {
                return equalsIgnoringCase(name, field.name);
            });
        if (!isDropped)
            kept.add(field.name, field.value);
    }
    return kept;
}

auto onwardHead(const ResponseHead &head) -> ResponseHead
{
    auto dropped = connectionHeaders(head.headers, {});
    dropped.emplace_back("Content-Length");
    ResponseHead onward;
    onward.status = head.status;
    onward.reason = head.reason;
    onward.headers = headersWithout(head.headers, dropped);
    return onward;
}

auto Exchange::upstreamText() const -> std::string
{
    const auto &words = *host_.vocabulary;
    auto dropped = connectionHeaders(request_.headers, words.kept);
    dropped.insert(dropped.end(), words.routerOnly.begin(), words.routerOnly.end());
    for (const auto *own : {"Authorization", "Content-Length", "Expect"})
        dropped.emplace_back(own);
    for (const auto &own : {words.deadline, words.customer, words.expectInstance, words.priority})
        dropped.push_back(own);
    const auto resumes = phase_ == Phase::Relaying && !events_.lastId().empty();
    if (resumes)
        dropped.push_back(words.lastEventId);
    RequestMessage onward;
    onward.method = request_.method;
    onward.target = request_.target;
    onward.body = request_.body;
    onward.headers = headersWithout(request_.headers, dropped);
    onward.headers.add(words.deadline, millisecondsText(left()));
    onward.headers.add(words.expectInstance, now_.choice.upstream.instance);
    if (!permit_.customer.empty())
        onward.headers.add(words.customer, permit_.customer);
    if (!demand_.prompt.empty())
        onward.headers.add(words.priority,
                           std::to_string(std::clamp(permit_.priority, mostUrgent, leastUrgent)));
    if (resumes)
        onward.headers.add(words.lastEventId, events_.lastId());
    if (const auto &from = now_.choice.fetchFrom)
        onward.headers.add(words.fetchFrom, from->ip + ':' + std::to_string(from->port));
    return requestText(onward);
}

} // namespace applehatch::gateway
