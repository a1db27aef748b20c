#include "applehatch/clients/settings-client.h"

#include "applehatch/clients/http.h"
#include "applehatch/core/base64.h"

#include "applehatch/settings/foreign-json.h"

#include <charconv>

namespace applehatch::clients {

namespace {

using Json = nlohmann::json;

constexpr std::size_t maxAnswerBytes = 64U << 20U;
constexpr core::Duration readTimeout = std::chrono::seconds(10);
constexpr std::string_view teamPrefix = "teams/";
/// A watch that is not answered this long after its wait counts as lost. A middlebox may lose the
/// connections of all readers at once, and a change must not be delayed for longer.
constexpr core::Duration watchGrace = std::chrono::seconds(4);
constexpr int ok = 200;
constexpr int notModified = 304;
constexpr int notFound = 404;

auto badMessage() -> std::error_code
{
    return std::make_error_code(std::errc::bad_message);
}

auto parseIndex(std::string_view text) -> std::optional<core::SettingsIndex>
{
    core::SettingsIndex index = 0;
    const auto *end = text.data() + text.size();
    const auto [stop, failed] = std::from_chars(text.data(), end, index);
    return failed == std::errc() && stop == end ? std::optional(index) : std::nullopt;
}

/// The team that a key names; empty for a folder or for any other key in the tree.
auto teamOf(const std::string &key) -> std::string
{
    if (key.compare(0, teamPrefix.size(), teamPrefix) != 0) {
        return {};
    }
    const auto team = key.substr(teamPrefix.size());
    return team.find('/') == std::string::npos ? team : std::string();
}

auto stringAt(const Json &row, const char *key) -> const std::string *
{
    const auto found = row.find(key);
    return found == row.end() ? nullptr : found->get_ptr<const std::string *>();
}

/// Parses one row; false when it does not have the service's format.
auto takeRow(const Json &row, core::SettingsRead &into) -> bool
{
    const auto *key = row.is_object() ? stringAt(row, "Key") : nullptr;
    if (key == nullptr) {
        return false;
    }
    const auto team = teamOf(*key);
    if (team.empty()) {
        return true;
    }
    const auto *value = stringAt(row, "Value");
    const auto index = row.find("ModifyIndex");
    if (value == nullptr || index == row.end() || !index->is_number_unsigned()) {
        return false;
    }
    auto text = core::decodeBase64(*value);
    if (!text) {
        return false;
    }
    into.texts.push_back({team, index->get<core::SettingsIndex>(),
                          std::make_shared<const std::string>(std::move(*text))});
    return true;
}

auto takeRows(const std::string &body, core::SettingsRead &into) -> std::error_code
{
    const auto rows = settings::tryParseForeignJson(body);
    if (!rows.is_array()) {
        return badMessage();
    }
    for (const auto &row : rows) {
        if (!takeRow(row, into)) {
            return badMessage();
        }
    }
    return {};
}

auto requestFor(const core::Address &service, std::optional<core::SettingsIndex> waitFor,
                core::Duration wait) -> HttpRequest
{
    HttpRequest request;
    request.server = service;
    request.path = "/v1/kv/teams/?recurse=true";
    request.timeout = readTimeout;
    request.maxBodyBytes = maxAnswerBytes;
    if (waitFor) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(wait).count();
        request.path += "&index=" + std::to_string(*waitFor);
        request.path += "&wait=" + std::to_string(seconds) + 's';
        request.timeout = wait + watchGrace;
        request.headers.emplace_back("If-None-Match", '"' + std::to_string(*waitFor) + '"');
    }
    return request;
}

} // namespace

SettingsClient::SettingsClient(core::Address service)
    : service_(std::move(service))
{ }

auto SettingsClient::read(std::optional<core::SettingsIndex> waitFor, core::Duration wait,
                          core::SettingsRead &into) const -> std::error_code
{
    HttpResponse response;
    auto request = requestFor(service_, waitFor, wait);
    request.cancelled = &stopped_;
    const auto failed = exchange(request, response);
    if (failed) {
        return failed;
    }
    const auto index = parseIndex(response.header("X-Consul-Index"));
    if (response.status == notModified && waitFor && index == waitFor) {
        into = {*index, {}, true};
        return {};
    }
    if ((response.status != ok && response.status != notFound) || !index) {
        return badMessage();
    }
    core::SettingsRead taken;
    taken.index = *index;
    if (response.status == ok) {
        const auto broken = takeRows(response.body, taken);
        if (broken) {
            return broken;
        }
    }
    into = std::move(taken);
    return {};
}

} // namespace applehatch::clients
