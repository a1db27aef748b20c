#include "applehatch/clients/http.h"
#include "applehatch/clients/settings-client.h"

#include "applehatch/settings/foreign-json.h"

namespace applehatch::clients {

namespace {

using Json = nlohmann::json;

constexpr int ok = 200;
constexpr int notModified = 304;

auto entityTag(std::uint64_t version) -> std::string
{
    return '"' + std::to_string(version) + '"';
}

auto parseHost(const Json &row) -> std::optional<core::Host>
{
    const auto ip = row.is_object() ? row.find("ip") : row.end();
    const auto state = row.is_object() ? row.find("state") : row.end();
    if (ip == row.end() || state == row.end() || !ip->is_string() || !state->is_string()) {
        return std::nullopt;
    }
    if (*state != "live" && *state != "leaving") {
        return std::nullopt;
    }
    return core::Host{ip->get<std::string>(),
                      *state == "live" ? core::HostState::Live : core::HostState::Leaving};
}

auto parseList(const std::string &body) -> std::optional<core::HostList>
{
    const auto root = settings::tryParseForeignJson(body);
    const auto version = root.is_object() ? root.find("version") : root.end();
    const auto hosts = root.is_object() ? root.find("hosts") : root.end();
    if (version == root.end() || hosts == root.end() || !version->is_number_unsigned()
        || !hosts->is_array()) {
        return std::nullopt;
    }
    core::HostList list;
    list.version = version->get<std::uint64_t>();
    for (const auto &row : *hosts) {
        auto host = parseHost(row);
        if (!host) {
            return std::nullopt;
        }
        list.hosts.push_back(std::move(*host));
    }
    return list;
}

} // namespace

HostListClient::HostListClient(core::Address service)
    : service_(std::move(service))
{ }

auto HostListClient::read(core::Duration timeout, core::HostList &into) const -> std::error_code
{
    HttpRequest request;
    request.server = service_;
    request.path = "/v1/hosts";
    request.timeout = timeout;
    const auto wasRead = into.version != 0;
    if (wasRead)
        request.headers.emplace_back("If-None-Match", entityTag(into.version));
    HttpResponse response;
    const auto failed = exchange(request, response);
    if (failed) {
        return failed;
    }
    if (wasRead && response.status == notModified)
        return {};
    auto list = response.status == ok ? parseList(response.body) : std::nullopt;
    if (!list) {
        return std::make_error_code(std::errc::bad_message);
    }
    into = std::move(*list);
    return {};
}

} // namespace applehatch::clients
