#include "applehatch/gateway/policy-file.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <string_view>

namespace applehatch::gateway {

namespace {

using Json = nlohmann::json;
using direct::Policies;

struct PolicyKey
{
    std::string_view name;
    bool Policies::*member;
};

constexpr std::array keys{
    PolicyKey{"admitsByTimeLeft", &Policies::admitsByTimeLeft},
    PolicyKey{"followsPace", &Policies::followsPace},
    PolicyKey{"weighsPrompts", &Policies::weighsPrompts},
};

auto decode(const Json &json) -> Policies
{
    if (!json.is_object())
        throw std::invalid_argument("the file must hold an object");
    Policies policies;
    for (const auto &[name, value] : json.items()) {
        const auto isNamed = [&wanted = name](const PolicyKey &each) {
            return each.name == wanted;
        };
        const auto *key = std::find_if(keys.begin(), keys.end(), isNamed);
        if (key == keys.end())
            throw std::invalid_argument("/" + name + " is no policy");
        if (!value.is_boolean())
            throw std::invalid_argument("/" + name + " must be true or false");
        policies.*(key->member) = value.get<bool>();
    }
    return policies;
}

} // namespace

auto parsePolicies(const std::string &text, std::string &problem) -> std::optional<Policies>
{
    constexpr auto throwsOnError = true;
    constexpr auto allowsComments = true;
    try {
        return decode(Json::parse(text, nullptr, throwsOnError, allowsComments));
    } catch (const std::exception &error) {
        problem = error.what();
        return std::nullopt;
    }
}

} // namespace applehatch::gateway
