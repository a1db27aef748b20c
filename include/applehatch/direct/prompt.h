/// Prompts, and what they share.
#pragma once

#include <cstdint>
#include <vector>

namespace applehatch::direct {

/// One part of a prompt; requests share parts, and an engine reads a part it holds only once.
struct PromptPart
{
    std::uint64_t id = 0;
    std::uint32_t tokens = 0;

    auto operator==(const PromptPart &) const -> bool = default;
};

using Prompt = std::vector<PromptPart>;

/// The parts of a prompt that others may share. An engine keeps them for the next such prompt.
struct SharedContext
{
    std::uint64_t hash = 0; ///< 0 for an empty prompt.
    std::uint32_t tokens = 0;
};

/// All parts but the last; the only part, where there is one.
[[nodiscard]] auto sharedContext(const Prompt &prompt) -> SharedContext;

} // namespace applehatch::direct
