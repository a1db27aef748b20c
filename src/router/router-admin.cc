// Operator interface of the router: metrics and the data source of the administration API.
#include "router-host.h"

#include "applehatch/telemetry/clock.h"

namespace applehatch::router {

namespace {

struct CountedTotal
{
    const char *name;
    const char *help;
    std::uint64_t core::RouterCounts::*total;
};

constexpr std::array totals{
    CountedTotal{"applehatch_requests_total", "Requests received from callers",
                 &core::RouterCounts::received},
    CountedTotal{"applehatch_attempts_total", "Attempts sent to sidecars",
                 &core::RouterCounts::attempts},
    CountedTotal{"applehatch_retries_total", "Attempts after the first of a request",
                 &core::RouterCounts::retries},
    CountedTotal{"applehatch_retries_denied_total", "Safe retries that the budget refused",
                 &core::RouterCounts::retriesDenied},
    CountedTotal{"applehatch_failures_total", "Requests answered with a failure",
                 &core::RouterCounts::failures},
    CountedTotal{"applehatch_warm_total", "Answers that found the chat's context",
                 &core::RouterCounts::warm},
    CountedTotal{"applehatch_resumed_total", "Answers resumed for a caller",
                 &core::RouterCounts::resumed},
};

} // namespace

auto RouterHost::addMetrics() -> void
{
    telemetry::addProcessMetrics(metrics_);
    std::vector<prometheus::Counter *> counters;
    counters.reserve(totals.size());
    for (const auto &total : totals)
        counters.push_back(&metrics_.counter({total.name, total.help}));
    auto &inFlightGauge = metrics_.gauge({"applehatch_in_flight", "Requests of callers in flight"});
    auto &ready = metrics_.gauge({"applehatch_ready", "1 when the balancer may send requests"});
    metrics_.onScrape([this, counters, &inFlightGauge, &ready] {
        const auto counts = node_.read([](const core::RouterNode &node) { return node.counts(); });
        for (std::size_t index = 0; index < totals.size(); ++index)
            telemetry::advanceTo(*counters[index],
                                 static_cast<double>(counts.*totals[index].total));
        inFlightGauge.Set(static_cast<double>(counts.inFlight));
        ready.Set(health().ready() ? 1 : 0);
    });
}

auto RouterHost::adminSource() -> admin::Source
{
    using core::RouterNode;
    admin::Source source;
    source.process = [this] {
        return node_.read([this](const RouterNode &node) {
            return admin::ProcessStatus{options_.file->name,       "router",
                                        options_.file->dataCenter, node.ready(),
                                        node.draining(),           node.counts().inFlight};
        });
    };
    source.settings = [this] {
        return node_.read([](const RouterNode &node) { return node.settings(); });
    };
    source.subtrees = [this] { return feed_.status(); };
    source.load = [this](core::UpstreamId upstream) {
        return node_.read([upstream](const RouterNode &node) {
            return node.loads().find(upstream, telemetry::steadyNow());
        });
    };
    source.poolLoad = [this](const core::Pool &pool) {
        return node_.read([&pool](const RouterNode &node) {
            return node.loads().poolLoad(pool, telemetry::steadyNow());
        });
    };
    source.explain = [this](const std::string &team, const std::string &pool,
                            const std::string &chat, const std::string &contextToken) {
        return node_.read([&](const RouterNode &node) {
            return node.explain(team, pool, chat, contextToken, telemetry::steadyNow());
        });
    };
    source.now = telemetry::steadyNow;
    return source;
}

} // namespace applehatch::router
