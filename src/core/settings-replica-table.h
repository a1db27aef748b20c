/// The subtrees that a replica holds, and which text of each is in force.
#pragma once

#include "applehatch/core/settings-replica.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::core {

/// What became of a text that was offered.
enum class Taken {
    Known,    ///< Not newer than what is held.
    Accepted, ///< In force from now on.
    Removed,  ///< The subtree is gone from now on.
    Refused,  ///< Newer, but with problems; what was in force stays.
};

/// Keeps each subtree at its newest accepted text. An index in force never falls.
///
/// The configuration service answers from replicas that lag, and may be set back to a backup; peers
/// repeat what they read long ago. If an older text could follow a newer one, a limit that an
/// operator just lowered would jump back. So a text counts only by its own index.
class SubtreeTable
{
public:
    explicit SubtreeTable(ParseHook parse);

    /// Decides on one text; a null one is a removal.
    auto offer(const SettingsText &text, Instant now) -> Taken;

    /// The held subtrees that `read` lacks although it is newer than all this table has seen.
    [[nodiscard]] auto removedBy(const SettingsRead &read) const -> std::vector<SettingsText>;

    /// Notes that everything up to `index` was offered.
    auto completeUpTo(SettingsIndex index) -> void;

    /// Everything up to here was offered, from the service or from a peer that had it.
    [[nodiscard]] auto index() const -> SettingsIndex { return index_; }

    /// What a pull names as held. A refused text counts as held, so that it is not sent again,
    /// unless `acceptedOnly`: then a peer also sends texts that came before it.
    [[nodiscard]] auto indices(bool acceptedOnly) const -> std::map<std::string, SettingsIndex>;

    /// One number over all that `indices(false)` gives; the order in which it came to be held does
    /// not count.
    [[nodiscard]] auto hash() const -> std::uint64_t;

    /// Texts newer than those the asker holds, up to `limit` bytes but at least one. An index of 0
    /// tells that more is left.
    [[nodiscard]] auto answer(const SettingsPull &pull, std::size_t limit) const -> SettingsReply;

    /// True while the newest text of any subtree is refused.
    [[nodiscard]] auto anyRefused() const -> bool;

    [[nodiscard]] auto find(const std::string &team) const -> SubtreeStatus;
    [[nodiscard]] auto status() const -> std::vector<SubtreeStatus>;
    [[nodiscard]] auto snapshot() const -> SettingsPtr;

private:
    struct Subtree
    {
        SettingsIndex inForce = 0; ///< Of the accepted text, or of the removal.
        Instant since;
        std::shared_ptr<const std::string> text; ///< Null once removed.
        std::shared_ptr<const settings::Team> team;
        SettingsIndex refused = 0;
        std::shared_ptr<const std::string> refusedText;
        std::vector<settings::Problem> problems;
    };

    static auto accept(Subtree &subtree, const SettingsText &text,
                       std::shared_ptr<const settings::Team> team, Instant now) -> void;

    ParseHook parse_;
    std::map<std::string, Subtree> subtrees_;
    SettingsIndex index_ = 0;
};

} // namespace applehatch::core
