#include "applehatch/direct/directory.h"

#include <algorithm>
#include <utility>

namespace applehatch::direct {

auto stateName(UpstreamState state) -> std::string_view
{
    switch (state) {
    case UpstreamState::Ready:
        return "ready";
    case UpstreamState::Doubtful:
        return "doubtful";
    case UpstreamState::Leaving:
        break;
    }
    return "leaving";
}

auto Configuration::add(Route route) -> void
{
    auto &routes = routesByHost_[route.host];
    const auto longerFirst = [](const auto &existing, const Route &added) {
        return existing->prefix.size() >= added.prefix.size();
    };
    const auto place = std::lower_bound(routes.begin(), routes.end(), route, longerFirst);
    routes.insert(place, std::make_shared<const Route>(std::move(route)));
}

auto Configuration::add(Customer customer, const std::vector<std::string> &keys) -> void
{
    namesCustomers = true;
    const auto shared = std::make_shared<const Customer>(std::move(customer));
    for (const auto &key : keys)
        customersByKey_[key] = shared;
}

auto Configuration::findRoute(std::string_view host, std::string_view path) const -> const Route *
{
    const auto routes = routesByHost_.find(std::string(host));
    if (routes == routesByHost_.end())
        return nullptr;
    for (const auto &route : routes->second) {
        if (path.starts_with(route->prefix))
            return route.get();
    }
    return nullptr;
}

auto Configuration::findCustomer(const std::string &key) const -> const Customer *
{
    const auto found = customersByKey_.find(key);
    return found == customersByKey_.end() ? nullptr : found->second.get();
}

} // namespace applehatch::direct
