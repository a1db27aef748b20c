#include "applehatch/process/address-book.h"

#include <mutex>
#include <utility>

namespace applehatch::process {

auto AddressBook::update(const settings::Settings &settings) -> std::vector<core::Address>
{
    std::unordered_map<core::UpstreamId, settings::Member> members;
    std::map<Key, core::UpstreamId> byAddress;
    for (const auto &[teamName, team] : settings.teams) {
        for (const auto &[poolName, pool] : team->pools) {
            for (const auto &member : pool.members) {
                members.emplace(member.id, member);
                byAddress.emplace(Key(member.sidecar.ip, member.sidecar.port), member.id);
            }
        }
    }
    const std::lock_guard lock(mutex_);
    std::vector<core::Address> unused;
    for (const auto &[address, upstream] : byAddress_) {
        if (byAddress.find(address) == byAddress.end())
            unused.push_back({address.first, address.second});
    }
    members_ = std::move(members);
    byAddress_ = std::move(byAddress);
    return unused;
}

auto AddressBook::find(core::UpstreamId upstream, core::Address settings::Member::*address) const
    -> std::optional<core::Address>
{
    const std::shared_lock lock(mutex_);
    const auto found = members_.find(upstream);
    if (found == members_.end())
        return std::nullopt;
    return found->second.*address;
}

auto AddressBook::sidecar(core::UpstreamId upstream) const -> std::optional<core::Address>
{
    return find(upstream, &settings::Member::sidecar);
}

auto AddressBook::digest(core::UpstreamId upstream) const -> std::optional<core::Address>
{
    return find(upstream, &settings::Member::digest);
}

auto AddressBook::upstream(core::UpstreamId upstream) const -> std::optional<core::Address>
{
    return find(upstream, &settings::Member::upstream);
}

auto AddressBook::upstreamAt(const core::Address &address) const -> core::UpstreamId
{
    const std::shared_lock lock(mutex_);
    const auto found = byAddress_.find({address.ip, address.port});
    return found == byAddress_.end() ? 0 : found->second;
}

} // namespace applehatch::process
