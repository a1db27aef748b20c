#include "measures-workload.h"

#include "applehatch/emulator/upstream-server.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <mutex>
#include <numeric>
#include <random>
#include <stdexcept>
#include <thread>

namespace applehatch::experiment {

namespace {

using nlohmann::json;

constexpr milliseconds shortestPause{300};
constexpr milliseconds rampUp{3000};
constexpr int mostSends = 4;
constexpr milliseconds shortestRetry{200};
constexpr milliseconds longestRetry{1000};
constexpr milliseconds answerLimit{30000};

auto readExample(const std::string &name) -> json
{
    std::ifstream file("examples/" + name + ".jsonc");
    auto document = json::parse(file, nullptr, false, true);
    if (!document.is_object()) {
        throw std::runtime_error("no settings for the deployment " + name);
    }
    return document;
}

auto takeSettings(Deployment &deployment, const std::string &poolName) -> void
{
    const auto example = readExample(deployment.name);
    deployment.customers = example.at("customers");
    deployment.pool = policyOf(example.at("pools").at(poolName));
}

auto exponential(std::mt19937_64 &random, milliseconds meanTime) -> milliseconds
{
    const auto mean = std::max(1.0, static_cast<double>(meanTime.count()));
    return milliseconds(static_cast<int>(std::exponential_distribution<double>(1 / mean)(random)));
}

auto unit(std::mt19937_64 &random) -> double
{
    return std::uniform_real_distribution<double>(0, 1)(random);
}

auto pauseOf(const Deployment &deployment, std::mt19937_64 &random) -> milliseconds
{
    const auto isLong = unit(random) < deployment.longPauseShare;
    return shortestPause
        + exponential(random, isLong ? deployment.longPause : deployment.shortPause);
}

class Planner
{
public:
    Planner(const Deployment &deployment, milliseconds length, std::uint64_t seed)
        : deployment_(deployment)
        , length_(length)
        , random_(seed)
    {
        for (const auto &customer : deployment.customers.items()) {
            customers_.push_back(customer.key());
            shares_.push_back(customer.value().at("weight"));
        }
    }

    auto plan() -> std::vector<ChatPlan>
    {
        for (std::size_t place = 0; place < deployment_.chatsAtOnce; ++place) {
            addSuccession(pickCustomer(), scaled(rampUp, unit(random_)), length_);
        }
        for (std::size_t number = 0; number < customers_.size(); ++number) {
            for (const auto &surge : deployment_.surges) {
                if (surge.customer == customers_[number]) {
                    addSurge(number, surge);
                }
            }
        }
        return std::move(chats_);
    }

private:
    static auto scaled(milliseconds time, double share) -> milliseconds
    {
        return milliseconds(static_cast<std::int64_t>(static_cast<double>(time.count()) * share));
    }

    auto pickCustomer() -> std::size_t
    {
        return std::discrete_distribution<std::size_t>(shares_.begin(), shares_.end())(random_);
    }

    // One chat after another, so that about as many are under way at any time.
    auto addSuccession(std::size_t customer, milliseconds from, milliseconds until) -> void
    {
        while (from < until) {
            ChatPlan chat;
            chat.name = "chat-" + std::to_string(chats_.size());
            chat.customer = customers_[customer];
            chat.start = from;
            chat.seed = random_();
            auto over = from + answerTime();
            while (unit(random_) < deployment_.furtherTurn && over < until) {
                chat.pauses.push_back(pauseOf(deployment_, random_));
                over += chat.pauses.back() + answerTime();
            }
            chats_.push_back(std::move(chat));
            from = over + pauseOf(deployment_, random_);
        }
    }

    auto addSurge(std::size_t customer, const Surge &surge) -> void
    {
        const auto all = std::accumulate(shares_.begin(), shares_.end(), 0.0);
        const auto usual = static_cast<double>(deployment_.chatsAtOnce) * shares_[customer] / all;
        const auto extra = static_cast<std::size_t>(usual * (surge.factor - 1));
        for (std::size_t place = 0; place < extra; ++place) {
            addSuccession(customer,
                          scaled(length_, surge.from) + scaled(shortestPause, unit(random_)),
                          scaled(length_, surge.until));
        }
    }

    [[nodiscard]] auto answerTime() const -> milliseconds
    {
        constexpr double thousand = 1000;
        const auto tokens = static_cast<double>(deployment_.tokens);
        return milliseconds(static_cast<int>(thousand * tokens / deployment_.tokensPerSecond));
    }

    const Deployment &deployment_;
    milliseconds length_;
    std::mt19937_64 random_;
    std::vector<std::string> customers_;
    std::vector<double> shares_; ///< Of use, as their weights.
    std::vector<ChatPlan> chats_;
};

auto nowMs() -> std::int64_t
{
    return emulator::clockMs(Clock::now());
}

auto retryAfter(const CallerAnswer &answer) -> milliseconds
{
    const auto seconds = std::atoi(answer.header("Retry-After").c_str());
    return std::clamp(milliseconds(std::chrono::seconds(seconds)), shortestRetry, longestRetry);
}

/// Requests that may still be sent, for all callers together.
class SendBudget
{
public:
    explicit SendBudget(std::size_t most)
        : left_(most)
    { }

    /// False when none is left.
    auto take() -> bool
    {
        auto left = left_.load();
        while (left > 0 && !left_.compare_exchange_weak(left, left - 1)) { }
        return left > 0;
    }

private:
    std::atomic<std::size_t> left_;
};

/// One chat's caller, on a thread of its own.
class ChatCaller
{
public:
    ChatCaller(const ChatTarget &target, SendBudget &budget, const Deployment &deployment,
               const ChatPlan &plan, bool echoToken, Clock::time_point end)
        : target_(target)
        , budget_(budget)
        , deployment_(deployment)
        , plan_(plan)
        , echoToken_(echoToken)
        , end_(end)
        , random_(plan.seed)
    { }

    auto run(Clock::time_point begin) -> std::vector<Turn>
    {
        std::this_thread::sleep_until(begin + plan_.start);
        for (std::size_t number = 0; number <= plan_.pauses.size(); ++number) {
            const auto next =
                Clock::now() + (number > 0 ? plan_.pauses[number - 1] : milliseconds(0));
            if (next >= end_) {
                break;
            }
            std::this_thread::sleep_until(next);
            const auto turn = take(number);
            const auto wasSent = turn.answered || turn.refusals > 0;
            if (wasSent) {
                turns_.push_back(turn);
            }
            if (!turn.answered) {
                break;
            }
        }
        return std::move(turns_);
    }

private:
    auto request(std::size_t number) const -> CallerRequest
    {
        const auto mark = plan_.name + " turn " + std::to_string(number) + " "
            + std::string(deployment_.contextBytes, 'x');
        CallerRequest request;
        request.headers = {{"Applehatch-Customer", target_.team + "/" + plan_.customer},
                           {"Content-Type", "application/json"},
                           {"Applehatch-Chat", plan_.name}};
        request.body = json{{"model", target_.model},
                            {"stream", true},
                            {"max_tokens", deployment_.tokens},
                            {"messages", {{{"role", "user"}, {"content", mark}}}}}
                           .dump();
        if (deployment_.deadline.count() > 0) {
            request.headers.emplace_back("Applehatch-Deadline-Ms",
                                         std::to_string(deployment_.deadline.count()));
        }
        if (const auto found = deployment_.priorities.find(plan_.customer);
            found != deployment_.priorities.end()) {
            request.headers.emplace_back("Applehatch-Priority", std::to_string(found->second));
        }
        if (echoToken_ && !token_.empty()) {
            request.headers.emplace_back("Applehatch-Context", token_);
        }
        return request;
    }

    auto take(std::size_t number) -> Turn
    {
        const auto asked = request(number);
        Turn turn;
        turn.chat = plan_.name;
        turn.customer = plan_.customer;
        const auto begin = Clock::now();
        turn.bodyHash = emulator::hex(core::stableHash(asked.body));
        turn.isReturn = number > 0;
        for (int send = 0; send < mostSends && !turn.answered && budget_.take(); ++send) {
            sendOnce(asked, turn);
        }
        turn.toEnd = std::chrono::duration_cast<milliseconds>(Clock::now() - begin);
        return turn;
    }

    auto sendOnce(const CallerRequest &asked, Turn &turn) -> void
    {
        const auto &router = target_.routers[random_() % target_.routers.size()];
        turn.sentMs = nowMs();
        const auto answer = call(router, asked, answerLimit);
        constexpr int ok = 200;
        if (answer.status == ok && streamIsWhole(answer.streamData())) {
            turn.answered = true;
            turn.request = answer.header("Applehatch-Request");
            turn.warm = answer.header("Applehatch-Cache") == "warm";
            turn.toFirstByte = answer.toFirstByte;
            token_ = answer.header("Applehatch-Context");
            return;
        }
        ++turn.refusals;
        std::this_thread::sleep_for(retryAfter(answer));
    }

    const ChatTarget &target_;
    SendBudget &budget_;
    const Deployment &deployment_;
    const ChatPlan &plan_;
    bool echoToken_;
    Clock::time_point end_;
    std::mt19937_64 random_;
    std::string token_;
    std::vector<Turn> turns_;
};

} // namespace

auto policyOf(json pool) -> json
{
    for (const auto *key : poolKeysOfFleet) {
        pool.erase(key);
    }
    return pool;
}

auto deploymentNamed(const std::string &name) -> Deployment
{
    Deployment deployment;
    deployment.name = name;
    if (name == "ledgerworks") {
        deployment.dataCenters = {"bole", "kazanchis", "piassa"};
        deployment.engines = 12;
        deployment.cacheChats = 100;
        deployment.coldPrefill = milliseconds(1500);
        deployment.tokensPerSecond = 20;
        deployment.tokens = 20;
        deployment.contextBytes = 8000;
        deployment.chatsAtOnce = 110;
        deployment.surges = {{"branches-amhara"}, {"branches-oromia"}};
        takeSettings(deployment, "drafting");
    } else if (name == "cwm-taf") {
        deployment.dataCenters = {"merthyr", "rhondda", "cynon"};
        deployment.engines = 18;
        deployment.cacheChats = 100;
        deployment.coldPrefill = milliseconds(500);
        deployment.tokensPerSecond = 20;
        deployment.tokens = 14;
        deployment.contextBytes = 2000;
        deployment.chatsAtOnce = 200;
        deployment.surges = {{"contractors"}, {"tenant-messages"}};
        takeSettings(deployment, "repairs");
    } else {
        throw std::runtime_error("deployments are ledgerworks and cwm-taf");
    }
    return deployment;
}

auto planChats(const Deployment &deployment, milliseconds length, std::uint64_t seed)
    -> std::vector<ChatPlan>
{
    return Planner(deployment, length, seed).plan();
}

auto targetOf(Fleet &fleet) -> ChatTarget
{
    ChatTarget target;
    target.team = Fleet::team;
    target.model = Fleet::model;
    for (const auto &router : fleet.routers()) {
        target.routers.push_back(router.callers);
    }
    return target;
}

auto driveChats(const ChatTarget &target, const Deployment &deployment,
                const std::vector<ChatPlan> &chats, milliseconds length, bool echoToken)
    -> std::vector<Turn>
{
    const auto begin = Clock::now();
    SendBudget budget(target.mostRequests);
    std::mutex mutex;
    std::vector<Turn> turns;
    std::vector<std::jthread> callers;
    callers.reserve(chats.size());
    for (const auto &chat : chats) {
        callers.emplace_back([&, begin] {
            ChatCaller caller(target, budget, deployment, chat, echoToken, begin + length);
            auto taken = caller.run(begin);
            const std::lock_guard lock(mutex);
            std::move(taken.begin(), taken.end(), std::back_inserter(turns));
        });
    }
    callers.clear();
    return turns;
}

} // namespace applehatch::experiment
