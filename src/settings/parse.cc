#include "limits.h"
#include "pool-parser.h"
#include "reader.h"

#include <algorithm>

namespace applehatch::settings {

namespace {

constexpr std::size_t sha256HexDigits = 64;

auto tokenHashRule() -> TextRule
{
    return {"64 lower-case hex digits, or nothing between the quotes", [](const std::string &text) {
                constexpr std::string_view digits = "0123456789abcdef";
                return text.empty()
                    || (text.size() == sha256HexDigits
                        && text.find_first_not_of(digits) == std::string::npos);
            }};
}

auto parseCustomers(const Json &customers, const std::string &path, Report &report)
    -> std::map<std::string, Customer>
{
    const auto rule = nameRule();
    std::map<std::string, Customer> parsed;
    for (const auto &[name, value] : customers.items()) {
        const auto childPath = joinPath(path, name);
        if (!rule.accepts(name)) {
            report.add(childPath, rule.expected, describe(name));
        }
        ObjectReader reader(value, childPath, report);
        Customer customer;
        customer.name = name;
        reader.number("weight", weightRange, customer.weight);
        reader.integer("inFlightLimit", Need::Optional, {0, maxInFlight}, customer.inFlightLimit);
        reader.refuseUnknown();
        parsed.emplace(name, customer);
    }
    return parsed;
}

auto parseRoot(const Json &root, Report &report, Team &team) -> void
{
    ObjectReader reader(root, "", report);
    if (const auto *pools = reader.object("pools", Need::Required)) {
        team.pools = parsePools(team.name, *pools, "pools", report);
    }
    if (const auto *customers = reader.object("customers", Need::Optional)) {
        team.customers = parseCustomers(*customers, "customers", report);
    }
    reader.text("adminTokenHash", Need::Optional, tokenHashRule(), team.adminTokenHash);
    reader.refuseUnknown();
}

} // namespace

auto parseTeam(const std::string &teamName, const std::string &text, SettingsIndex index)
    -> ParseResult
{
    auto document = parseDocument(text, maxTextBytes);
    if (!document.problems.empty()) {
        return {nullptr, std::move(document.problems)};
    }
    Report report(std::move(document.locations));
    auto team = std::make_shared<Team>();
    team->name = teamName;
    team->index = index;
    if (!nameRule().accepts(teamName)) {
        report.add("", "a team with " + nameRule().expected, describe(teamName));
    }
    parseRoot(document.root, report, *team);
    if (!report.empty()) {
        return {nullptr, report.problems()};
    }
    return {std::move(team), {}};
}

} // namespace applehatch::settings
