#include "applehatch/settings/foreign-json.h"

#include <stdexcept>
#include <string>

namespace applehatch::settings {

namespace {

/// Returns the position after the string that begins at `start`.
auto endOfString(std::string_view text, std::size_t start) -> std::size_t
{
    for (auto at = start + 1; at < text.size(); ++at) {
        if (text[at] == '\\')
            ++at;
        else if (text[at] == '"')
            return at + 1;
    }
    return text.size();
}

} // namespace

auto isShallowJson(std::string_view text) -> bool
{
    std::size_t depth = 0;
    for (std::size_t at = 0; at < text.size();) {
        const auto character = text[at];
        if (character == '"') {
            at = endOfString(text, at);
            continue;
        }
        if ((character == '[' || character == '{') && ++depth > maxJsonDepth)
            return false;
        if ((character == ']' || character == '}') && depth > 0)
            --depth;
        ++at;
    }
    return true;
}

auto parseForeignJson(std::string_view text) -> nlohmann::json
{
    if (text.size() > maxJsonBytes)
        throw std::invalid_argument("longer than " + std::to_string(maxJsonBytes) + " bytes");
    if (!isShallowJson(text))
        throw std::invalid_argument("nested more than " + std::to_string(maxJsonDepth) + " deep");
    return nlohmann::json::parse(text);
}

auto tryParseForeignJson(std::string_view text) -> nlohmann::json
{
    if (text.size() > maxJsonBytes || !isShallowJson(text))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace applehatch::settings
