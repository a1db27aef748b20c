#include "applehatch/emulator/service.h"

#include <random>

namespace applehatch::emulator {

auto serviceAnswer(const std::string &method, const std::string &path, const std::string &body,
                   std::size_t pad) -> std::string
{
    const auto hash = hex(core::stableHash(method + " " + path + "\n" + body));
    return nlohmann::json{{"answer", hash}, {"pad", std::string(pad, '.')}}.dump();
}

PlainService::PlainService(PlainServiceOptions options)
    : options_(std::move(options))
    , record_(options_.logPath)
{
    std::random_device device;
    epoch_ = hex((static_cast<std::uint64_t>(device()) << 32U) | device());
    server_ = std::make_unique<HttpServer>(options_.listen, options_.threads,
                                           [this](const HttpRequest &call) { serve(call); });
}

PlainService::~PlainService()
{
    record_.stop();
    server_.reset();
}

auto PlainService::serve(const HttpRequest &request) -> void
{
    if (record_.serveControl(request) || !record_.pass()) {
        return;
    }
    if (request.path == "/v1/state") {
        answerJson(request, 200,
                   {{"epoch", epoch_},
                    {"running", record_.running()},
                    {"waiting", 0},
                    {"models", nlohmann::json::array()},
                    {"fence", 0}});
        return;
    }
    if (record_.faults().silent) {
        while (record_.faults().silent && record_.sleep(milliseconds(20))) { }
        return;
    }
    if (!request.bodyWhole) {
        return;
    }
    RunRecord entry;
    entry.request = request.header("X-Request-Id");
    entry.key = request.header("Idempotency-Key");
    entry.bodyHash = core::stableHash(request.body);
    const auto number = record_.begin(entry);
    record_.crashIfMarked(request.body);
    const auto done = record_.sleep(options_.delay);
    const auto early = record_.faults().endEarlyAfter >= 0;
    const auto *outcome = early ? "ended-early" : "whole";
    // As at an engine, a call is over before its caller has the last byte.
    record_.finish(number, done ? outcome : "abandoned");
    if (done) {
        sendAnswer(request, early);
    }
}

auto PlainService::sendAnswer(const HttpRequest &request, bool early) const -> void
{
    const auto path = request.query.empty() ? request.path : request.path + "?" + request.query;
    auto body = serviceAnswer(request.method, path, request.body, options_.answerPad);
    const auto length = body.size();
    if (early) {
        body.resize(length / 2);
    }
    const auto text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(length) + "\r\nConnection: close\r\n\r\n" + body;
    (void)mg_write(request.connection, text.data(), text.size());
}

} // namespace applehatch::emulator
