/// The settings subtrees of a replica, and the text of each that is in force.
#pragma once

#include "applehatch/core/settings-replica.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::core {

/// The result of offering a text to a `SubtreeTable`.
enum class OfferResult {
    Known,    ///< Not newer than the stored text.
    Accepted, ///< The text is now in force.
    Removed,  ///< The subtree is now removed.
    Refused,  ///< Newer but invalid; the previous text stays in force.
};

/// Keeps each subtree at its newest accepted text. The index in force never decreases.
///
/// The configuration service answers from replicas that lag and may be restored from a backup, and
/// peers send texts that they read long ago. If an older text could replace a newer one, a limit
/// that an operator just lowered would revert. So texts are compared only by their own index.
class SubtreeTable
{
public:
    explicit SubtreeTable(ParseHook parse);

    /// Accepts or refuses a text. A null text removes the subtree.
    auto offer(const SettingsText &text, Instant now) -> OfferResult;

    /// Returns removals of the stored subtrees that are missing from `read`, if `read` is newer
    /// than everything this table was offered.
    [[nodiscard]] auto removedBy(const SettingsRead &read) const -> std::vector<SettingsText>;

    /// Records that every text up to `index` was offered.
    auto completeUpTo(SettingsIndex index) -> void;

    /// Every text up to this index was offered, by the service or by a peer.
    [[nodiscard]] auto index() const -> SettingsIndex { return index_; }

    /// Returns the indices that a pull reports as known, by team. A refused text counts as known,
    /// so that it is not sent again, unless `acceptedOnly`: then a peer also sends the texts before
    /// it.
    [[nodiscard]] auto indices(bool acceptedOnly) const -> std::map<std::string, SettingsIndex>;

    /// Returns a hash of `indices(false)`, independent of the order in which texts were offered.
    [[nodiscard]] auto hash() const -> std::uint64_t;

    /// Returns texts newer than those known to the sender of `pull`, up to `limit` bytes but at
    /// least one. An index of 0 means that further texts remain.
    [[nodiscard]] auto answer(const SettingsPull &pull, std::size_t limit) const -> SettingsReply;

    /// Returns true if the newest text of any subtree is refused.
    [[nodiscard]] auto anyRefused() const -> bool;

    [[nodiscard]] auto find(const std::string &team) const -> SubtreeStatus;
    [[nodiscard]] auto status() const -> std::vector<SubtreeStatus>;
    [[nodiscard]] auto snapshot() const -> SettingsPtr;

private:
    struct Subtree
    {
        SettingsIndex inForce = 0; ///< Index of the accepted text or of the removal.
        Instant since;
        std::shared_ptr<const std::string> text; ///< Null if the subtree was removed.
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
