#include "load-plan.h"

#include "workload-reader.h"

namespace applehatch::experiment {

namespace {

using settings::Json;
using settings::Need;
using settings::ObjectReader;
using settings::Report;

constexpr std::uint32_t mostRequests = 1000000;
constexpr std::uint32_t mostSeed = 1000000000;

auto readRouters(ObjectReader &root, Report &report, bool allowsOthers, ChatTarget &into) -> void
{
    readEach(root, "routers", Need::Required, [&](const Json &value, const std::string &path) {
        const auto address = value.is_string() ? settings::parseAddress(value, 1) : std::nullopt;
        if (!address) {
            report.add(path, "an address such as \"127.0.0.1:8080\"", settings::describe(value));
        } else if (!allowsOthers && !address->ip.starts_with("127.")) {
            report.add(path, "a loopback address, or \"allowOtherHosts\": true",
                       settings::describe(value));
        } else {
            into.routers.push_back(*address);
        }
    });
}

/// The settings' own rule for models is stricter; a router answers for what it does not serve.
auto modelRule() -> settings::TextRule
{
    constexpr std::size_t longest = 200;
    return {"a model's name of 1 to 200 characters", [](const std::string &text) {
                return !text.empty() && text.size() <= longest && settings::isPrintable(text);
            }};
}

auto readAll(const Json &value, Report &report, LoadPlan &plan) -> void
{
    ObjectReader root(value, "", report);
    auto allowsOthers = false;
    root.flag("allowOtherHosts", allowsOthers);
    readRouters(root, report, allowsOthers, plan.target);
    root.text("team", Need::Required, settings::nameRule(), plan.target.team);
    root.text("model", Need::Required, modelRule(), plan.target.model);
    readWhole(root, "mostRequests", Need::Required, {1, mostRequests}, plan.target.mostRequests);
    readWhole(root, "seed", Need::Optional, {0, mostSeed}, plan.seed);
    readCustomers(root, report, plan.deployment);
    readWorkload(root, report, plan.deployment);
    readSurges(root, report, plan.deployment);
    readLength(root, std::chrono::seconds(1), plan.length);
    root.refuseUnknown();
}

} // namespace

auto parseLoadPlan(const std::string &text) -> LoadPlanResult
{
    auto document = settings::parseDocument(text, mostPlanBytes);
    if (!document.problems.empty()) {
        return {std::nullopt, std::move(document.problems)};
    }
    Report report(std::move(document.locations));
    LoadPlan plan;
    plan.deployment.tokensPerSecond = 20;
    readAll(document.root, report, plan);
    // An empty array gives no element that a problem could be told of.
    if (report.empty() && plan.target.routers.empty()) {
        report.add("routers", "at least one address", "none");
    }
    if (!report.empty()) {
        return {std::nullopt, report.problems()};
    }
    return {std::move(plan), {}};
}

} // namespace applehatch::experiment
