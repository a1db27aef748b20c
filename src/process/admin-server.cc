#include "applehatch/process/admin-server.h"

#include <utility>

namespace applehatch::process {

namespace {

constexpr int ok = 200;
constexpr int badRequest = 400;
constexpr int notFound = 404;
constexpr int tooLarge = 413;
constexpr int unavailable = 503;
constexpr int adminThreads = 4;
constexpr std::size_t maxApiBody = 1U << 20U; // The settings service's maximum value size.

auto answerText(HttpExchange &exchange, int status, std::string_view text) -> void
{
    // A failed write means that the caller has disconnected.
    (void)exchange.respond(status, {{"Content-Type", "text/plain; charset=utf-8"}}, text);
}

} // namespace

auto answerHealth(HttpExchange &exchange, const Health &health) -> bool
{
    const auto path = exchange.path();
    const auto answer = [&](bool isTrue) {
        answerText(exchange, isTrue ? ok : unavailable, isTrue ? "yes\n" : "no\n");
        return true;
    };
    if (path == "/health/live")
        return answer(true);
    if (path == "/health/ready")
        return answer(health.ready());
    if (path == "/health/draining")
        return answer(health.draining());
    return false;
}

AdminServer::AdminServer(telemetry::Metrics &metrics, Health health, admin::Source source)
    : metrics_(metrics)
    , health_(std::move(health))
    , source_(std::move(source))
{ }

auto AdminServer::start(const core::Address &address, core::Address &bound) -> std::error_code
{
    HttpServerOptions options;
    options.address = address;
    options.threads = adminThreads;
    return server_.start(
        options, [this](HttpExchange &exchange) { serve(exchange); }, bound);
}

auto AdminServer::serve(HttpExchange &exchange) -> void
{
    if (answerHealth(exchange, health_))
        return;
    const auto path = exchange.path();
    if (path == "/metrics") {
        (void)exchange.respond(ok, {{"Content-Type", "text/plain; version=0.0.4"}},
                               metrics_.scrape());
    } else if (path.substr(0, admin::apiPrefix.size()) == admin::apiPrefix) {
        serveApi(exchange);
    } else {
        answerText(exchange, notFound, "no such path\n");
    }
}

auto AdminServer::serveApi(HttpExchange &exchange) -> void
{
    admin::Request request;
    request.method = exchange.method();
    request.path = exchange.path();
    request.query = exchange.query();
    request.authorization = exchange.header("Authorization");
    request.fromLoopback = exchange.remoteIp().substr(0, 4) == "127.";
    const auto body = exchange.readBody(maxApiBody, request.body);
    if (body != BodyRead::Complete) {
        answerText(exchange, body == BodyRead::TooLarge ? tooLarge : badRequest, "body\n");
        return;
    }
    const auto answer = admin::handle(request, source_);
    const auto *type =
        answer.status >= badRequest ? "application/problem+json" : "application/json";
    (void)exchange.respond(answer.status, {{"Content-Type", type}}, answer.body);
}

} // namespace applehatch::process
