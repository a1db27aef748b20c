#include "applehatch/settings/settings.h"

namespace applehatch::settings {

auto parseTeam(const std::string & /*teamName*/, const std::string & /*text*/,
               SettingsIndex /*index*/) -> ParseResult
{
    return {};
}

} // namespace applehatch::settings
