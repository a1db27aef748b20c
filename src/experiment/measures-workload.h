/// Returning chats with one seed, driven at the routers of a fleet.
#pragma once

#include "applehatch/experiment/fleet.h"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>
#include <map>
#include <string>
#include <vector>

namespace applehatch::experiment {

using std::chrono::milliseconds;

/// A customer that sends more for a while.
struct Surge
{
    std::string customer;
    double from = 0.45; ///< As a share of the run.
    double until = 0.60;
    double factor = 10; ///< Of its usual load.
};

/// One deployment at its size of today; minutes of a caller are seconds here.
struct Deployment
{
    std::string name;
    std::vector<std::string> dataCenters;
    std::size_t engines = 0;
    std::size_t services = 3;
    std::size_t routers = 4;
    std::uint32_t slots = 8;
    std::size_t cacheChats = 0; ///< Contexts that one engine holds.
    milliseconds coldPrefill{0};
    double tokensPerSecond = 0;
    std::size_t tokens = 0;       ///< Of one answer.
    std::size_t contextBytes = 0; ///< Of one sheet or property history.
    std::size_t chatsAtOnce = 0;  ///< Before any surge.
    nlohmann::json pool;          ///< Of the model pool, members apart.
    nlohmann::json customers;     ///< As in the settings; they use as much as they weigh.
    std::vector<Surge> surges;
    std::map<std::string, int> priorities; ///< Of a customer's requests, where it states one.
    milliseconds shortPause{2500}; ///< Mean; most chats return within minutes, here seconds.
    milliseconds longPause{12000}; ///< Mean of the few that return after hours.
    double longPauseShare = 0.1;
    double furtherTurn = 0.85; ///< Chance that a chat goes on.
    milliseconds deadline{0};  ///< That callers state; 0 states none.
    double callsPerSecond = 5; ///< Calls to the plain services that must run once.
};

/// Keys of a pool's settings that a fleet on loopback sets itself.
inline constexpr std::array poolKeysOfFleet{"kind", "models", "pathPrefix", "members"};

/// The settings of `pool` without `poolKeysOfFleet`.
[[nodiscard]] auto policyOf(nlohmann::json pool) -> nlohmann::json;

/// Reads `examples/NAME.jsonc`; throws `std::runtime_error` for a name that is none of the two.
[[nodiscard]] auto deploymentNamed(const std::string &name) -> Deployment;

/// One chat as it is meant to go; the same for each variant of a run.
struct ChatPlan
{
    std::string name;
    std::string customer;
    milliseconds start{0};
    std::vector<milliseconds> pauses; ///< Before each turn after the first.
    std::uint64_t seed = 0;           ///< Picks the router of each turn.
};

/// Chats for `length`, with the surges of the deployment.
[[nodiscard]] auto planChats(const Deployment &deployment, milliseconds length, std::uint64_t seed)
    -> std::vector<ChatPlan>;

/// One turn of a chat as its caller saw it.
struct Turn
{
    std::string chat;
    std::string customer;
    std::string bodyHash;
    std::string request; ///< As the router named it.
    bool isReturn = false;
    bool answered = false;
    bool warm = false;
    int refusals = 0;        ///< Before it was answered or given up.
    std::int64_t sentMs = 0; ///< The send that was answered, or the last one.
    milliseconds toFirstByte{0};
    milliseconds toEnd{0}; ///< From the first send to the whole answer or the giving up.
};

/// Where chats go.
struct ChatTarget
{
    std::vector<core::Address> routers; ///< Each turn takes one at random.
    std::string team;
    std::string model;
    std::size_t mostRequests = std::numeric_limits<std::size_t>::max(); ///< No more is sent.
};

[[nodiscard]] auto targetOf(Fleet &fleet) -> ChatTarget;

/// Drives all chats and gives every turn once they are over or `length` has passed.
[[nodiscard]] auto driveChats(const ChatTarget &target, const Deployment &deployment,
                              const std::vector<ChatPlan> &chats, milliseconds length,
                              bool echoToken) -> std::vector<Turn>;

} // namespace applehatch::experiment
