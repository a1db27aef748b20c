#include "pool-parser.h"

#include "limits.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace applehatch::settings {

namespace {

constexpr std::size_t maxModelNameLength = 200;
constexpr std::size_t maxPathPrefixLength = 200;

template <typename Value>
struct Choice
{
    const char *name;
    Value value;
};

constexpr std::array kinds{Choice<PoolKind>{"model", PoolKind::Model},
                           Choice<PoolKind>{"service", PoolKind::Service}};

constexpr std::array fencings{Choice<Fencing>{"honored", Fencing::Honored},
                              Choice<Fencing>{"ignored", Fencing::Ignored}};

constexpr std::array queueOrders{
    Choice<QueueOrder>{"first-come", QueueOrder::FirstCome},
    Choice<QueueOrder>{"earliest-deadline", QueueOrder::EarliestDeadline},
    Choice<QueueOrder>{"deadline-with-refusal", QueueOrder::DeadlineWithRefusal}};

template <typename Choices, typename Value>
auto readChoice(ObjectReader &reader, const std::string &key, Need need, const Choices &choices,
                Value &into) -> void
{
    const auto byName = [&choices](const std::string &name) {
        return std::find_if(choices.begin(), choices.end(),
                            [&name](const auto &choice) { return choice.name == name; });
    };
    std::string expected = "one of";
    for (const auto &choice : choices) {
        expected += std::string(expected == "one of" ? " \"" : ", \"") + choice.name + '"';
    }
    std::string name;
    const auto accepts = [&](const std::string &text) { return byName(text) != choices.end(); };
    reader.text(key, need, {expected, accepts}, name);
    if (!name.empty()) {
        into = byName(name)->value;
    }
}

auto prefixRule() -> TextRule
{
    return {"a path of up to 200 letters, digits and \"-._~/\" that begins but does not end with a "
            "slash",
            [](const std::string &text) {
                static constexpr std::string_view marks = "-._~/";
                const auto allowed = [](unsigned char letter) {
                    return std::isalnum(letter) != 0
                        || marks.find(static_cast<char>(letter)) != std::string_view::npos;
                };
                return text.size() > 1 && text.size() <= maxPathPrefixLength && text.front() == '/'
                    && text.back() != '/' && text.find("//") == std::string::npos
                    && text.find("/.") == std::string::npos
                    && std::all_of(text.begin(), text.end(), allowed);
            }};
}

/// Model names are used in paths of the weight store.
auto isModelName(const std::string &text) -> bool
{
    static constexpr std::string_view marks = "-._/:@+";
    return !text.empty() && text.size() <= maxModelNameLength && text.front() != '/'
        && text.find("..") == std::string::npos
        && std::all_of(text.begin(), text.end(), [](unsigned char letter) {
               return std::isalnum(letter) != 0
                   || marks.find(static_cast<char>(letter)) != std::string_view::npos;
           });
}

/// Returns whether one path equals or contains the other, compared by whole segments.
auto overlap(const std::string &left, const std::string &right) -> bool
{
    const auto &shorter = left.size() <= right.size() ? left : right;
    const auto &longer = left.size() <= right.size() ? right : left;
    return longer.compare(0, shorter.size(), shorter) == 0
        && (longer.size() == shorter.size() || longer[shorter.size()] == '/');
}

/// Reads the pools of one team and tracks the values that must be unique within the team.
class PoolParser
{
public:
    PoolParser(std::string team, Report &report)
        : team_(std::move(team))
        , report_(report)
    { }

    auto parse(const std::string &name, const Json &value, const std::string &path) -> Pool
    {
        ObjectReader reader(value, path, report_);
        Pool pool;
        pool.team = team_;
        pool.name = name;
        if (!reader.usable()) {
            return pool;
        }
        readChoice(reader, "kind", Need::Required, kinds, pool.kind);
        readRouting(reader, pool);
        readPolicy(reader, pool);
        readMembers(reader, pool);
        reader.refuseUnknown();
        return pool;
    }

private:
    /// Reads the keys by which requests are routed to the pool: models or a path prefix.
    auto readRouting(ObjectReader &reader, Pool &pool) -> void
    {
        if (pool.kind == PoolKind::Model) {
            readModels(reader, pool);
            if (reader.has("pathPrefix")) {
                reader.refuse("pathPrefix", "no pathPrefix for a pool of models");
            }
            return;
        }
        reader.text("pathPrefix", Need::Required, prefixRule(), pool.pathPrefix);
        addPathPrefix(reader, pool.pathPrefix);
        if (reader.has("models")) {
            reader.refuse("models", "no models for a pool of plain services");
        }
    }

    auto readModels(ObjectReader &reader, Pool &pool) -> void
    {
        const auto *models = reader.array("models", Need::Required);
        if (models == nullptr) {
            return;
        }
        if (models->empty()) {
            reader.refuse("models", "at least one model");
        }
        for (std::size_t i = 0; i < models->size(); ++i) {
            readModel(models->at(i), joinPath(reader.path("models"), i), pool);
        }
    }

    auto readModel(const Json &value, const std::string &path, Pool &pool) -> void
    {
        if (!value.is_string() || !isModelName(value.get_ref<const std::string &>())) {
            report_.add(path, "a model name of 1 to 200 letters, digits and \"-._/:@+\"",
                        describe(value));
            return;
        }
        const auto model = value.get<std::string>();
        requireUnique(models_, model, path, "a model held by one pool only");
        pool.models.push_back(model);
    }

    /// With overlapping prefixes it would be arbitrary which pool receives a request, such as the
    /// booking of a job.
    auto addPathPrefix(ObjectReader &reader, const std::string &prefix) -> void
    {
        if (prefix.empty()) {
            return;
        }
        const auto path = reader.path("pathPrefix");
        for (const auto *own : {"/v1/chat/completions", "/v1/answers", "/v1/tickets", "/health"}) {
            if (overlap(prefix, own)) {
                report_.add(path, std::string("a path apart from the router's own ") + own,
                            describe(prefix));
                break;
            }
        }
        for (const auto &[other, otherPath] : prefixes_) {
            if (overlap(prefix, other)) {
                report_.add(path, "a path apart from other pools",
                            describe(prefix) + ", which overlaps " + otherPath);
            }
        }
        prefixes_.emplace(prefix, path);
    }

    static auto readPolicy(ObjectReader &reader, Pool &pool) -> void
    {
        reader.number("loadMultiple", loadMultipleRange, pool.loadMultiple);
        reader.integer("queueLimit", Need::Optional, {0, maxQueueLimit}, pool.queueLimit);
        reader.milliseconds("queueWaitMs", {0, maxDeadlineMs}, pool.queueWait);
        reader.milliseconds("homeWaitMs", {0, maxDeadlineMs}, pool.maxOwnerWait);
        readChoice(reader, "queueOrder", Need::Optional, queueOrders, pool.queueOrder);
        reader.milliseconds("defaultDeadlineMs", {1, maxDeadlineMs}, pool.defaultDeadline);
        reader.milliseconds("maxDeadlineMs", {1, maxDeadlineMs}, pool.maxDeadline);
        if (pool.defaultDeadline > pool.maxDeadline) {
            reader.refuse("defaultDeadlineMs", "at most maxDeadlineMs");
        }
        reader.milliseconds("resendWindowMs", {1, maxWindowMs}, pool.resendWindow);
        reader.number("retryBudget", retryBudgetRange, pool.retryBudget);
        readChoice(reader, "fencing", Need::Optional, fencings, pool.fencing);
        reader.integer("rolloutWidth", Need::Optional, {1, maxRolloutWidth}, pool.rolloutWidth);
        reader.flag("preferOwnDataCenter", pool.preferOwnDataCenter);
    }

    auto readMembers(ObjectReader &reader, Pool &pool) -> void
    {
        const auto *members = reader.array("members", Need::Required);
        if (members == nullptr) {
            return;
        }
        if (members->empty()) {
            reader.refuse("members", "at least one member");
        }
        std::map<std::string, std::string> names;
        for (std::size_t i = 0; i < members->size(); ++i) {
            const auto path = joinPath(reader.path("members"), i);
            ObjectReader member(members->at(i), path, report_);
            pool.members.push_back(readMember(member, pool.name));
            requireUnique(names, pool.members.back().name, member.path("name"),
                          "a name that no other member of the pool has");
        }
    }

    auto readMember(ObjectReader &reader, const std::string &pool) -> Member
    {
        Member member;
        reader.text("name", Need::Required, nameRule(), member.name);
        reader.text("dataCenter", Need::Required, nameRule(), member.dataCenter);
        reader.integer("slots", Need::Optional, {1, maxSlots}, member.slots);
        readAddress(reader, "sidecar", tcpAddresses_, member.sidecar);
        readAddress(reader, "digest", udpAddresses_, member.digest);
        readAddress(reader, "upstream", tcpAddresses_, member.upstream);
        reader.refuseUnknown();
        member.id = upstreamId(team_, pool, member.name);
        return member;
    }

    /// Requires addresses to be unique: a second sidecar could not bind an address in use.
    auto readAddress(ObjectReader &reader, const std::string &key,
                     std::map<std::string, std::string> &taken, Address &into) -> void
    {
        reader.address(key, Need::Required, 1, into);
        const auto text = into.ip.empty() ? "" : into.ip + ':' + std::to_string(into.port);
        requireUnique(taken, text, reader.path(key),
                      "an address that nothing else in the team has");
    }

    auto requireUnique(std::map<std::string, std::string> &taken, const std::string &value,
                       const std::string &path, const std::string &expected) -> void
    {
        if (value.empty()) {
            return;
        }
        const auto [first, added] = taken.emplace(value, path);
        if (!added) {
            report_.add(path, expected, describe(value) + " at " + first->second + " already");
        }
    }

    std::string team_;
    Report &report_;
    std::map<std::string, std::string> models_;       ///< Model to the path of its key.
    std::map<std::string, std::string> prefixes_;     ///< Path prefix to the path of its key.
    std::map<std::string, std::string> tcpAddresses_; ///< TCP address to the path of its key.
    std::map<std::string, std::string> udpAddresses_; ///< UDP address to the path of its key.
};

} // namespace

auto parsePools(const std::string &team, const Json &pools, const std::string &path, Report &report)
    -> std::map<std::string, Pool>
{
    PoolParser parser(team, report);
    const auto rule = nameRule();
    std::map<std::string, Pool> parsed;
    for (const auto &[name, value] : pools.items()) {
        const auto childPath = joinPath(path, name);
        if (!rule.accepts(name)) {
            report.add(childPath, rule.expected, describe(name));
        }
        parsed.emplace(name, parser.parse(name, value, childPath));
    }
    return parsed;
}

} // namespace applehatch::settings
