/// Returning chats with one seed, driven at the routers of a fleet.
#pragma once

#include "applehatch/experiment/fleet.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace applehatch::experiment {

using std::chrono::milliseconds;

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
    std::size_t tokens = 0;        ///< Of one answer.
    std::size_t contextBytes = 0;  ///< Of one sheet or property history.
    std::size_t chatsAtOnce = 0;   ///< Before any surge.
    nlohmann::json pool;           ///< Of the model pool, members apart.
    nlohmann::json customers;      ///< As in the settings; they use as much as they weigh.
    std::set<std::string> surging; ///< Customers that send tenfold for a while.
};

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

/// Chats for `length`, of which two small customers send tenfold in the middle.
[[nodiscard]] auto planChats(const Deployment &deployment, milliseconds length, std::uint64_t seed)
    -> std::vector<ChatPlan>;

/// One turn of a chat as its caller saw it.
struct Turn
{
    std::string chat;
    std::string bodyHash;
    std::string request; ///< As the router named it.
    bool isReturn = false;
    bool answered = false;
    bool warm = false;
    int refusals = 0;        ///< Before it was answered or given up.
    std::int64_t sentMs = 0; ///< The send that was answered, or the last one.
    milliseconds toFirstByte{0};
};

/// Drives all chats and gives every turn once they are over or `length` has passed.
[[nodiscard]] auto driveChats(Fleet &fleet, const Deployment &deployment,
                              const std::vector<ChatPlan> &chats, milliseconds length,
                              bool echoToken) -> std::vector<Turn>;

} // namespace applehatch::experiment
