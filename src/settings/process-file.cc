#include "applehatch/settings/process-file.h"

#include "limits.h"
#include "reader.h"

#include <algorithm>
#include <array>

namespace applehatch::settings {

namespace {

constexpr std::uint16_t anyPort = 0;
constexpr std::uint16_t fixedPort = 1;

/// Keys of one role, which are refused by name for the other: a sidecar started with a router's
/// file would otherwise start without the upstream it was meant for.
constexpr std::array routerKeys{"callers"};
constexpr std::array sidecarKeys{"links", "upstream", "team", "pool", "member", "weights"};

template <typename Keys>
auto refuseKeys(ObjectReader &reader, const Keys &keys, const std::string &expected) -> void
{
    for (const auto *key : keys) {
        if (reader.has(key)) {
            reader.refuse(key, expected);
        }
    }
}

auto readPeers(ObjectReader &reader, Report &report, std::vector<Address> &into) -> void
{
    const auto *peers = reader.array("bootstrapPeers", Need::Optional);
    if (peers == nullptr) {
        return;
    }
    for (std::size_t i = 0; i < peers->size(); ++i) {
        const auto &value = peers->at(i);
        const auto peer =
            value.is_string() ? parseAddress(value.get<std::string>(), fixedPort) : std::nullopt;
        if (!peer) {
            report.add(joinPath("bootstrapPeers", i), "an address such as \"127.0.0.1:7000\"",
                       describe(value));
        } else if (std::find(into.begin(), into.end(), *peer) != into.end()) {
            report.add(joinPath("bootstrapPeers", i), "each peer once", describe(value));
        } else {
            into.push_back(*peer);
        }
    }
}

auto readSidecar(ObjectReader &reader, ProcessFile &file) -> void
{
    refuseKeys(reader, routerKeys, "no such key for a sidecar");
    reader.address("links", Need::Required, fixedPort, file.links);
    reader.address("upstream", Need::Required, fixedPort, file.upstream);
    reader.text("team", Need::Required, nameRule(), file.team);
    reader.text("pool", Need::Required, nameRule(), file.pool);
    reader.text("member", Need::Required, nameRule(), file.member);
    reader.address("weights", Need::Optional, fixedPort, file.weights);
    reader.address("digest", Need::Required, fixedPort, file.digest);
}

auto readRouter(ObjectReader &reader, ProcessFile &file) -> void
{
    refuseKeys(reader, sidecarKeys, "no such key for a router");
    reader.address("callers", Need::Required, anyPort, file.callers);
    reader.address("digest", Need::Required, anyPort, file.digest);
}

/// Two listeners cannot bind the same address.
auto refuseSharedListeners(const ProcessFile &file, Report &report) -> void
{
    const auto &first = file.links.ip.empty() ? file.callers : file.links;
    if (first.port != 0 && first == file.admin) {
        report.add("admin", "an address of its own",
                   describe(first.ip + ':' + std::to_string(first.port)) + " twice");
    }
}

auto readAll(const Json &root, Role role, Report &report, ProcessFile &file) -> void
{
    ObjectReader reader(root, "", report);
    reader.text("name", Need::Required, nameRule(), file.name);
    reader.text("dataCenter", Need::Required, nameRule(), file.dataCenter);
    reader.address("admin", Need::Required, anyPort, file.admin);
    reader.address("settings", Need::Required, fixedPort, file.settings);
    reader.address("hostList", Need::Required, fixedPort, file.hostList);
    if (role == Role::Router) {
        readRouter(reader, file);
    } else {
        readSidecar(reader, file);
    }
    readPeers(reader, report, file.bootstrapPeers);
    reader.milliseconds("drainDeadlineMs", {0, maxDeadlineMs}, file.drainDeadline);
    reader.refuseUnknown();
    refuseSharedListeners(file, report);
}

} // namespace

auto parseProcessFile(const std::string &text, Role role) -> ProcessFileResult
{
    auto document = parseDocument(text, maxTextBytes);
    if (!document.problems.empty()) {
        return {nullptr, std::move(document.problems)};
    }
    Report report(std::move(document.locations));
    auto file = std::make_shared<ProcessFile>();
    readAll(document.root, role, report, *file);
    if (!report.empty()) {
        return {nullptr, report.problems()};
    }
    return {std::move(file), {}};
}

} // namespace applehatch::settings
