/// The key-value tree of the stand-in configuration service, with its history.
#pragma once

#include "applehatch/core/identity.h"

#include <map>
#include <memory>
#include <string>

namespace applehatch::emulator {

/// The whole tree at one index.
struct Snapshot
{
    struct Entry
    {
        std::shared_ptr<const std::string> text;
        core::SettingsIndex index = 0;
    };

    core::SettingsIndex index = 1;
    std::map<std::string, Entry> teams;
};

/// Every state the tree was in, by index. Not thread-safe.
class Tree
{
public:
    auto put(const std::string &team, const std::string &text) -> core::SettingsIndex;
    auto remove(const std::string &team) -> core::SettingsIndex;
    auto revertTo(core::SettingsIndex index) -> void;

    [[nodiscard]] auto now() const -> const Snapshot & { return now_; }
    [[nodiscard]] auto at(core::SettingsIndex index) const -> const Snapshot &;

private:
    auto record() -> core::SettingsIndex;

    Snapshot now_;
    std::map<core::SettingsIndex, Snapshot> history_{{1, Snapshot()}};
};

/// The answer of a recursive read, values in base64.
[[nodiscard]] auto snapshotJson(const Snapshot &snapshot) -> std::string;

} // namespace applehatch::emulator
