#include "experiment-plan.h"

#include "settings/pool-parser.h"
#include "workload-reader.h"

#include <algorithm>

namespace applehatch::experiment {

namespace {

using settings::joinPath;
using settings::Json;
using settings::Need;
using settings::ObjectReader;
using settings::Report;
using settings::TextRule;
using Wholes = settings::Range<std::uint32_t>;
using Reals = settings::Range<double>;

constexpr std::uint32_t mostProcesses = 60;     ///< Of one kind; a machine runs them all.
constexpr std::chrono::seconds shortestRun{10}; ///< The first three are not measured.
constexpr std::uint32_t mostSlots = 256;
constexpr std::uint32_t mostBytes = 1000000;
constexpr Reals shareRange{0.0, 1.0};

const std::vector<std::string> placements = {"default", "random", "least-of-two", "rendezvous-live",
                                             "consistent-bounded"};

auto oneOf(const std::vector<std::string> &names) -> TextRule
{
    std::string expected = "one of";
    for (const auto &name : names) {
        expected += " \"" + name + "\"";
    }
    return {expected, [names](const std::string &text) {
                return std::find(names.begin(), names.end(), text) != names.end();
            }};
}

auto freeText() -> TextRule
{
    constexpr std::size_t longest = 60;
    return {"a text of 1 to 60 characters", [](const std::string &text) {
                return !text.empty() && text.size() <= longest && settings::isPrintable(text);
            }};
}

/// Names in an array; each is checked by `nameRule`.
auto readNames(ObjectReader &reader, const std::string &key, Need need, Report &report)
    -> std::vector<std::string>
{
    std::vector<std::string> names;
    const auto *list = reader.array(key, need);
    const auto rule = settings::nameRule();
    for (std::size_t place = 0; list != nullptr && place < list->size(); ++place) {
        const auto &value = list->at(place);
        if (value.is_string() && rule.accepts(value.get<std::string>())) {
            names.push_back(value);
        } else {
            report.add(joinPath(reader.path(key), place), rule.expected, settings::describe(value));
        }
    }
    if (list != nullptr && list->empty()) {
        report.add(reader.path(key), "at least one name", "none");
    }
    return names;
}

auto readDeployment(ObjectReader &root, Report &report, Deployment &into) -> void
{
    const auto *value = root.object("deployment", Need::Required);
    if (value == nullptr) {
        return;
    }
    ObjectReader reader(*value, "deployment", report);
    reader.text("name", Need::Required, settings::nameRule(), into.name);
    into.dataCenters = readNames(reader, "dataCenters", Need::Required, report);
    readWhole(reader, "engines", Need::Required, {1, mostProcesses}, into.engines);
    readWhole(reader, "services", Need::Optional, {0, mostProcesses}, into.services);
    readWhole(reader, "routers", Need::Optional, {1, mostProcesses}, into.routers);
    readWhole(reader, "slots", Need::Optional, {1, mostSlots}, into.slots);
    readWhole(reader, "cacheChats", Need::Required, {1, mostBytes}, into.cacheChats);
    readPause(reader, "coldPrefillMs", into.coldPrefill);
    reader.number("tokensPerSecond", {0.1, 10000.0}, into.tokensPerSecond);
    if (const auto *pool = reader.object("pool", Need::Optional)) {
        into.pool.update(*pool);
    }
    reader.refuseUnknown();
}

auto readChurnStep(const Json &value, const std::string &path, Report &report, ExperimentPlan &plan)
    -> void
{
    ChurnStep step;
    std::string kind;
    std::vector<std::string> kinds;
    for (const auto &[name, known] : churnKinds()) {
        kinds.push_back(name);
    }
    ObjectReader reader(value, path, report);
    reader.number("at", shareRange, step.at);
    reader.text("kind", Need::Required, oneOf(kinds), kind);
    reader.refuseUnknown();
    if (const auto found = churnKinds().find(kind); found != churnKinds().end()) {
        step.kind = found->second;
        plan.churn.push_back(step);
    }
}

auto readVariant(const Json &value, const std::string &path, Report &report, ExperimentPlan &plan)
    -> void
{
    Variant variant;
    ObjectReader reader(value, path, report);
    reader.text("name", Need::Required, freeText(), variant.name);
    reader.text("placement", Need::Optional, oneOf(placements), variant.placement);
    reader.flag("echoToken", variant.echoToken);
    if (const auto *pool = reader.object("pool", Need::Optional)) {
        variant.pool = *pool;
    }
    reader.refuseUnknown();
    plan.variants.push_back(variant);
}

auto readSeeds(ObjectReader &root, Report &report, ExperimentPlan &plan) -> void
{
    readEach(root, "seeds", Need::Required, [&](const Json &value, const std::string &path) {
        if (value.is_number_unsigned()) {
            plan.seeds.push_back(value.get<std::uint64_t>());
        } else {
            report.add(path, "a whole number from 0", settings::describe(value));
        }
    });
}

/// A name twice would put two variants into one row of the report.
auto checkVariants(const ExperimentPlan &plan, Report &report) -> void
{
    if (plan.variants.empty()) {
        report.add("variants", "at least one variant", "none");
    }
    for (std::size_t place = 0; place < plan.variants.size(); ++place) {
        const auto &name = plan.variants[place].name;
        const auto same = [&name](const Variant &variant) { return variant.name == name; };
        const auto first = std::find_if(plan.variants.begin(), plan.variants.end(), same);
        if (first - plan.variants.begin() < static_cast<std::ptrdiff_t>(place)) {
            report.add(joinPath("variants", place) + ".name", "a name of its own",
                       settings::describe(name));
        }
    }
}

/// The product's own checker reads each pool, so that a plan's settings are refused here as a
/// team's would be. False when it found a problem.
auto checkPool(const Json &pool, const std::string &path, Report &report) -> bool
{
    const auto before = report.problems().size();
    for (const auto *key : poolKeysOfFleet) {
        if (pool.contains(key)) {
            report.add(joinPath(joinPath(path, "pool"), key), "no such key in a plan",
                       settings::describe(pool.at(key)));
            return false;
        }
    }
    const Json member = {{"name", "engine-1"},
                         {"dataCenter", "a"},
                         {"sidecar", "127.0.0.1:1"},
                         {"digest", "127.0.0.1:2"},
                         {"upstream", "127.0.0.1:3"}};
    Json whole = {{"kind", "model"}, {"models", {"model"}}, {"members", {member}}};
    whole.update(pool);
    (void)settings::parsePools("team", {{"pool", whole}}, path, report);
    return report.problems().size() == before;
}

auto checkPools(const ExperimentPlan &plan, Report &report) -> void
{
    if (!checkPool(plan.deployment.pool, "deployment", report)) {
        return;
    }
    for (std::size_t place = 0; place < plan.variants.size(); ++place) {
        auto pool = plan.deployment.pool;
        pool.update(plan.variants[place].pool);
        (void)checkPool(pool, joinPath("variants", place), report);
    }
}

auto readAll(const Json &value, Report &report, ExperimentPlan &plan) -> void
{
    ObjectReader root(value, "", report);
    auto &deployment = plan.deployment;
    readDeployment(root, report, deployment);
    readCustomers(root, report, deployment);
    readWorkload(root, report, deployment);
    readSurges(root, report, deployment);
    readEach(root, "churn", Need::Optional, [&](const Json &item, const std::string &path) {
        readChurnStep(item, path, report, plan);
    });
    readEach(root, "variants", Need::Required, [&](const Json &item, const std::string &path) {
        readVariant(item, path, report, plan);
    });
    readSeeds(root, report, plan);
    readLength(root, shortestRun, plan.length);
    root.refuseUnknown();
    // Each step has an engine of its own; two at one engine would undo each other.
    if (deployment.engines > 0 && plan.churn.size() > deployment.engines) {
        report.add("churn", "no more steps than engines", std::to_string(plan.churn.size()));
    }
    checkVariants(plan, report);
    checkPools(plan, report);
}

} // namespace

auto parsePlan(const std::string &text) -> ExperimentPlanResult
{
    auto document = settings::parseDocument(text, mostPlanBytes);
    if (!document.problems.empty()) {
        return {std::nullopt, std::move(document.problems)};
    }
    Report report(std::move(document.locations));
    ExperimentPlan plan;
    plan.deployment.services = 0;
    plan.deployment.tokensPerSecond = 20;
    plan.deployment.pool = {{"loadMultiple", 1.25}};
    readAll(document.root, report, plan);
    if (!report.empty()) {
        return {std::nullopt, report.problems()};
    }
    return {std::move(plan), {}};
}

} // namespace applehatch::experiment
