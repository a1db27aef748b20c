/// The whole path on loopback, shown step by step; ends with a status that tells whether it worked.
#include "system/expect.h"

#include <cstdio>
#include <exception>

namespace {

using namespace applehatch;
using namespace system_test;

auto step(const char *title) -> void
{
    std::printf("\n== %s\n", title);
    std::fflush(stdout);
}

auto check(bool holds, const char *what) -> void
{
    std::printf("%s %s\n", holds ? "ok    " : "FAILED", what);
    std::fflush(stdout);
    if (!holds) {
        throw std::runtime_error(what);
    }
}

auto showHeaders(const CallerAnswer &answer) -> void
{
    for (const auto *name : {"Applehatch-Request", "Applehatch-Context", "Applehatch-Cache"}) {
        std::printf("%s: %s\n", name, answer.header(name).c_str());
    }
}

auto streamedChat(Fleet &fleet) -> std::string
{
    step("a streamed chat");
    const auto request = with(fleet.chat("Draft the first page", 8), "Applehatch-Chat", "chat-1");
    std::printf("POST %s to %s\n%s\n", request.path.c_str(), fleet.router(0).callers.ip.c_str(),
                request.body.c_str());
    const auto answer = experiment::call(fleet.router(0).callers, request);
    showHeaders(answer);
    std::printf("%s", answer.body.c_str());
    check(isWholeAndOwn(request, answer), "the answer is whole");
    return answer.header("Applehatch-Context");
}

auto returningChat(Fleet &fleet, const std::string &context) -> void
{
    step("the same chat returns, through another router");
    const auto request =
        with(with(fleet.chat("Draft the second page", 4), "Applehatch-Chat", "chat-1"),
             "Applehatch-Context", context);
    const auto answer = experiment::call(fleet.router(1).callers, request);
    showHeaders(answer);
    check(isWholeAndOwn(request, answer), "the answer is whole");
    check(answer.header("Applehatch-Cache") == "warm", "its engine still holds the context");
}

auto serviceCall(Fleet &fleet) -> void
{
    step("a call to a plain service");
    const auto request = fleet.job("leak in the kitchen");
    const auto answer = experiment::call(fleet.router(0).callers, request);
    std::printf("%s\n", answer.body.c_str());
    check(isWholeAndOwn(request, answer), "the answer is whole");
}

auto stopInOrder(Fleet &fleet) -> void
{
    step("graceful shutdown");
    for (std::size_t number = 0; number < 2; ++number) {
        fleet.router(number).process->terminate();
    }
    const auto routersStopped = fleet.router(0).process->wait() == experiment::ExitStatus{}
        && fleet.router(1).process->wait() == experiment::ExitStatus{};
    check(routersStopped, "the routers stopped in order");
    for (auto &member : fleet.members()) {
        member.sidecar->terminate();
    }
    for (auto &member : fleet.members()) {
        check(member.sidecar->wait() == experiment::ExitStatus{},
              ("the sidecar of " + member.name + " stopped in order").c_str());
    }
}

auto show(Fleet &fleet) -> void
{
    const auto context = streamedChat(fleet);
    returningChat(fleet, context);
    serviceCall(fleet);
    stopInOrder(fleet);
}

} // namespace

auto main() -> int
{
    try {
        experiment::FleetOptions options;
        options.engines = 3;
        options.services = 2;
        options.routers = 2;
        step("starting 2 routers, 5 sidecars and stand-ins for 3 engines and 2 services");
        Fleet fleet(options);
        try {
            show(fleet);
        } catch (const std::exception &) {
            std::fprintf(stderr, "%s\n", fleet.outputs().c_str());
            throw;
        }
    } catch (const std::exception &error) {
        std::fprintf(stderr, "the demonstration failed: %s\n", error.what());
        return 1;
    }
    std::printf("\nall of it worked\n");
    return 0;
}
