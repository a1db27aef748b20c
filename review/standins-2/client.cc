#include "client.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace review {

using Json = nlohmann::json;

namespace {

auto route(const std::string &name, const std::string &prefix, const std::string &type,
           const std::string &service, int timeoutMs, int objectiveMs, int attempts) -> Json
{
    return {{"name", name},
            {"host", host},
            {"path-prefix", prefix},
            {"type", type},
            {"service", service},
            {"timeout-ms", timeoutMs},
            {"slo-ms", objectiveMs},
            {"priority", 1},
            {"attempts", attempts},
            {"public", false},
            {"sticky", type == "streaming"},
            {"resumable", attempts > 1 && type == "streaming"},
            {"itl-target-ms", 250}};
}

} // namespace

auto textOf(const Call &call, const std::string &deadline) -> std::string
{
    auto text = call.method + ' ' + call.path + " HTTP/1.1\r\nHost: " + host
        + "\r\nX-Attempt-Id: " + call.id + "\r\nX-Deadline-Ms: " + deadline
        + "\r\nAuthorization: Bearer " + call.key + "\r\n" + call.headers;
    if (!call.body.empty())
        text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n";
    return text + "\r\n" + call.body;
}

Client::Client(Endpoint gateway, Record &record)
    : gateway_(std::move(gateway))
    , record_(record)
{ }

auto Client::connect(Milliseconds patience) -> bool
{
    if (isConnected())
        return true;
    buffer_.clear();
    socket_ = connectTo(gateway_, Clock::now() + patience);
    return socket_.isOpen();
}

auto Client::close() -> void
{
    socket_.close();
}

auto Client::call(const Call &call, Milliseconds patience) -> Answer
{
    const auto sentAt = record_.milliseconds();
    const auto until = Clock::now() + patience;
    Answer answer;
    if (connect(patience) && socket_.send(textOf(call, std::to_string(call.deadlineMs)), until))
        answer = readAnswer(socket_, buffer_, until);
    const auto *kind = answer.status == 0 ? "none" : answer.isWhole ? "whole" : "cut";
    const auto outcome = std::string(kind) + ' ' + std::to_string(answer.status);
    record_.note("sent " + call.path + ' ' + outcome,
                 "sent " + call.id + " at " + std::to_string(sentAt) + " ms: " + outcome);
    const auto connection = answer.headers.find("connection");
    if (!answer.isWhole || connection != answer.headers.end())
        close();
    return answer;
}

auto configuration(int version) -> std::string
{
    const Json engines{{"name", "hatch-pool"},
                       {"health-path", "/healthz"},
                       {"max-conns", 360},
                       {"protocol", "h1"},
                       {"tls", false},
                       {"backend",
                        {{"slots", 64},
                         {"kv-capacity", 655737},
                         {"kv-token-bytes", 18432},
                         {"link-mbps", 280000.0},
                         {"moves", true},
                         {"backups", true},
                         {"stride", 5},
                         {"most", 2},
                         {"pin-ms", 4000.0},
                         {"hold-ms", 2000.0},
                         {"kv-handle-s", 5.0},
                         {"models", {{{"name", "m"}}}}}}};
    const Json application{{"name", "dash-app"},
                           {"health-path", "/healthz"},
                           {"max-conns", 96},
                           {"protocol", "h1"},
                           {"tls", false}};
    return Json{{"version", version},
                {"routes",
                 {route("draft", "/draft/", "streaming", "hatch-pool", 15000, 800, 1),
                  route("chat", "/chat/", "streaming", "hatch-pool", 12000, 300, 2),
                  route("save", "/save/", "unsafe", "dash-app", 600, 100, 1),
                  route("fetch", "/fetch/", "safe", "dash-app", 600, 100, 2)}},
                {"services", {engines, application}},
                {"limits",
                 {{"max-header-bytes", 16384},
                  {"max-body-bytes", 4194304},
                  {"header-timeout-ms", 3000},
                  {"idle-timeout-ms", 15000}}},
                {"tenants",
                 {{{"name", "hule930"}, {"api-keys", {Call().key}}, {"priority", 1}},
                  {{"name", "wuno96"}, {"api-keys", {secondKey}}, {"priority", 1}}}}}
        .dump();
}

} // namespace review
