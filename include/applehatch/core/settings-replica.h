/// The replica of the settings in one process: which version of each team's subtree is in force,
/// and when the configuration service or a peer is queried.
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

/// The result of one recursive read of the configuration service.
struct SettingsRead
{
    SettingsIndex index = 0;
    std::vector<SettingsText> texts;
    bool unchanged = false; ///< A watch ended without a change of the index; `texts` is empty.
};

/// The configuration service did not answer.
struct SettingsReadFailed
{ };

/// A digest or a peer advertised `index`.
struct SettingsIndexAdvertised
{
    SettingsIndex index = 0;
    UpstreamId from = 0; ///< The sidecar that has the index, if known; queried first.
};

struct SettingsTick
{ };

using SettingsEvent = std::variant<SettingsRead, SettingsReadFailed, SettingsReply, SettingsPull,
                                   SettingsIndexAdvertised, HostListRead, SettingsTick>;

/// Read the whole tree. With `waitFor` this is a watch, which returns once the tree's index exceeds
/// `waitFor`.
struct ReadService
{
    std::optional<SettingsIndex> waitFor;
};

/// Send a pull to `peer`; with 0 the host chooses a peer from its bootstrap list.
struct PullFromPeer
{
    UpstreamId peer = 0;
    SettingsPull pull;
};

/// Answer the pull that is being handled.
struct AnswerPull
{
    SettingsReply reply;
};

/// New settings are in force: pass them to the node.
struct PutInForce
{
    SettingsPtr settings;
};

using SettingsAction = std::variant<ReadService, PullFromPeer, AnswerPull, PutInForce, WriteLog>;

/// The status of one subtree, as shown to operators.
struct SubtreeStatus
{
    std::string team;
    SettingsIndex inForce = 0;
    Instant since;
    SettingsIndex refused = 0; ///< Index of the refused newest text; 0 if the newest was accepted.
    std::vector<settings::Problem> problems; ///< Reasons for the refusal.
};

/// Parses and checks a subtree. Must be a pure function, so that all processes accept the same
/// texts.
using ParseHook = std::function<settings::ParseResult(const std::string &team,
                                                      const std::string &text, SettingsIndex)>;

/// Identity and configuration of a replica.
struct ReplicaIdentity
{
    UpstreamId self = 0; ///< 0 for a router, which reads the service only if peers do not answer.
    std::string dataCenter;
    std::uint64_t seed = 0;
    std::size_t readersPerDataCenter = 2;
    std::vector<UpstreamId> peers; ///< Queried before any settings are known; may be empty.
    ParseHook parse = settings::parseTeam;
};

/// Keeps each subtree at the newest accepted text. The index in force never decreases.
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
