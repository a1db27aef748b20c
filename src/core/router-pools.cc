#include "router-pools.h"

#include <algorithm>

namespace applehatch::core {

namespace {

using settings::PoolKind;
using settings::Team;

auto failure(ErrorKind kind, std::string detail) -> Failure
{
    return {kind, Run::NotRun, std::move(detail), std::nullopt};
}

auto poolOfModel(const Team &team, const std::string &model) -> const Pool *
{
    for (const auto &[name, pool] : team.pools) {
        const auto &models = pool.models;
        if (pool.kind == PoolKind::Model
            && std::find(models.begin(), models.end(), model) != models.end())
            return &pool;
    }
    return nullptr;
}

auto isUnder(std::string_view path, std::string_view prefix) -> bool
{
    if (prefix.empty() || !path.starts_with(prefix))
        return false;
    const auto rest = path.substr(prefix.size());
    return rest.empty() || prefix.back() == '/' || rest.front() == '/' || rest.front() == '?';
}

auto poolOfPath(const Team &team, std::string_view path) -> const Pool *
{
    const Pool *best = nullptr;
    for (const auto &[name, pool] : team.pools) {
        if (pool.kind != PoolKind::Service || !isUnder(path, pool.pathPrefix))
            continue;
        if (best == nullptr || pool.pathPrefix.size() > best->pathPrefix.size())
            best = &pool;
    }
    return best;
}

auto poolOfName(const Team &team, const std::string &name) -> const Pool *
{
    const auto found = team.pools.find(name);
    return found == team.pools.end() ? nullptr : &found->second;
}

} // namespace

auto PoolRef::member(UpstreamId id) const -> const settings::Member *
{
    if (pool == nullptr)
        return nullptr;
    const auto &members = pool->members;
    const auto found = std::find_if(members.begin(), members.end(),
                                    [id](const auto &member) { return member.id == id; });
    return found == members.end() ? nullptr : &*found;
}

auto findPool(const settings::Settings &settings, const Terms &terms, std::string_view path)
    -> std::variant<PoolRef, Failure>
{
    const auto team = settings.teams.find(terms.team);
    if (team == settings.teams.end() || !team->second->customers.contains(terms.customer))
        return failure(ErrorKind::UnknownCustomer, terms.team + "/" + terms.customer);
    const auto &pools = *team->second;
    if (!terms.pool.empty()) {
        const auto *pool = poolOfName(pools, terms.pool);
        if (pool == nullptr)
            return failure(ErrorKind::UnknownPath, "no pool " + terms.pool);
        return PoolRef{team->second, pool};
    }
    if (!terms.model.empty()) {
        const auto *pool = poolOfModel(pools, terms.model);
        if (pool == nullptr)
            return failure(ErrorKind::UnknownModel, terms.model);
        return PoolRef{team->second, pool};
    }
    const auto *pool = poolOfPath(pools, path);
    if (pool == nullptr)
        return failure(ErrorKind::UnknownPath, std::string(path));
    return PoolRef{team->second, pool};
}

auto findPoolOf(const settings::Settings &settings, const std::string &team, UpstreamId id)
    -> PoolRef
{
    const auto found = settings.teams.find(team);
    if (found == settings.teams.end())
        return {};
    for (const auto &[name, pool] : found->second->pools) {
        PoolRef ref{found->second, &pool};
        if (ref.member(id) != nullptr)
            return ref;
    }
    return {};
}

auto chatKey(const Pool &pool, std::uint64_t chatNameHash) -> ChatKey
{
    if (chatNameHash == 0)
        return 0;
    const auto key = stableHash(pool.name, stableHash(pool.team, chatNameHash));
    return key == 0 ? 1 : key;
}

auto fingerprintOf(const Terms &terms, const Call &call) -> Fingerprint
{
    // The hash of the preceding parts is the seed for each part, so that moving a byte from one
    // part to the next gives another fingerprint.
    Fingerprint hash = 0;
    for (const std::string_view part :
         {std::string_view(terms.team), std::string_view(terms.customer),
          std::string_view(call.method), std::string_view(call.path),
          call.body ? std::string_view(*call.body) : std::string_view()})
        hash = stableHash(part, hash);
    return hash;
}

} // namespace applehatch::core
