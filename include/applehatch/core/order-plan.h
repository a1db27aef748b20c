/// What an engine should hold, and with which fencing number it is told.
#pragma once

#include "applehatch/core/digest.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace applehatch::core {

enum class ModelChange {
    Load,
    Unload,
};

struct PlannedChange
{
    ModelChange change = ModelChange::Load;
    std::string model;

    auto operator==(const PlannedChange &) const -> bool = default;
};

/// The next change from what is held to what is wanted. What is no longer wanted goes first: an
/// engine has no room for both.
[[nodiscard]] auto nextChange(const std::vector<std::string> &wanted,
                              const std::vector<std::string> &held) -> std::optional<PlannedChange>;

/// Fencing numbers of one sidecar life, which only rise.
///
/// The team's settings index is the leading part, so that a sidecar with older settings is refused
/// by its engine; the rest is the life: when the incarnation began, in units of about half a
/// second, so that it rises from each life to the next.
class FencingNumbers
{
public:
    explicit FencingNumbers(Incarnation incarnation);

    /// Takes the highest number the engine has seen. False for good once a number of a later life
    /// appears: another sidecar has taken the engine over meanwhile. A new number of an earlier
    /// life is an order that was on its way when that life ended.
    auto observe(std::uint64_t seen) -> bool;

    /// The number for an order under settings of `index`; none when the engine has seen an order
    /// under newer settings, or when another sidecar gives orders.
    [[nodiscard]] auto next(SettingsIndex index) -> std::optional<std::uint64_t>;

private:
    std::uint64_t life_;
    std::optional<std::uint64_t> seen_;
    std::uint64_t given_ = 0;
    bool superseded_ = false;
};

/// A serving member's turn in a rollout.
///
/// Members of lower rank begin earlier, by a step that gives the others time to hear of it; else
/// all that wait for a free place would take it at once.
struct RolloutView
{
    std::uint32_t out = 0; ///< Members not serving, as far as heard.
    std::uint32_t width = 1;
    std::uint32_t rank = 0; ///< Position among the configured members, by id.
    Duration quiet{0};      ///< How long `out` has been below `width`.
    Duration step{0};       ///< Longer than a change of state takes to reach the pool.
};

/// Whether the member may begin its change now.
[[nodiscard]] auto mayBeginRollout(const RolloutView &view) -> bool;

} // namespace applehatch::core
