/// Finding the pool that serves a request.
#pragma once

#include "applehatch/core/message.h"

#include <string_view>
#include <variant>

namespace applehatch::core {

/// The pool of a request and the team that owns it, kept alive together.
struct PoolRef
{
    std::shared_ptr<const settings::Team> team;
    const Pool *pool = nullptr;

    [[nodiscard]] auto member(UpstreamId id) const -> const settings::Member *;
};

/// The pool selected by `terms` and `path`, or the failure when there is none.
[[nodiscard]] auto findPool(const settings::Settings &settings, const Terms &terms,
                            std::string_view path) -> std::variant<PoolRef, Failure>;

/// The pool of `team` with the member `id`; empty when there is none.
[[nodiscard]] auto findPoolOf(const settings::Settings &settings, const std::string &team,
                              UpstreamId id) -> PoolRef;

/// Mixes team and pool into the hash of a chat's name; 0 stays 0.
[[nodiscard]] auto chatKey(const Pool &pool, std::uint64_t chatNameHash) -> ChatKey;

/// Hash of the request's content; the same at every router.
[[nodiscard]] auto fingerprintOf(const Terms &terms, const Call &call) -> Fingerprint;

} // namespace applehatch::core
