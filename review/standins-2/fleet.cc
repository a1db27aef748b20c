#include "fleet.h"

#include <cstdio>
#include <cstdlib>
#include <string_view>
#include <utility>

namespace review {

using std::chrono::seconds;

auto serveCall(Run &run) -> bool
{
    std::this_thread::sleep_for(Milliseconds(15));
    return run.answer(std::string(800, 'x'));
}

auto serveStream(Run &run) -> bool
{
    constexpr int events = 10;
    std::this_thread::sleep_for(Milliseconds(150)); // Reads the prompt.
    if (!run.beginStream())
        return false;
    for (int event = 1; event <= events && !run.isCut(); ++event) {
        if (!run.sendChunk("id: " + std::to_string(event) + "\ndata: token\n\n"))
            return false;
        std::this_thread::sleep_for(Milliseconds(60));
    }
    return !run.isCut() && run.endStream();
}

Fleet::Fleet(Record &record, const std::string &folder, const GatewayOptions &options,
             const std::function<Behaviour(int)> &model, Behaviour application)
    : store_(loopbackIp(200))
    , engines_([&] {
        constexpr int firstEngine = 20;
        constexpr int firstServer = 40;
        constexpr int serverSlots = 6;
        store_.put("op/config", configuration(1));
        std::vector<std::unique_ptr<Engine>> engines;
        for (int i = 0; i < modelEngines; ++i) {
            const EngineOptions engine{"hatch-pool", loopbackIp(firstEngine + i)};
            engines.push_back(std::make_unique<Engine>(engine, store_, record, model(i)));
        }
        for (int i = 0; i < applicationServers; ++i) {
            const EngineOptions server{"dash-app", loopbackIp(firstServer + i), "bole-hall",
                                       serverSlots};
            engines.push_back(std::make_unique<Engine>(server, store_, record, application));
        }
        return engines;
    }())
    , gateway_(options, store_, record, folder)
{ }

auto Fleet::isReady() const -> bool
{
    if (!gateway_.awaitReady(Clock::now() + seconds(20)))
        return false;
    // The gateway has been in touch for `stable-window-ms` after this.
    std::this_thread::sleep_for(seconds(4));
    return true;
}

auto hasTrouble() -> bool
{
    const auto *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string_view(trouble) != "0";
}

auto conclude(Record &record, const std::string &text, bool isBroken) -> int
{
    record.note(text + (isBroken ? "; broken" : "; held"));
    std::puts(text.c_str());
    return isBroken ? 1 : 0;
}

} // namespace review
