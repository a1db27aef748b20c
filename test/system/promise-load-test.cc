#include "system/promise-traffic.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cmath>

namespace {

using namespace applehatch;
using namespace system_test;
using namespace std::chrono_literals;
using experiment::eventually;

constexpr std::size_t engines = 6;
constexpr std::size_t routers = 4;
constexpr auto slots = 32U;
constexpr auto multiple = 1.25;
constexpr std::size_t quietCallers = 4;
constexpr std::size_t surge = 10;
/// After this long an upstream that leaves must get no new work.
constexpr std::int64_t leaveLimitMs = 5000;

/// Slots are plenty, so that only the bound keeps an engine from taking everything.
auto loadFleet() -> experiment::FleetOptions
{
    experiment::FleetOptions options;
    options.engines = engines;
    options.routers = routers;
    options.slots = slots;
    options.tokensPerSecond = 50;
    options.engineFlags = {"--threads=100"};
    options.pool = {{"loadMultiple", multiple}};
    return options;
}

/// The load of the pool just after one run began.
struct LoadSample
{
    std::int64_t atMs = 0;
    std::string engine;                       ///< Where the run began.
    std::map<std::string, std::size_t> loads; ///< Runs under way by engine.

    [[nodiscard]] auto total(const std::vector<std::string> &names) const -> std::size_t
    {
        std::size_t sum = 0;
        for (const auto &name : names) {
            const auto found = loads.find(name);
            sum += found == loads.end() ? 0 : found->second;
        }
        return sum;
    }
};

/// One sample for each start of a run. They are computed from the engines' run intervals once all
/// is over, so no surge falls between two polls. A run that ends never begins a sample: when the
/// others of a pool finish, an engine's share rises without any decision of the fleet.
auto samplesOf(const Fleet &fleet) -> std::vector<LoadSample>
{
    auto entries = fleet.runs();
    std::stable_sort(entries.begin(), entries.end(),
                     [](const auto &left, const auto &right) { return left.atMs < right.atMs; });
    std::vector<LoadSample> samples;
    std::map<std::string, std::size_t> loads;
    for (const auto &entry : entries) {
        if (entry.operation == "end") {
            --loads[entry.upstream];
            continue;
        }
        ++loads[entry.upstream];
        samples.push_back({entry.atMs, entry.upstream, loads});
    }
    return samples;
}

/// How old the load that a decision rests on may be: members exchange what they know once a second,
/// and an entry reaches all of a small pool in a few exchanges.
constexpr std::int64_t evidenceAgeMs = 3000;

/// For each sample, the most that its pool may have been thought to carry. A decision knows each
/// member's load as of some moment of the last seconds, not all of one moment, so the most of each
/// member within that time counts.
class HeardLoad
{
public:
    explicit HeardLoad(const std::vector<LoadSample> &samples)
        : samples_(samples)
    { }

    [[nodiscard]] auto total(std::size_t number, const std::vector<std::string> &names) const
        -> std::size_t
    {
        std::map<std::string, std::size_t> most;
        const auto since = samples_[number].atMs - evidenceAgeMs;
        for (auto sample = number + 1; sample-- > 0 && samples_[sample].atMs >= since;) {
            for (const auto &[name, load] : samples_[sample].loads) {
                most[name] = std::max(most[name], load);
            }
        }
        return LoadSample{0, {}, most}.total(names);
    }

private:
    const std::vector<LoadSample> &samples_;
};

/// All engines have the same slots, so `multiple x mean x slots` is a multiple of the mean count.
auto boundOf(std::size_t total, std::size_t members) -> std::size_t
{
    const auto mean = static_cast<double>(total) / static_cast<double>(members);
    return static_cast<std::size_t>(std::ceil(multiple * mean));
}

/// The largest bound over the pools made of `left` and any of `leaving`.
auto largestBound(const HeardLoad &heard, std::size_t sample, const std::vector<std::string> &left,
                  const std::vector<std::string> &leaving) -> std::size_t
{
    std::size_t largest = 0;
    for (std::size_t subset = 0; subset < std::size_t{1} << leaving.size(); ++subset) {
        auto counted = left;
        for (std::size_t number = 0; number < leaving.size(); ++number) {
            if ((subset >> number & 1U) != 0) {
                counted.push_back(leaving[number]);
            }
        }
        largest = std::max(largest, boundOf(heard.total(sample, counted), counted.size()));
    }
    return largest;
}

auto describe(const LoadSample &sample, std::size_t bound) -> std::string
{
    std::string text = sample.engine + " above " + std::to_string(bound) + " at "
        + std::to_string(sample.atMs) + ":";
    for (const auto &[name, load] : sample.loads) {
        text += " " + name + "=" + std::to_string(load);
    }
    return text;
}

auto namesOf(Fleet &fleet, std::size_t from, std::size_t to = engines) -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (auto number = from; number < to; ++number) {
        names.push_back(fleet.engine(number).name);
    }
    return names;
}

auto askRouter(Fleet &fleet, std::size_t router, const std::string &path) -> nlohmann::json
{
    const auto answer = experiment::call(fleet.router(router).admin,
                                         {"GET",
                                          "/admin/v1/teams/ledgerworks/pools/drafting/" + path,
                                          {{"Authorization", "Bearer operator-token"}},
                                          {}});
    return nlohmann::json::parse(answer.body, nullptr, false);
}

auto homeOf(Fleet &fleet, const std::string &chat) -> std::string
{
    const auto answer = askRouter(fleet, 0, "explain?chat=" + chat);
    for (const auto &candidate : answer.at("candidates")) {
        if (candidate.value("chosen", false)) {
            return candidate.value("upstream", "");
        }
    }
    return {};
}

/// Chats whose home is the last engine, one for each caller; asked for while nothing runs.
auto chatsOfOneHome(Fleet &fleet) -> std::vector<std::string>
{
    const auto home = fleet.engine(engines - 1).name;
    std::vector<std::string> chats;
    for (auto number = 0; chats.size() < quietCallers * surge; ++number) {
        const auto chat = "chat-" + std::to_string(number);
        if (homeOf(fleet, chat) == home) {
            chats.push_back(chat);
        }
    }
    return chats;
}

auto chatOf(Fleet &fleet, const std::vector<std::string> &chats) -> Traffic::Request
{
    return [&fleet, &chats](std::size_t caller, std::size_t turn) {
        const auto mark = std::to_string(caller) + "/" + std::to_string(turn);
        return with(fleet.chat(mark, 40), "Applehatch-Chat", chats.at(caller));
    };
}

auto inTurn(std::size_t caller, std::size_t turn) -> std::size_t
{
    return (caller + turn) % routers;
}

/// No promise to a caller is broken; tells how many were turned away.
auto expectPlain(Fleet &fleet, const History &history) -> void
{
    for (const auto &violation : history.violations(fleet)) {
        BOOST_ERROR(violation);
    }
    BOOST_TEST_MESSAGE(history.whole() << " of " << history.size() << " whole");
    for (const auto &[problem, count] : history.problems()) {
        BOOST_TEST_MESSAGE(count << " times " << problem);
    }
}

auto startsSince(const Fleet &fleet, std::int64_t since) -> std::ptrdiff_t
{
    const auto runs = fleet.runs();
    return std::count_if(runs.begin(), runs.end(), [since](const auto &run) {
        return run.operation == "start" && run.atMs > since;
    });
}

auto startsAt(const Fleet &fleet, const std::string &engine, std::int64_t since) -> std::ptrdiff_t
{
    const auto runs = fleet.runs();
    return std::count_if(runs.begin(), runs.end(), [&](const auto &run) {
        return run.operation == "start" && run.atMs > since && run.upstream == engine;
    });
}

/// The most upstreams that any router has in its pool.
auto upstreamsListed(Fleet &fleet) -> std::size_t
{
    std::size_t listed = 0;
    for (std::size_t number = 0; number < routers; ++number) {
        const auto list = askRouter(fleet, number, "upstreams");
        listed = std::max(listed, list.is_array() ? list.size() : engines + 1);
    }
    return listed;
}

} // namespace

BOOST_AUTO_TEST_SUITE(promise_load)

// A large customer sends ten times what it sent a second ago, in chats that all live on one
// engine, and each router sees only a part of that. That engine would be buried while others idle,
// and everybody whose chat is there would wait.
BOOST_AUTO_TEST_CASE(a_surge_through_many_routers_stays_under_the_bound)
{
    Fleet fleet(loadFleet());
    const auto chats = chatsOfOneHome(fleet);
    Traffic traffic(fleet, chatOf(fleet, chats), inTurn);
    traffic.add(quietCallers);
    BOOST_TEST(eventually([&] { return startsSince(fleet, 0) > 10; }));
    const auto surgeMs = steadyMs();
    traffic.add(quietCallers * (surge - 1));
    BOOST_TEST(eventually([&] { return startsSince(fleet, surgeMs) > 200; }));
    traffic.finish();
    const auto all = namesOf(fleet, 0);
    std::size_t largest = 0;
    const auto samples = samplesOf(fleet);
    const HeardLoad heard(samples);
    for (std::size_t number = 0; number < samples.size(); ++number) {
        const auto &sample = samples[number];
        const auto bound = boundOf(heard.total(number, all), engines);
        largest = std::max(largest, sample.total(all));
        if (sample.loads.at(sample.engine) > bound) {
            BOOST_ERROR(describe(sample, bound));
        }
    }
    BOOST_TEST(largest > quietCallers * surge / 2);
    expectPlain(fleet, traffic.history());
}

// Half of a pool's hosts are taken away at the busiest hour. What they ran comes to the others at
// once, each of which must get its share and no more, and the leaving ones must get nothing.
BOOST_AUTO_TEST_CASE(half_the_engines_leaving_at_once_bury_none_of_the_others)
{
    Fleet fleet(loadFleet());
    const auto chats = chatsOfOneHome(fleet);
    Traffic traffic(fleet, chatOf(fleet, chats), inTurn);
    traffic.add(quietCallers * surge);
    BOOST_TEST(eventually([&] { return startsSince(fleet, 0) > 60; }));
    const auto leaveMs = steadyMs();
    constexpr auto gone = engines / 2;
    for (std::size_t number = 0; number < gone; ++number) {
        fleet.platform().setHost(fleet.engine(number).ip, core::HostState::Leaving);
    }
    const auto settledMs = leaveMs + leaveLimitMs;
    BOOST_TEST(eventually([&] { return startsSince(fleet, settledMs) > 60; }, 15000ms));
    traffic.finish();
    const auto all = namesOf(fleet, 0);
    const auto left = namesOf(fleet, gone);
    const auto samples = samplesOf(fleet);
    const HeardLoad heard(samples);
    for (std::size_t number = 0; number < samples.size(); ++number) {
        const auto &sample = samples[number];
        // The leaving engines are heard of one by one, so until all are, a mean may count any of
        // them.
        const auto before = boundOf(heard.total(number, all), engines);
        const auto after = boundOf(heard.total(number, left), engines - gone);
        const auto between = largestBound(heard, number, left, namesOf(fleet, 0, gone));
        const auto bound = sample.atMs < leaveMs ? before
            : sample.atMs < settledMs            ? between
                                                 : after;
        if (sample.loads.at(sample.engine) > bound) {
            BOOST_ERROR(describe(sample, bound));
        }
        if (sample.atMs > settledMs
            && std::find(left.begin(), left.end(), sample.engine) == left.end()) {
            BOOST_ERROR("new work at the leaving " + sample.engine);
        }
    }
    expectPlain(fleet, traffic.history());
}

// An engine joins a busy pool and is the home of every chat that is under way. Each router finds it
// the best choice at the same moment; sent everything, it would be slower than the rest.
BOOST_AUTO_TEST_CASE(an_engine_that_joins_empty_is_not_flooded)
{
    Fleet fleet(loadFleet());
    auto &joining = fleet.engine(engines - 1);
    const auto chats = chatsOfOneHome(fleet);
    fleet.publish({joining.name});
    Traffic traffic(fleet, chatOf(fleet, chats), inTurn);
    BOOST_TEST(eventually([&] { return upstreamsListed(fleet) == engines - 1; }));
    traffic.add(quietCallers * surge);
    BOOST_TEST(eventually([&] { return startsSince(fleet, 0) > 100; }));
    const auto joinMs = steadyMs();
    fleet.publish();
    BOOST_TEST(eventually([&] { return startsAt(fleet, joining.name, joinMs) > 30; }, 15000ms));
    traffic.finish();
    const auto all = namesOf(fleet, 0);
    std::size_t most = 0;
    const auto samples = samplesOf(fleet);
    const HeardLoad heard(samples);
    for (std::size_t number = 0; number < samples.size(); ++number) {
        const auto &sample = samples[number];
        if (sample.atMs < joinMs || sample.engine != joining.name) {
            continue;
        }
        const auto bound = boundOf(heard.total(number, all), engines);
        most = std::max(most, sample.loads.at(joining.name));
        if (sample.loads.at(joining.name) > bound) {
            BOOST_ERROR(describe(sample, bound));
        }
    }
    BOOST_TEST_MESSAGE("most at the joining engine: " << most);
    expectPlain(fleet, traffic.history());
}

BOOST_AUTO_TEST_SUITE_END()
