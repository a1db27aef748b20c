#include "applehatch/process/address-table.h"

#include <mutex>
#include <utility>

namespace applehatch::process {

auto AddressTable::keyOf(const settings::Member &member) -> Key
{
    return {member.sidecar.ip, member.sidecar.port};
}

auto AddressTable::update(const settings::Settings &settings) -> std::vector<core::Address>
{
    std::unordered_map<core::UpstreamId, settings::Member> members;
    std::map<Key, core::UpstreamId> byAddress;
    for (const auto &[teamName, team] : settings.teams) {
        for (const auto &[poolName, pool] : team->pools) {
            for (const auto &member : pool.members) {
                members.emplace(member.id, member);
                byAddress.emplace(keyOf(member), member.id);
            }
        }
    }
    const std::lock_guard lock(mutex_);
    std::vector<core::Address> vacated;
    retired_.clear();
    for (const auto &[upstream, member] : members_) {
        const auto isFree = byAddress.find(keyOf(member)) == byAddress.end();
        if (isFree && members.find(upstream) != members.end()) {
            vacated.push_back(member.sidecar);
        } else if (isFree) {
            members.emplace(upstream, member);
            byAddress.emplace(keyOf(member), upstream);
            retired_.insert(upstream);
        }
    }
    members_ = std::move(members);
    byAddress_ = std::move(byAddress);
    return vacated;
}

auto AddressTable::retired() const -> std::vector<core::UpstreamId>
{
    const std::shared_lock lock(mutex_);
    return {retired_.begin(), retired_.end()};
}

auto AddressTable::forget(core::UpstreamId upstream) -> void
{
    const std::lock_guard lock(mutex_);
    if (retired_.erase(upstream) == 0)
        return;
    const auto member = members_.find(upstream);
    byAddress_.erase(keyOf(member->second));
    members_.erase(member);
}

auto AddressTable::find(core::UpstreamId upstream, core::Address settings::Member::*address) const
    -> std::optional<core::Address>
{
    const std::shared_lock lock(mutex_);
    const auto found = members_.find(upstream);
    if (found == members_.end())
        return std::nullopt;
    return found->second.*address;
}

auto AddressTable::sidecar(core::UpstreamId upstream) const -> std::optional<core::Address>
{
    return find(upstream, &settings::Member::sidecar);
}

auto AddressTable::digest(core::UpstreamId upstream) const -> std::optional<core::Address>
{
    return find(upstream, &settings::Member::digest);
}

auto AddressTable::upstream(core::UpstreamId upstream) const -> std::optional<core::Address>
{
    return find(upstream, &settings::Member::upstream);
}

auto AddressTable::upstreamAt(const core::Address &address) const -> core::UpstreamId
{
    const std::shared_lock lock(mutex_);
    const auto found = byAddress_.find({address.ip, address.port});
    return found == byAddress_.end() ? 0 : found->second;
}

} // namespace applehatch::process
