#include "documents.h"

#include <chrono>

namespace applehatch::admin::detail {

namespace {

using nlohmann::json;

auto milliseconds(core::Duration duration) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

auto addressText(const core::Address &address) -> std::string
{
    return address.ip + ':' + std::to_string(address.port);
}

auto stateName(core::UpstreamState state) -> std::string_view
{
    switch (state) {
    case core::UpstreamState::Joining:
        return "joining";
    case core::UpstreamState::Serving:
        return "serving";
    case core::UpstreamState::Leaving:
        return "leaving";
    case core::UpstreamState::Down:
        break;
    }
    return "down";
}

auto stateReason(const std::optional<core::DigestEntry> &entry) -> std::string_view
{
    if (!entry)
        return "its sidecar has not been heard from lately";
    switch (entry->state) {
    case core::UpstreamState::Joining:
        return "its sidecar runs and waits for its upstream";
    case core::UpstreamState::Serving:
        return "its sidecar takes work";
    case core::UpstreamState::Leaving:
        return "it takes no new work and finishes what it has";
    case core::UpstreamState::Down:
        break;
    }
    return "its upstream stopped answering its sidecar";
}

auto memberDocument(const settings::Member &member) -> json
{
    return {{"name", member.name},
            {"dataCenter", member.dataCenter},
            {"slots", member.slots},
            {"sidecar", addressText(member.sidecar)},
            {"digest", addressText(member.digest)},
            {"upstream", addressText(member.upstream)}};
}

auto queueOrderName(settings::QueueOrder order) -> std::string_view
{
    switch (order) {
    case settings::QueueOrder::FirstCome:
        return "first-come";
    case settings::QueueOrder::EarliestDeadline:
        return "earliest-deadline";
    case settings::QueueOrder::DeadlineWithRefusal:
        break;
    }
    return "deadline-with-refusal";
}

auto effectivePool(const core::Pool &pool) -> json
{
    json document{
        {"kind", pool.kind == settings::PoolKind::Model ? "model" : "service"},
        {"loadMultiple", pool.loadMultiple},
        {"queueLimit", pool.queueLimit},
        {"queueWaitMs", milliseconds(pool.queueWait)},
        {"homeWaitMs", milliseconds(pool.maxOwnerWait)},
        {"queueOrder", queueOrderName(pool.queueOrder)},
        {"defaultDeadlineMs", milliseconds(pool.defaultDeadline)},
        {"maxDeadlineMs", milliseconds(pool.maxDeadline)},
        {"resendWindowMs", milliseconds(pool.resendWindow)},
        {"retryBudget", pool.retryBudget},
        {"fencing", pool.fencing == settings::Fencing::Honored ? "honored" : "ignored"},
        {"rolloutWidth", pool.rolloutWidth},
        {"preferOwnDataCenter", pool.preferOwnDataCenter},
        {"members", json::array()},
    };
    if (pool.kind == settings::PoolKind::Model)
        document["models"] = pool.models;
    else
        document["pathPrefix"] = pool.pathPrefix;
    for (const auto &member : pool.members)
        document["members"].push_back(memberDocument(member));
    return document;
}

} // namespace

auto processDocument(const Source &source) -> json
{
    const auto status = source.process();
    const auto settings = source.settings();
    return {{"name", status.name},
            {"role", status.role},
            {"dataCenter", status.dataCenter},
            {"ready", status.ready},
            {"draining", status.draining},
            {"inFlight", status.inFlight},
            {"settingsIndex", settings ? settings->index : 0}};
}

auto subtreeDocument(const core::SubtreeStatus &status, core::Instant now) -> json
{
    return {{"team", status.team},
            {"indexInForce", status.inForce},
            {"inForceForMs", milliseconds(now - status.since)},
            {"indexRefused", status.refused},
            {"problems", problemsDocument(status.problems)}};
}

auto teamDocument(const settings::Team &team) -> json
{
    json document{{"team", team.name},
                  {"index", team.index},
                  {"pools", json::object()},
                  {"customers", json::object()}};
    for (const auto &[name, pool] : team.pools)
        document["pools"][name] = effectivePool(pool);
    for (const auto &[name, customer] : team.customers) {
        document["customers"][name] = {{"weight", customer.weight},
                                       {"inFlightLimit", customer.inFlightLimit}};
    }
    return document;
}

auto poolDocument(const core::Pool &pool, const Source &source) -> json
{
    const auto load = source.poolLoad(pool);
    return {{"pool", pool.name},
            {"kind", pool.kind == settings::PoolKind::Model ? "model" : "service"},
            {"configured", pool.members.size()},
            {"serving", load.members},
            {"load", load.load},
            {"slots", load.slots},
            {"meanPerSlot", load.mean()},
            {"loadMultiple", pool.loadMultiple}};
}

auto upstreamsDocument(const core::Pool &pool, const Source &source) -> json
{
    const auto poolLoad = source.poolLoad(pool);
    auto upstreams = json::array();
    for (const auto &member : pool.members) {
        const auto entry = source.load(member.id);
        json document{{"upstream", member.name},
                      {"dataCenter", member.dataCenter},
                      {"state", entry ? stateName(entry->state) : "unknown"},
                      {"why", stateReason(entry)},
                      {"slots", member.slots},
                      {"bound", core::loadBound(poolLoad, member.slots, pool.loadMultiple)}};
        if (entry) {
            document["running"] = entry->running;
            document["waiting"] = entry->waiting;
            document["ageMs"] = milliseconds(entry->age);
        }
        upstreams.push_back(std::move(document));
    }
    return upstreams;
}

auto candidatesDocument(const std::vector<core::Candidate> &candidates) -> json
{
    auto document = json::array();
    for (const auto &candidate : candidates) {
        document.push_back({{"upstream", candidate.name},
                            {"chosen", candidate.chosen},
                            {"reason", candidate.reason},
                            {"load", candidate.load},
                            {"bound", candidate.bound}});
    }
    return document;
}

auto problemsDocument(const std::vector<settings::Problem> &problems) -> json
{
    auto document = json::array();
    for (const auto &problem : problems) {
        json row{{"path", problem.path}, {"expected", problem.expected}};
        if (problem.line)
            row["line"] = *problem.line;
        document.push_back(std::move(row));
    }
    return document;
}

} // namespace applehatch::admin::detail
