#include "world-impl.h"

namespace applehatch::schedule {

namespace {

using namespace std::chrono_literals;

constexpr auto deadline = 10s;
constexpr std::size_t chats = 12;
constexpr double serviceShare = 0.35;
constexpr double keyRepeatShare = 0.6;
constexpr auto longestRepeatDelay = 3s;

auto joined(const std::vector<std::string> &events) -> std::string
{
    std::string whole;
    for (const auto &event : events)
        whole += event;
    return whole;
}

} // namespace

auto World::newCall() -> void
{
    const auto number = history_.calls.size();
    CallRecord call;
    call.body = R"({"model":"model","n":)" + std::to_string(number) + '}';
    if (chance(serviceShare))
        call.key = "key-" + std::to_string(number);
    call.poison = call.key.empty() && chance(shape_.faults.poisonShare);
    if (call.poison)
        call.body = "poison " + call.body;
    call.expected = joined(expectedAnswer(call.body));
    const auto repeated = !call.key.empty() && chance(keyRepeatShare);
    const auto poison = call.poison;
    history_.calls.push_back(std::move(call));
    send(number, true);
    const auto repeats = repeated ? 1 + below(2) : (poison ? 4 : 0);
    for (std::size_t i = 0; i < repeats; ++i) {
        ++history_.tried.repeatedKeys;
        after(core::Duration(below(core::Duration(longestRepeatDelay).count())),
              [this, number] { send(number, false); });
    }
}

auto World::open(std::size_t call, Router &router) -> std::string
{
    auto request = "r" + std::to_string(++lastRequest_);
    exchanges_[request] = {history_.answers.size(), &router, router.life};
    history_.answers.push_back({call, {}, {}, false, std::nullopt, 0, false});
    ++history_.calls[call].sends;
    return request;
}

auto World::send(std::size_t number, bool firstSend) -> void
{
    const auto &call = history_.calls[number];
    auto &router = *routers_[below(routers_.size())];
    core::CallerRequest event;
    event.request = open(number, router);
    event.terms.team = "team";
    event.terms.customer = "customer";
    event.deadline = deadline;
    event.call.body = std::make_shared<const std::string>(call.body);
    event.call.method = "POST";
    event.call.stream = true;
    if (call.key.empty()) {
        event.terms.model = "model";
        event.terms.chat = call.poison ? 0 : 1 + below(chats);
        event.call.path = "/v1/chat/completions";
    } else {
        event.call.path = "/jobs/repair";
        event.terms.idempotencyKey = call.key;
        event.terms.runOnce = true;
        event.terms.firstSend = firstSend;
    }
    toRouter(router, std::move(event));
}

auto World::resume(std::size_t answer) -> void
{
    const auto earlier = history_.answers[answer];
    auto &router = *routers_[below(routers_.size())];
    const auto request = open(earlier.call, router);
    history_.answers.back().received = earlier.received;
    history_.answers.back().position = earlier.position;
    ++history_.tried.resumed;
    toRouter(router, core::CallerResume{request, earlier.position, "team", "customer"});
}

auto World::received(const core::AnswerChunk &chunk) -> void
{
    const auto exchange = exchanges_.find(chunk.request);
    if (exchange == exchanges_.end())
        return;
    auto &answer = history_.answers[exchange->second.answer];
    answer.received += chunk.data;
    answer.position = chunk.position;
}

auto World::finish(const std::string &request, std::optional<core::Failure> failure) -> void
{
    const auto exchange = exchanges_.find(request);
    if (exchange == exchanges_.end())
        return;
    auto &answer = history_.answers[exchange->second.answer];
    ++answer.finals;
    answer.whole = !failure;
    history_.tried.wholeWhileApart += answer.whole && apart_ ? 1 : 0;
    answer.failure = std::move(failure);
}

} // namespace applehatch::schedule
