/// HTTP server for operators and the load balancer: metrics, health checks, administration.
#pragma once

#include "applehatch/admin/api.h"
#include "applehatch/process/http-server.h"
#include "applehatch/telemetry/metrics.h"

#include <functional>

namespace applehatch::process {

/// State that the load balancer queries through the health checks.
struct Health
{
    std::function<bool()> ready;
    std::function<bool()> draining;
};

/// Answers `/health/live`, `/health/ready` and `/health/draining`; returns false without answering
/// for any other path.
[[nodiscard]] auto answerHealth(HttpExchange &exchange, const Health &health) -> bool;

/// Serves `/metrics`, `/health/...` and the administration API on a separate address.
class AdminServer
{
public:
    AdminServer(telemetry::Metrics &metrics, Health health, admin::Source source);

    [[nodiscard]] auto start(const core::Address &address, core::Address &bound) -> std::error_code;

private:
    auto serve(HttpExchange &exchange) -> void;
    auto serveApi(HttpExchange &exchange) -> void;

    telemetry::Metrics &metrics_;
    Health health_;
    admin::Source source_;
    HttpServer server_;
};

} // namespace applehatch::process
