#pragma once

#include "applehatch/admin/api.h"

#include <nlohmann/json.hpp>

namespace applehatch::admin::detail {

[[nodiscard]] auto processDocument(const Source &source) -> nlohmann::json;
[[nodiscard]] auto subtreeDocument(const core::SubtreeStatus &status, core::Instant now)
    -> nlohmann::json;
[[nodiscard]] auto teamDocument(const settings::Team &team) -> nlohmann::json;
[[nodiscard]] auto poolDocument(const core::Pool &pool, const Source &source) -> nlohmann::json;
[[nodiscard]] auto upstreamsDocument(const core::Pool &pool, const Source &source)
    -> nlohmann::json;
[[nodiscard]] auto candidatesDocument(const std::vector<core::Candidate> &candidates)
    -> nlohmann::json;
[[nodiscard]] auto problemsDocument(const std::vector<settings::Problem> &problems)
    -> nlohmann::json;

} // namespace applehatch::admin::detail
