// Events without end, in lines: for how long the gateway answers nobody.
#include "../standins-2/fleet.h"

#include <cstdlib>

namespace {

using namespace review;
using std::chrono::seconds;

constexpr int requesters = 60;
// Requesters leave a stream after a gap of four times the objective.
constexpr Milliseconds patience{3200};
constexpr std::size_t firstBytes = 900 * 1024;

// Sends an event that never ends, most of it at once, until its caller closes.
auto serveEndless(Run &run) -> bool
{
    constexpr std::string_view line = ":\n";        // A comment of the event.
    std::this_thread::sleep_for(Milliseconds(150)); // Reads the prompt.
    if (!run.beginStream())
        return false;
    std::string first;
    while (first.size() < firstBytes)
        first += line;
    if (!run.sendChunk(first))
        return false;
    while (!run.isCut() && run.sendChunk(std::string(line)))
        std::this_thread::sleep_for(Milliseconds(10));
    return false;
}

auto play(int sick, Record &record, const std::string &folder) -> int
{
    const auto model = [sick](int number) -> Behaviour {
        return hasTrouble() && number < sick ? serveEndless : serveStream;
    };
    Fleet fleet(record, folder, {loopbackIp(1)}, model);
    if (!fleet.isReady())
        return 2;
    auto &gateway = fleet.gateway();
    Callers callers(gateway, record);
    std::this_thread::sleep_for(seconds(4));
    std::atomic<bool> isOver = false;
    std::vector<std::thread> threads;
    const auto before = gateway.processorTime();
    for (int number = 0; number < requesters; ++number)
        threads.emplace_back([&, number] {
            for (int i = 0; !isOver; ++i) {
                Client client(gateway.front(), record);
                Call call;
                call.method = "POST";
                call.path = "/draft/a";
                call.id = "draft-" + std::to_string(number) + '-' + std::to_string(i);
                const auto session = std::to_string(100000 + number);
                call.headers = "X-Model: m\r\nX-Token-Usage: 830,50\r\nX-Prompt-Prefix: a"
                    + std::to_string(number) + ":700,b" + session + ":130\r\n";
                call.body = "draft " + call.id;
                call.deadlineMs = 15000;
                client.call(call, patience);
                std::this_thread::sleep_for(Milliseconds(300));
            }
        });
    std::this_thread::sleep_for(seconds(15));
    isOver = true;
    const auto used = gateway.processorTime() - before;
    for (auto &thread : threads)
        thread.join();
    std::this_thread::sleep_for(seconds(2));
    callers.stop();
    const auto isRunning = gateway.isRunning();
    return conclude(record,
                    callers.text() + "; the gateway used " + std::to_string(used)
                        + " ms of processor time in 15 s" + (isRunning ? "" : " and ended"),
                    callers.isRuleBroken() || !isRunning);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    if (argc < 3)
        return 2;
    const auto *sick = std::getenv("SICK");
    Record record(argv[2]);
    return play(sick == nullptr ? 2 : std::atoi(sick), record, argv[1]);
}
