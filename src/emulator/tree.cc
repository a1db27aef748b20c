#include "applehatch/emulator/tree.h"

#include <nlohmann/json.hpp>

#include <iterator>

namespace applehatch::emulator {

namespace {

auto encodeBase64(const std::string &bytes) -> std::string
{
    constexpr std::string_view alphabet =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        const auto left = std::min<std::size_t>(3, bytes.size() - at);
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            const auto byte = i < left ? static_cast<unsigned char>(bytes[at + i]) : 0U;
            group = group << 8U | byte;
        }
        for (std::size_t i = 0; i < 4; ++i) {
            const auto letter = alphabet[group >> (18U - 6U * i) & 63U];
            text.push_back(i <= left ? letter : '=');
        }
    }
    return text;
}

} // namespace

auto Tree::put(const std::string &team, const std::string &text) -> core::SettingsIndex
{
    const auto index = now_.index + 1;
    now_.teams[team] = {std::make_shared<const std::string>(text), index};
    return record();
}

auto Tree::remove(const std::string &team) -> core::SettingsIndex
{
    now_.teams.erase(team);
    return record();
}

auto Tree::revertTo(core::SettingsIndex index) -> void
{
    now_ = at(index);
}

auto Tree::at(core::SettingsIndex index) const -> const Snapshot &
{
    const auto after = history_.upper_bound(index);
    return after == history_.begin() ? after->second : std::prev(after)->second;
}

auto Tree::record() -> core::SettingsIndex
{
    ++now_.index;
    history_[now_.index] = now_;
    return now_.index;
}

auto snapshotJson(const Snapshot &snapshot) -> std::string
{
    auto rows = nlohmann::json::array();
    for (const auto &[team, entry] : snapshot.teams) {
        rows.push_back({{"Key", "teams/" + team},
                        {"Value", encodeBase64(*entry.text)},
                        {"ModifyIndex", entry.index}});
    }
    return rows.dump();
}

} // namespace applehatch::emulator
