// Events without end from several engines at once: whether the gateway stays within its memory.
#include "../standins-2/fleet.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <mutex>
#include <set>

namespace {

using namespace review;
using std::chrono::seconds;

constexpr double memoryMegabytes = 260;
constexpr int requesters = 800;
// Requesters leave a stream after a gap of four times the objective.
constexpr Milliseconds patience{3200};
constexpr std::size_t firstBytes = 1'040'000;

// Sends an event that never ends, most of it at once, until its caller closes.
auto serveEndless(Run &run) -> bool
{
    std::this_thread::sleep_for(Milliseconds(150)); // Reads the prompt.
    if (!run.beginStream() || !run.sendChunk("data: " + std::string(firstBytes, 'a')))
        return false;
    while (!run.isCut() && run.sendChunk("a"))
        std::this_thread::sleep_for(Milliseconds(100));
    return false;
}

// The requests that sound engines have run.
class SoundRuns
{
public:
    auto add(const std::string &id) -> void
    {
        const std::lock_guard lock(mutex_);
        ids_.insert(id);
    }
    [[nodiscard]] auto contains(const std::string &id) -> bool
    {
        const std::lock_guard lock(mutex_);
        return ids_.contains(id);
    }

private:
    std::mutex mutex_;
    std::set<std::string> ids_;
};

struct Totals
{
    std::atomic<int> whole = 0;
    std::atomic<int> cut = 0;
    std::atomic<int> lost = 0; // Rule LOST.
};

auto draftOf(int number, int request) -> Call
{
    Call call;
    call.method = "POST";
    call.path = "/draft/a";
    call.id = "draft-" + std::to_string(number) + '-' + std::to_string(request);
    call.headers = "X-Model: m\r\nX-Token-Usage: 830,50\r\nX-Prompt-Prefix: a"
        + std::to_string(number % 96) + ":700,b" + std::to_string(100000 + number) + ":130\r\n";
    call.body = call.id;
    call.deadlineMs = 15000;
    return call;
}

auto request(int number, const Endpoint &front, Record &record, SoundRuns &sound, Totals &totals,
             const std::atomic<bool> &isOver) -> void
{
    std::this_thread::sleep_for(Milliseconds(8 * number));
    Client client(front, record);
    for (int i = 0; !isOver; ++i) {
        const auto isKept = client.isConnected();
        const auto call = draftOf(number, i);
        const auto until = Clock::now() + patience;
        const auto answer = client.call(call, patience);
        const auto isClosed = answer.status == 0 && Clock::now() < until;
        totals.whole += answer.isWhole && answer.status == 200;
        totals.cut += !answer.isWhole;
        totals.lost += isKept && isClosed && sound.contains(call.id);
        std::this_thread::sleep_for(Milliseconds(300));
    }
}

auto play(int sick, Record &record, const std::string &folder) -> int
{
    SoundRuns sound;
    const auto model = [sick, &sound](int number) -> Behaviour {
        if (hasTrouble() && number < sick)
            return serveEndless;
        return [&sound](Run &run) {
            sound.add(run.id());
            return serveStream(run);
        };
    };
    GatewayOptions options;
    options.ip = loopbackIp(1);
    options.memoryMegabytes = memoryMegabytes;
    Fleet fleet(record, folder, options, model);
    if (!fleet.isReady())
        return 2;
    auto &gateway = fleet.gateway();
    Totals totals;
    std::atomic<bool> isOver = false;
    std::vector<std::thread> threads;
    for (int number = 0; number < requesters; ++number)
        threads.emplace_back(
            [&, number] { request(number, gateway.front(), record, sound, totals, isOver); });
    double most = 0;
    const auto end = Clock::now() + seconds(20);
    while (Clock::now() < end && most <= memoryMegabytes) {
        most = std::max(most, gateway.memory());
        std::this_thread::sleep_for(Milliseconds(20));
    }
    if (most > memoryMegabytes) {
        record.note("over its memory: the platform kills the process");
        gateway.signal(SIGKILL);
    }
    isOver = true;
    for (auto &thread : threads)
        thread.join();
    char text[250];
    std::snprintf(
        text, sizeof(text),
        "at most %.0f MB resident of %.0f MB; %d streams whole, %d not; %d passed on from "
        "kept channels to sound engines and closed without an answer",
        most, memoryMegabytes, totals.whole.load(), totals.cut.load(), totals.lost.load());
    return conclude(record, text, totals.lost > 3);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    if (argc < 3)
        return 2;
    const auto *sick = std::getenv("SICK");
    Record record(argv[2]);
    return play(sick == nullptr ? 6 : std::atoi(sick), record, argv[1]);
}
