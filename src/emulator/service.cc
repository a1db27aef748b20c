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
    record_.finish(number, run(request));
}

auto PlainService::run(const HttpRequest &request) -> std::string
{
    if (!record_.sleep(options_.delay)) {
        return "abandoned";
    }
    const auto path = request.query.empty() ? request.path : request.path + "?" + request.query;
    auto body = serviceAnswer(request.method, path, request.body, options_.answerPad);
    const auto length = body.size();
    const auto early = record_.faults().endEarlyAfter >= 0;
    if (early) {
        body.resize(length / 2);
    }
    const auto text = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
        + std::to_string(length) + "\r\nConnection: close\r\n\r\n" + body;
    if (mg_write(request.connection, text.data(), text.size()) <= 0) {
        return "abandoned";
    }
    return early ? "ended-early" : "whole";
}

} // namespace applehatch::emulator
