/// Prompts and the contexts that they share.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace applehatch::direct {

/// One part of a prompt. Requests may share parts, and an engine does not read again a part that it
/// holds.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    auto operator==(const PromptPart &) const -> bool = default;
};

using Prompt = std::vector<PromptPart>;

/// Returns the tokens of all parts.
[[nodiscard]] auto promptTokens(const Prompt &prompt) -> std::uint32_t;

/// Returns the parts that other prompts may share: all but the last.
[[nodiscard]] auto sharedParts(const Prompt &prompt) -> std::span<const PromptPart>;

/// The parts of a prompt that other prompts may share; an engine keeps them for later prompts.
struct SharedContext
{
    std::uint64_t hash = 0; ///< 0 for an empty prompt.
    std::uint32_t tokens = 0;
};

/// Returns the context formed by all parts but the last, or by the only part.
[[nodiscard]] auto sharedContext(const Prompt &prompt) -> SharedContext;

} // namespace applehatch::direct
