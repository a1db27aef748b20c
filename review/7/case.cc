// A part of prompts crashes engines, in chats whose prompts have many parts: for how long the
// gateway answers nobody.
#include "../standins-2/fleet.h"

#include <cstdio>
#include <cstdlib>

namespace {

using namespace review;
using std::chrono::seconds;

constexpr auto crashingPart = "dead01";
constexpr int chats = 4;
constexpr int tries = 3;
constexpr Milliseconds crashTime{4500};

auto serveDraft(Run &run) -> bool
{
    const auto prompt = run.request.headers.find("x-prompt-prefix");
    const auto crashes = hasTrouble() && prompt != run.request.headers.end()
        && prompt->second.starts_with(crashingPart);
    if (!crashes)
        return serveStream(run);
    std::this_thread::sleep_for(Milliseconds(150)); // Reads the prompt.
    run.engine.crash(crashTime);
    return false;
}

// The part that crashes engines, those of the chat, and the request's own.
auto promptOf(int chat, int request, int parts) -> std::string
{
    std::string text = std::string(crashingPart) + ":8";
    char part[32];
    for (int i = 0; i < parts; ++i) {
        std::snprintf(part, sizeof(part), ",%x:8", 0x1000 * (chat + 1) + i);
        text += part;
    }
    std::snprintf(part, sizeof(part), ",%x:30", 0xf0000 + 16 * chat + request);
    return text + part;
}

auto draft(int chat, int request, int parts) -> Call
{
    Call call;
    call.method = "POST";
    call.path = "/draft/a";
    call.id = "draft-" + std::to_string(chat) + '-' + std::to_string(request);
    call.headers = "X-Model: m\r\nX-Token-Usage: 12008,50\r\nX-Prompt-Prefix: "
        + promptOf(chat, request, parts) + "\r\n";
    call.body = call.id;
    call.deadlineMs = 15000;
    return call;
}

auto play(int parts, Record &record, const std::string &folder) -> int
{
    Fleet fleet(record, folder, {loopbackIp(1)}, [](int) { return serveDraft; });
    if (!fleet.isReady())
        return 2;
    auto &gateway = fleet.gateway();
    Callers callers(gateway, record);
    std::this_thread::sleep_for(seconds(3));
    const auto before = gateway.processorTime();
    std::vector<std::thread> threads;
    for (int chat = 0; chat < chats; ++chat)
        threads.emplace_back([&, chat] {
            for (int request = 0; request < tries; ++request) {
                Client client(gateway.front(), record);
                client.call(draft(chat, request, parts), seconds(15));
                std::this_thread::sleep_for(Milliseconds(1500));
            }
        });
    for (auto &thread : threads)
        thread.join();
    std::this_thread::sleep_for(seconds(5));
    callers.stop();
    const auto isRunning = gateway.isRunning();
    return conclude(record,
                    callers.text() + "; the gateway used "
                        + std::to_string(gateway.processorTime() - before) + " ms of processor time"
                        + (isRunning ? "" : " and ended"),
                    callers.isRuleBroken() || !isRunning);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    if (argc < 3)
        return 2;
    const auto *parts = std::getenv("PARTS");
    Record record(argv[2]);
    return play(parts == nullptr ? 2000 : std::atoi(parts), record, argv[1]);
}
