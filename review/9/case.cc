// Events without end from several engines at once: whether the gateway stays within its memory.
#include "../standins-2/fleet.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>

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

auto play(int sick, Record &record, const std::string &folder) -> int
{
    const auto model = [sick](int number) -> Behaviour {
        return hasTrouble() && number < sick ? serveEndless : serveStream;
    };
    GatewayOptions options;
    options.ip = loopbackIp(1);
    options.memoryMegabytes = memoryMegabytes;
    Fleet fleet(record, folder, options, model);
    if (!fleet.isReady())
        return 2;
    auto &gateway = fleet.gateway();
    Callers callers(gateway, record);
    std::this_thread::sleep_for(seconds(2));
    std::atomic<bool> isOver = false;
    std::atomic<int> whole = 0;
    std::atomic<int> cut = 0;
    std::vector<std::thread> threads;
    for (int number = 0; number < requesters; ++number)
        threads.emplace_back([&, number] {
            std::this_thread::sleep_for(Milliseconds(8 * number));
            for (int i = 0; !isOver; ++i) {
                Client client(gateway.front(), record);
                Call call;
                call.method = "POST";
                call.path = "/draft/a";
                call.id = "draft-" + std::to_string(number) + '-' + std::to_string(i);
                const auto session = std::to_string(100000 + number);
                call.headers = "X-Model: m\r\nX-Token-Usage: 830,50\r\nX-Prompt-Prefix: a"
                    + std::to_string(number % 96) + ":700,b" + session + ":130\r\n";
                call.body = "draft " + call.id;
                call.deadlineMs = 15000;
                const auto answer = client.call(call, patience);
                whole += answer.isWhole && answer.status == 200;
                cut += !answer.isWhole;
                std::this_thread::sleep_for(Milliseconds(300));
            }
        });
    double most = 0;
    const auto end = Clock::now() + seconds(20);
    while (Clock::now() < end && most <= memoryMegabytes) {
        most = std::max(most, gateway.memory());
        std::this_thread::sleep_for(Milliseconds(20));
    }
    const auto isOverLimit = most > memoryMegabytes;
    if (isOverLimit) {
        record.note("over its memory: the platform kills the process");
        gateway.signal(SIGKILL);
    }
    isOver = true;
    for (auto &thread : threads)
        thread.join();
    callers.stop();
    char text[200];
    std::snprintf(text, sizeof(text),
                  "at most %.0f MB resident of %.0f MB; %d streams whole, %d not; ", most,
                  memoryMegabytes, whole.load(), cut.load());
    const auto isBroken = isOverLimit || !gateway.isRunning();
    return conclude(record, text + callers.text(), isBroken);
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
