#include "chats.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace review {

using std::chrono::seconds;

namespace {

constexpr int gateways = 3;
constexpr int streams = 40;
constexpr int events = 76;
constexpr Milliseconds eventTime{90};
constexpr Milliseconds deadline{12000};
constexpr Milliseconds readTime{2000};
constexpr Milliseconds restartTime{300};
constexpr int tries = 2; // To take a stream up, while refusals say when to come back.
constexpr int minJudged = 12;

auto serveChat(Run &run) -> bool
{
    const auto last = run.request.headers.find("last-event-id");
    const auto first = last == run.request.headers.end() ? 1 : std::atoi(last->second.c_str()) + 1;
    std::this_thread::sleep_for(Milliseconds(20)); // Reads the prompt.
    if (!run.beginStream())
        return false;
    for (int event = first; event <= events && !run.isCut(); ++event) {
        if (!run.sendChunk("id: " + std::to_string(event) + "\ndata: token\n\n"))
            return false;
        std::this_thread::sleep_for(eventTime);
    }
    return !run.isCut() && run.endStream();
}

auto chat(const std::string &id, int number) -> Call
{
    Call call;
    call.method = "POST";
    call.path = "/chat/a";
    call.id = id;
    call.headers = "X-Model: m\r\nX-Token-Usage: 830,380\r\nX-Prompt-Prefix: a"
        + std::to_string(number % 12) + ":700,b" + std::to_string(100000 + number) + ":130\r\n";
    call.body = "chat " + std::to_string(number);
    call.deadlineMs = static_cast<int>(deadline.count());
    return call;
}

auto lastEventIn(const std::string &body) -> int
{
    const auto at = body.rfind("id: ");
    return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + 4);
}

} // namespace

Chats::Chats(const ChatOptions &chats, Record &record, const std::string &folder)
    : chats_(chats)
    , record_(record)
    , folder_(folder)
    , store_(loopbackIp(200))
    , options_(gateways)
    , running_(gateways)
{
    store_.put("op/config", configuration(1));
    for (int i = 0; i < chats_.firstVersion; ++i)
        addEngine("v1");
    for (int i = 0; i < chats_.secondVersion; ++i)
        addEngine("v2");
    const auto peerPort = freePort(loopbackIp(1));
    for (int i = 0; i < gateways; ++i) {
        auto &options = options_.at(i);
        options.ip = loopbackIp(1 + i);
        options.frontPort = freePort(options.ip);
        options.readyPort = freePort(options.ip);
        options.peerPort = peerPort;
        for (int seed = 0; seed < gateways; ++seed)
            options.seeds.push_back(loopbackIp(1 + seed));
        startGateway(i);
    }
}

auto Chats::addEngine(const std::string &version) -> void
{
    EngineOptions options{"hatch-pool", loopbackIp(20 + static_cast<int>(engines_.size()))};
    options.version = version;
    engines_.push_back(std::make_unique<Engine>(options, store_, record_, serveChat));
}

auto Chats::startGateway(int number) -> void
{
    running_.at(number) = std::make_unique<Gateway>(options_.at(number), store_, record_, folder_);
}

auto Chats::isReady() -> bool
{
    for (const auto &gateway : running_) {
        if (!gateway->awaitReady(Clock::now() + seconds(20)))
            return false;
    }
    std::this_thread::sleep_for(seconds(5));
    return true;
}

auto Chats::front(int number) const -> Endpoint
{
    const auto &options = options_.at(number % gateways);
    return {options.ip, options.frontPort};
}

auto Chats::run() -> int
{
    std::vector<std::thread> threads;
    for (int i = 0; i < streams; ++i)
        threads.emplace_back([this, i] { stream(i); });
    std::this_thread::sleep_for(readTime);
    const auto killedAt = Clock::now();
    if (hasTrouble()) {
        record_.note(std::to_string(chats_.killed) + " gateways are killed");
        for (int i = 0; i < chats_.killed; ++i)
            running_.at(i).reset();
        std::this_thread::sleep_for(restartTime);
        for (int i = 0; i < chats_.killed; ++i)
            startGateway(i);
    }
    std::this_thread::sleep_until(killedAt + chats_.joinAfter);
    for (int i = 0; i < chats_.joining; ++i)
        addEngine("v2");
    record_.note(std::to_string(chats_.joining) + " engines of another version have started");
    std::this_thread::sleep_until(killedAt + chats_.away);
    for (int i = 0; i < streams; ++i)
        threads.emplace_back([this, i] { begin(i); });
    for (auto &thread : threads)
        thread.join();
    const auto goesOn = 1.0 * totals_.wentOn / std::max(1, totals_.takenUp.load());
    const auto begins = 1.0 * totals_.begunAnew / std::max(1, totals_.sentAnew.load());
    char text[200];
    std::snprintf(text, sizeof(text), "%d streams taken up, %d went on; %d new streams, %d began",
                  totals_.takenUp.load(), totals_.wentOn.load(), totals_.sentAnew.load(),
                  totals_.begunAnew.load());
    return conclude(record_, text, totals_.takenUp >= minJudged && goesOn < begins / 2);
}

// Reads a stream until it breaks or, without the disruption, until its requester loses the channel.
auto Chats::stream(int number) -> void
{
    const auto begun = Clock::now();
    const auto isHit = number % gateways < chats_.killed;
    const auto losesChannel = isHit && !hasTrouble();
    Client client(front(number), record_);
    const auto first = client.call(chat("chat-" + std::to_string(number), number),
                                   losesChannel ? readTime : deadline);
    client.close();
    const auto last = lastEventIn(first.body);
    if (first.status != 200 || first.isWhole || last == 0)
        return;
    std::this_thread::sleep_until(begun + readTime + chats_.away);
    ++totals_.takenUp;
    totals_.wentOn += takeUp(number, last, begun);
}

auto Chats::takeUp(int number, int last, Clock::time_point begun) -> bool
{
    const auto id = "chat-" + std::to_string(number);
    for (int i = 1; i <= tries; ++i) {
        const auto left = std::chrono::duration_cast<Milliseconds>(begun + deadline - Clock::now());
        if (left <= Milliseconds(0))
            return false;
        auto call = chat(id + "-" + std::to_string(i), number);
        call.headers += "Last-Event-Id: " + std::to_string(last) + "\r\nResumes: " + id + "\r\n";
        call.deadlineMs = static_cast<int>(left.count());
        Client again(front(number + i), record_);
        const auto answer = again.call(call, left);
        if (answer.status == 200 && lastEventIn(answer.body) > last)
            return true;
        const auto retryAfter = answer.headers.find("retry-after");
        if (retryAfter == answer.headers.end())
            return false;
        std::this_thread::sleep_for(std::chrono::duration<double>(std::stod(retryAfter->second)));
    }
    return false;
}

auto Chats::begin(int number) -> void
{
    Client client(front(number), record_);
    ++totals_.sentAnew;
    const auto answer =
        client.call(chat("new-" + std::to_string(number), streams + number), seconds(3));
    totals_.begunAnew += answer.status == 200 && lastEventIn(answer.body) > 0;
}

} // namespace review
