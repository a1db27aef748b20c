// Operator interface of the sidecar: metrics and the data source of the administration API.
#include "sidecar-host.h"

#include "applehatch/telemetry/clock.h"

#include <array>
#include <vector>

namespace applehatch::sidecar {

namespace {

struct Count
{
    const char *name;
    const char *help;
    std::uint64_t core::SidecarCounts::*value;
};

constexpr std::array totals{
    Count{"applehatch_submitted_total", "Attempts received", &core::SidecarCounts::submitted},
    Count{"applehatch_runs_total", "Runs started at the upstream", &core::SidecarCounts::runs},
    Count{"applehatch_refused_bound_total", "Refused at the load bound or a full queue",
          &core::SidecarCounts::refusedBound},
    Count{"applehatch_refused_deadline_total", "Refused because the deadline cannot be met",
          &core::SidecarCounts::refusedDeadline},
    Count{"applehatch_refused_crash_total", "Refused as crash suspects",
          &core::SidecarCounts::refusedCrash},
    Count{"applehatch_refused_leaving_total", "Refused while leaving",
          &core::SidecarCounts::refusedLeaving},
    Count{"applehatch_replays_total", "Answers replayed for a repeated key",
          &core::SidecarCounts::replays},
    Count{"applehatch_redirects_total", "Chats redirected to where their context went",
          &core::SidecarCounts::redirects},
    Count{"applehatch_crashes_total", "Crashes of the upstream seen",
          &core::SidecarCounts::crashes},
};

constexpr std::array gauges{
    Count{"applehatch_running", "Requests in the upstream", &core::SidecarCounts::running},
    Count{"applehatch_waiting", "Requests waiting here", &core::SidecarCounts::waiting},
    Count{"applehatch_bound", "Load at which the next request is refused",
          &core::SidecarCounts::bound},
    Count{"applehatch_answer_bytes", "Bytes of answers kept for resuming",
          &core::SidecarCounts::answerBytes},
    Count{"applehatch_keys", "Idempotency keys kept", &core::SidecarCounts::keys},
    Count{"applehatch_pointers", "Chats whose later home is known", &core::SidecarCounts::pointers},
};

} // namespace

auto SidecarHost::addMetrics() -> void
{
    telemetry::addProcessMetrics(metrics_);
    std::vector<prometheus::Counter *> counters;
    counters.reserve(totals.size());
    for (const auto &count : totals)
        counters.push_back(&metrics_.counter({count.name, count.help}));
    std::vector<prometheus::Gauge *> levels;
    levels.reserve(gauges.size());
    for (const auto &count : gauges)
        levels.push_back(&metrics_.gauge({count.name, count.help}));
    metrics_.onScrape([this, counters, levels] {
        const auto counts = node_.read([](const core::SidecarNode &node) { return node.counts(); });
        for (std::size_t index = 0; index < totals.size(); ++index)
            telemetry::advanceTo(*counters[index],
                                 static_cast<double>(counts.*totals[index].value));
        for (std::size_t index = 0; index < gauges.size(); ++index)
            levels[index]->Set(static_cast<double>(counts.*gauges[index].value));
    });
}

auto SidecarHost::adminSource() -> admin::Source
{
    using core::SidecarNode;
    admin::Source source;
    source.process = [this] {
        const auto currentHealth = health();
        return admin::ProcessStatus{file_->name,
                                    "sidecar",
                                    file_->dataCenter,
                                    currentHealth.ready(),
                                    currentHealth.draining(),
                                    inFlight()};
    };
    source.settings = [this] {
        return node_.read([](const SidecarNode &node) { return node.settings(); });
    };
    source.subtrees = [this] { return feed_.status(); };
    source.load = [this](core::UpstreamId upstream) {
        return node_.read([upstream](const SidecarNode &node) {
            return node.loads().find(upstream, telemetry::steadyNow());
        });
    };
    source.poolLoad = [this](const core::Pool &pool) {
        return node_.read([&pool](const SidecarNode &node) {
            return node.loads().poolLoad(pool, telemetry::steadyNow());
        });
    };
    source.now = telemetry::steadyNow;
    return source;
}

} // namespace applehatch::sidecar
