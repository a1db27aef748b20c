#include "workload-reader.h"

namespace applehatch::experiment {

namespace {

using settings::joinPath;
using settings::Json;
using settings::Need;
using settings::ObjectReader;
using settings::Report;
using Wholes = settings::Range<std::uint32_t>;
using Reals = settings::Range<double>;

constexpr std::uint32_t mostMilliseconds = 600000;
constexpr std::uint32_t mostTokens = 10000;
constexpr std::uint32_t mostBytes = 1000000;
constexpr std::uint32_t mostChats = 2000; ///< Each has a thread of its own while it lasts.
constexpr std::uint32_t mostPriority = 9;
constexpr std::uint32_t mostSeconds = 3600;
constexpr Reals shareRange{0.0, 1.0};

auto readPriorities(ObjectReader &reader, Report &report, Deployment &into) -> void
{
    const auto *value = reader.object("priorities", Need::Optional);
    if (value == nullptr) {
        return;
    }
    ObjectReader priorities(*value, reader.path("priorities"), report);
    for (const auto &customer : into.customers.items()) {
        std::uint32_t priority = 0;
        priorities.integer(customer.key(), Need::Optional, {0, mostPriority}, priority);
        into.priorities[customer.key()] = static_cast<int>(priority);
    }
    priorities.refuseUnknown();
}

auto readSurge(const Json &value, const std::string &path, Report &report, Deployment &into) -> void
{
    Surge surge;
    ObjectReader reader(value, path, report);
    reader.text("customer", Need::Required, settings::nameRule(), surge.customer);
    reader.number("from", shareRange, surge.from);
    reader.number("until", shareRange, surge.until);
    reader.number("factor", {1.0, 100.0}, surge.factor);
    reader.refuseUnknown();
    if (!surge.customer.empty() && !into.customers.contains(surge.customer)) {
        report.add(reader.path("customer"), "a customer of this plan",
                   settings::describe(surge.customer));
    }
    if (surge.from >= surge.until) {
        report.add(path, "\"from\" before \"until\"", "the contrary");
    }
    into.surges.push_back(surge);
}

} // namespace

auto readCustomers(ObjectReader &root, Report &report, Deployment &into) -> void
{
    const auto *value = root.object("customers", Need::Required);
    if (value == nullptr) {
        return;
    }
    into.customers = Json::object();
    const auto rule = settings::nameRule();
    for (const auto &customer : value->items()) {
        const auto path = joinPath("customers", customer.key());
        if (!rule.accepts(customer.key())) {
            report.add(path, rule.expected, settings::describe(customer.key()));
            continue;
        }
        double weight = 1;
        std::uint32_t limit = 0;
        ObjectReader reader(customer.value(), path, report);
        reader.number("weight", {0.001, 1000.0}, weight);
        reader.integer("inFlightLimit", Need::Optional, {0, 100000}, limit);
        reader.refuseUnknown();
        into.customers[customer.key()] = {{"weight", weight}, {"inFlightLimit", limit}};
    }
    if (into.customers.empty()) {
        report.add("customers", "at least one customer", "none");
    }
}

auto readWorkload(ObjectReader &root, Report &report, Deployment &into) -> void
{
    const auto *value = root.object("workload", Need::Required);
    if (value == nullptr) {
        return;
    }
    ObjectReader reader(*value, "workload", report);
    readWhole(reader, "tokens", Need::Required, {1, mostTokens}, into.tokens);
    readWhole(reader, "contextBytes", Need::Optional, {0, mostBytes}, into.contextBytes);
    readWhole(reader, "chatsAtOnce", Need::Required, {1, mostChats}, into.chatsAtOnce);
    readPause(reader, "shortPauseMs", into.shortPause);
    readPause(reader, "longPauseMs", into.longPause);
    reader.number("longPauseShare", shareRange, into.longPauseShare);
    reader.number("furtherTurn", shareRange, into.furtherTurn);
    readPause(reader, "deadlineMs", into.deadline);
    reader.number("callsPerSecond", {0.0, 100.0}, into.callsPerSecond);
    readPriorities(reader, report, into);
    reader.refuseUnknown();
}

auto readSurges(ObjectReader &root, Report &report, Deployment &into) -> void
{
    readEach(root, "surges", Need::Optional, [&](const Json &item, const std::string &path) {
        readSurge(item, path, report, into);
    });
}

auto readLength(ObjectReader &root, std::chrono::seconds least, std::chrono::seconds &into) -> void
{
    std::uint32_t seconds = 0;
    const Wholes range{static_cast<std::uint32_t>(least.count()), mostSeconds};
    root.integer("seconds", Need::Required, range, seconds);
    into = std::chrono::seconds(seconds);
}

auto readPause(ObjectReader &reader, const std::string &key, milliseconds &into) -> void
{
    settings::Duration value = into;
    reader.milliseconds(key, {0, mostMilliseconds}, value);
    into = std::chrono::duration_cast<milliseconds>(value);
}

auto readEach(ObjectReader &root, const std::string &key, Need need,
              const std::function<void(const Json &, const std::string &)> &read) -> void
{
    const auto *list = root.array(key, need);
    for (std::size_t place = 0; list != nullptr && place < list->size(); ++place) {
        read(list->at(place), joinPath(key, place));
    }
}

} // namespace applehatch::experiment
