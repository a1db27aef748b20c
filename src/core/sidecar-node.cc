#include "applehatch/core/sidecar-node.h"

#include <map>
#include <unordered_map>

namespace applehatch::core {

struct SidecarNode::State
{
    struct Running
    {
        RequestId request;
        std::uint32_t attempt = 0;
        LinkId link = 0;
        std::string body;
    };

    SidecarIdentity identity;
    SidecarLimits limits;
    LoadTable loads;
    SettingsPtr settings;
    UpstreamState upstream = UpstreamState::Joining;
    RunId lastRun = 0;
    std::map<RunId, Running> runs;
    std::map<LinkId, Instant> links; // To the time of the last heartbeat sent.
    std::vector<SidecarAction> out;
    Instant now;

    auto send(LinkId link, Message message) -> void
    {
        out.emplace_back(SendToPeer{link, std::move(message)});
    }

    auto heartbeat(LinkId link) -> void
    {
        links[link] = now;
        send(link, Heartbeat{identity.incarnation, now});
    }

    auto on(const PeerLinkUp &event) -> void { heartbeat(event.link); }
    auto on(const PeerLinkDown &event) -> void { links.erase(event.link); }

    auto on(FromPeer &event) -> void
    {
        if (auto *submit = std::get_if<Submit>(&event.message))
            start(event.link, *submit);
    }

    auto start(LinkId link, Submit &submit) -> void
    {
        const auto run = ++lastRun;
        runs[run] = {submit.request, submit.attempt, link, {}};
        StartRun action;
        action.run = run;
        action.request = submit.request;
        action.call = std::move(submit.call);
        action.priority = submit.terms.priority;
        action.chat = submit.terms.chat;
        action.remaining = submit.notAfter - now;
        out.emplace_back(std::move(action));
    }

    auto on(RunHead &event) -> void
    {
        const auto found = runs.find(event.run);
        if (found == runs.end())
            return;
        const auto &run = found->second;
        send(run.link,
             Head{run.request, run.attempt, event.status, event.headers, false, event.warm});
    }

    auto on(RunChunk &event) -> void
    {
        const auto found = runs.find(event.run);
        if (found == runs.end())
            return;
        auto &run = found->second;
        const auto offset = run.body.size();
        run.body += event.data;
        send(run.link, Chunk{run.request, offset, std::move(event.data)});
    }

    auto on(const RunEnd &event) -> void
    {
        const auto found = runs.find(event.run);
        if (found == runs.end())
            return;
        const auto &run = found->second;
        send(run.link, End{run.request, run.body.size(), stableHash(run.body), {}});
        runs.erase(found);
    }

    auto on(const RunBroken &event) -> void
    {
        const auto found = runs.find(event.run);
        if (found == runs.end())
            return;
        const auto &run = found->second;
        const auto ran = event.how == RunBreak::NeverSent ? Run::NotRun : Run::Ran;
        send(run.link,
             Refusal{run.request,
                     run.attempt,
                     {ErrorKind::UpstreamFailed, ran, "run broke", std::nullopt},
                     0,
                     {}});
        runs.erase(found);
    }

    auto on(const UpstreamReport &event) -> void
    {
        upstream = event.reachable ? UpstreamState::Serving : UpstreamState::Down;
    }

    auto on(const DigestReceived &event) -> void { loads.apply(event.digest.entries, now); }
    auto on(const SettingsInForce &event) -> void { settings = event.settings; }

    auto on(const Tick & /*event*/) -> void
    {
        for (const auto &[link, sentAt] : links) {
            if (now - sentAt >= limits.heartbeatPeriod)
                heartbeat(link);
        }
    }

    auto on(const DrainRequested & /*event*/) -> void { upstream = UpstreamState::Leaving; }

    template <typename Other>
    auto on(const Other & /*event*/) -> void
    { }
};

SidecarNode::SidecarNode(SidecarIdentity identity, SidecarLimits limits)
    : state_(std::make_unique<State>())
{
    state_->identity = std::move(identity);
    state_->limits = limits;
}

SidecarNode::~SidecarNode() = default;

auto SidecarNode::handle(SidecarEvent event, Instant now) -> std::vector<SidecarAction>
{
    state_->now = now;
    state_->out.clear();
    std::visit([this](auto &alternative) { state_->on(alternative); }, event);
    return std::move(state_->out);
}

auto SidecarNode::counts() const -> SidecarCounts
{
    SidecarCounts counts;
    counts.running = state_->runs.size();
    return counts;
}

auto SidecarNode::state() const -> UpstreamState
{
    return state_->upstream;
}

auto SidecarNode::loads() const -> const LoadTable &
{
    return state_->loads;
}

auto SidecarNode::settings() const -> SettingsPtr
{
    return state_->settings;
}

} // namespace applehatch::core
