#include "world-impl.h"

namespace applehatch::schedule {

namespace {

using namespace std::chrono_literals;

constexpr auto downAfterCrash = 700ms;
constexpr auto betweenEvents = 120ms;
constexpr auto crashDelay = 30ms;

auto wholeAnswer(const std::string &body) -> std::string
{
    std::string whole;
    for (const auto &event : expectedAnswer(body))
        whole += event;
    return whole;
}

} // namespace

auto World::report(Sidecar &sidecar) -> void
{
    core::UpstreamReport report;
    report.reachable = now_ >= sidecar.engineDownUntil;
    report.epoch = std::to_string(sidecar.engineEpoch);
    report.running = static_cast<std::uint32_t>(sidecar.running.size());
    if (sidecar.model)
        report.models = {"model"};
    toSidecar(sidecar, report);
}

auto World::startRun(Sidecar &sidecar, const core::StartRun &start) -> void
{
    if (now_ < sidecar.engineDownUntil) {
        toSidecar(sidecar, core::RunBroken{start.run, core::RunBreak::NeverSent});
        return;
    }
    sidecar.running.insert(start.run);
    const auto held = sidecar.held.find(start.request);
    if (start.resumeFrom > 0 || !start.call.body || start.call.body->empty()) {
        if (held == sidecar.held.end()) {
            after(delay(), [this, &sidecar, run = start.run] {
                if (sidecar.running.erase(run) > 0)
                    toSidecar(sidecar, core::RunBroken{run, core::RunBreak::EndedEarly});
            });
            return;
        }
        playEvents(sidecar, start.run, start.request, start.resumeFrom);
        return;
    }
    const auto &body = *start.call.body;
    history_.runs.push_back({body, 0, now_, sidecar.seenWhileLeaving.contains(body)});
    sidecar.held[start.request] = {body, now_};
    if (body.find("poison") != std::string::npos) {
        crashing_[body].insert(&sidecar);
        after(timeToCrash(), [this, &sidecar, body, epoch = sidecar.engineEpoch] {
            if (sidecar.engineEpoch != epoch)
                return;
            history_.copiesAtFirstCrash.emplace(body, crashing_[body].size());
            ++history_.crashesByBody[body];
            crashEngine(sidecar);
        });
        return;
    }
    playEvents(sidecar, start.run, start.request, 0);
}

auto World::timeToCrash() -> core::Duration
{
    const auto longest = static_cast<std::size_t>(shape_.faults.longestCrashDelay.count());
    return longest == 0 ? core::Duration(crashDelay) : core::Duration(1 + below(longest));
}

auto World::playEvents(Sidecar &sidecar, core::RunId run, const std::string &engineRequest,
                       std::uint64_t from) -> void
{
    const auto life = sidecar.identity.incarnation;
    const auto epoch = sidecar.engineEpoch;
    const auto whole = wholeAnswer(sidecar.held.at(engineRequest).body);
    const auto alive = [&sidecar, run, life, epoch] {
        return sidecar.identity.incarnation == life && sidecar.engineEpoch == epoch
            && sidecar.running.contains(run);
    };
    auto when = now_ + delay();
    at(when, [this, &sidecar, run, alive] {
        if (alive())
            toSidecar(sidecar,
                      core::RunHead{run, 200, {{"Content-Type", "text/event-stream"}}, false});
    });
    constexpr std::size_t pieceBytes = 23;
    for (auto at0 = static_cast<std::size_t>(from); at0 < whole.size(); at0 += pieceBytes) {
        when += core::Duration(
            1 + below(static_cast<std::size_t>(core::Duration(betweenEvents).count())));
        at(when, [this, &sidecar, run, alive, piece = whole.substr(at0, pieceBytes)] {
            if (alive())
                toSidecar(sidecar, core::RunChunk{run, piece});
        });
    }
    at(when + 1us, [this, &sidecar, run, alive] {
        if (!alive())
            return;
        sidecar.running.erase(run);
        toSidecar(sidecar, core::RunEnd{run});
    });
}

auto World::crashEngine(Sidecar &sidecar) -> void
{
    ++history_.tried.engineCrashes;
    ++sidecar.engineEpoch;
    for (auto &[body, engines] : crashing_)
        engines.erase(&sidecar);
    sidecar.engineDownUntil = now_ + downAfterCrash;
    sidecar.held.clear();
    const auto lost = std::exchange(sidecar.running, {});
    for (const auto run : lost)
        toSidecar(sidecar, core::RunBroken{run, core::RunBreak::Lost});
    report(sidecar);
}

} // namespace applehatch::schedule
