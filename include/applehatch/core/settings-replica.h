/// Which version of each team's subtree is in force in this process, and who reads the service.
#pragma once

#include "applehatch/core/load-table.h"
#include "applehatch/core/message.h"
#include "applehatch/core/router-node.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::core {

/// Everything the configuration service holds, as one recursive read gave it.
struct SettingsRead
{
    SettingsIndex index = 0;
    std::vector<SettingsText> texts;
    bool unchanged = false; ///< A watch ended at the index it waited on; `texts` is empty.
};

/// The service did not answer.
struct SettingsReadFailed
{ };

/// A digest or a peer showed that `index` exists.
struct SettingsIndexHeard
{
    SettingsIndex index = 0;
    UpstreamId from = 0; ///< The sidecar that has it, where the host can tell; asked first.
};

struct SettingsTick
{ };

using SettingsEvent = std::variant<SettingsRead, SettingsReadFailed, SettingsReply, SettingsPull,
                                   SettingsIndexHeard, HostListRead, SettingsTick>;

/// Read the whole tree; with `waitFor`, only once its index exceeds it (a watch).
struct ReadService
{
    std::optional<SettingsIndex> waitFor;
};

/// Send a pull to a peer; 0 lets the host choose a peer from its bootstrap list.
struct PullFromPeer
{
    UpstreamId peer = 0;
    SettingsPull pull;
};

/// Answer the pull being handled.
struct AnswerPull
{
    SettingsReply reply;
};

/// New settings are in force: hand them to the node.
struct PutInForce
{
    SettingsPtr settings;
};

using SettingsAction = std::variant<ReadService, PullFromPeer, AnswerPull, PutInForce, WriteLog>;

/// What operators are shown of one subtree.
struct SubtreeStatus
{
    std::string team;
    SettingsIndex inForce = 0;
    Instant since;
    SettingsIndex refused = 0;               ///< 0 when the newest text was accepted.
    std::vector<settings::Problem> problems; ///< Why it was refused.
};

/// Checks a subtree; must be pure, so that all processes agree on what is accepted.
using ParseHook = std::function<settings::ParseResult(const std::string &team,
                                                      const std::string &text, SettingsIndex)>;

/// Who this process is among the readers.
struct ReplicaIdentity
{
    UpstreamId self = 0; ///< 0 for a router, which reads directly only when peers are silent.
    std::string dataCenter;
    std::uint64_t seed = 0;
    std::size_t readersPerDataCenter = 2;
    std::vector<UpstreamId> peers; ///< Asked before any settings are known; may be empty.
    ParseHook parse = settings::parseTeam;
};

/// Keeps each subtree at the newest accepted text; an index in force never falls.
class SettingsReplica
{
public:
    explicit SettingsReplica(ReplicaIdentity identity);
    ~SettingsReplica();
    SettingsReplica(const SettingsReplica &) = delete;
    auto operator=(const SettingsReplica &) -> SettingsReplica & = delete;

    [[nodiscard]] auto handle(SettingsEvent event, Instant now) -> std::vector<SettingsAction>;

    [[nodiscard]] auto status() const -> std::vector<SubtreeStatus>;
    [[nodiscard]] auto current() const -> SettingsPtr;

private:
    struct State;
    std::unique_ptr<State> state_;
};

} // namespace applehatch::core
