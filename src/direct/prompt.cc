#include "applehatch/direct/prompt.h"

#include "applehatch/core/identity.h"

#include <string_view>

namespace applehatch::direct {

auto promptTokens(const Prompt &prompt) -> std::uint32_t
{
    std::uint32_t tokens = 0;
    for (const auto &part : prompt)
        tokens += part.tokens;
    return tokens;
}

auto sharedParts(const Prompt &prompt) -> std::span<const PromptPart>
{
    return std::span(prompt).first(prompt.empty() ? 0 : prompt.size() - 1);
}

auto sharedContext(const Prompt &prompt) -> SharedContext
{
    if (prompt.empty())
        return {};
    const auto shared = prompt.size() > 1 ? prompt.size() - 1 : 1;
    std::vector<std::uint64_t> ids;
    SharedContext context;
    for (std::size_t i = 0; i < shared; ++i) {
        ids.push_back(prompt[i].id);
        context.tokens += prompt[i].tokens;
    }
    const auto *bytes = reinterpret_cast<const char *>(ids.data());
    context.hash = core::stableHash(std::string_view(bytes, ids.size() * sizeof(std::uint64_t)));
    return context;
}

} // namespace applehatch::direct
