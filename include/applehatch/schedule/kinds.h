/// The kinds of failure that schedules are drawn for.
#pragma once

#include "applehatch/schedule/world.h"

#include <optional>
#include <string_view>
#include <vector>

namespace applehatch::schedule {

struct Kind
{
    std::string_view name;
    Faults faults;
};

[[nodiscard]] auto kinds() -> const std::vector<Kind> &;
[[nodiscard]] auto findKind(std::string_view name) -> std::optional<Kind>;

} // namespace applehatch::schedule
