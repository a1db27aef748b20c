/// Plans model loads and unloads of an engine, with the fencing numbers of these orders.
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

/// The next change that leads from the `loaded` models to the `wanted` ones. Unwanted models are
/// unloaded first, since an engine has no room for both.
[[nodiscard]] auto nextChange(const std::vector<std::string> &wanted,
                              const std::vector<std::string> &loaded)
    -> std::optional<PlannedChange>;

/// Strictly increasing fencing numbers of one sidecar incarnation.
///
/// The team's settings index is the leading part, so that a sidecar with older settings is refused
/// by its engine. The rest is the start time of the incarnation in units of about half a second, so
/// that the numbers rise from each incarnation to the next.
class FencingNumbers
{
public:
    explicit FencingNumbers(Incarnation incarnation);

    /// Takes the highest number the engine has seen. Returns false, permanently, once a number of a
    /// later incarnation appears: another sidecar has taken over the engine. A new number of an
    /// earlier incarnation belongs to an order that was in transit when that incarnation ended.
    auto observe(std::uint64_t seen) -> bool;

    /// The number for an order under the settings of `index`; none when the engine has seen an
    /// order under newer settings, or when another sidecar has taken over the engine.
    [[nodiscard]] auto next(SettingsIndex index) -> std::optional<std::uint64_t>;

private:
    std::uint64_t incarnationPart_;
    std::optional<std::uint64_t> seen_;
    std::uint64_t issued_ = 0;
    bool superseded_ = false;
};

/// What a serving member knows when it decides whether to begin its change in a rollout.
///
/// Members of lower rank begin earlier. The delay per rank gives the other members time to learn of
/// it; otherwise all members that wait for a free place would take it at once.
struct RolloutView
{
    std::uint32_t unavailable = 0; ///< Members not serving, as far as known.
    std::uint32_t maxUnavailable = 1;
    std::uint32_t rank = 0;    ///< Position among the configured members, by id.
    Duration belowLimitFor{0}; ///< How long `unavailable` has been below `maxUnavailable`.
    Duration delayPerRank{0};  ///< Per rank; longer than a state change takes to reach the pool.
};

/// Whether the member may begin its change now.
[[nodiscard]] auto mayBeginRollout(const RolloutView &view) -> bool;

} // namespace applehatch::core
