#include "parts-text.h"

#include "applehatch/core/log-line.h"

#include <algorithm>

namespace applehatch::gateway {

auto partsText(const std::vector<direct::PartKey> &parts) -> std::string
{
    constexpr std::size_t maxNamed = 8;
    std::string text = parts.empty() ? "none" : "";
    for (std::size_t i = 0; i < std::min(parts.size(), maxNamed); ++i)
        text += (i == 0 ? "" : "+") + core::hexText(parts[i]);
    if (parts.size() > maxNamed)
        text += "+" + std::to_string(parts.size() - maxNamed) + " more";
    return text;
}

} // namespace applehatch::gateway
