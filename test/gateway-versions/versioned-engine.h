/// An engine of one version of its software.
#pragma once

#include "gateway/gateway-fixture.h"

#include <algorithm>
#include <functional>
#include <string>
#include <utility>

namespace applehatch::gateway::testing {

/// How an engine ends its answers.
enum class Ending {
    Whole,
    Reset,       ///< After the first event the connection is reset.
    ResetAtOnce, ///< The same before anything came.
    Silent,      ///< After the first event nothing more comes.
};

/// Answers a stream of three events, or what is left of it after `Last-Event-Id`.
class VersionedEngine
{
public:
    VersionedEngine(asio::io_context &loop, const std::string &name, std::string softwareVersion)
        : version(std::move(softwareVersion))
        , upstream(loop, name,
                   [this](auto &connection, const auto &text) { answer(connection, text); })
    { }

    /// The engine's entry; without `version` if the version is empty.
    [[nodiscard]] auto entry(const std::string &state) const -> std::string
    {
        const auto address = upstream.entry("pool").address;
        const auto told = version.empty() ? "" : R"(,"version":")" + version + '"';
        return R"({"service":"pool","addr":"127.0.0.1:)" + std::to_string(address.port)
            + R"(","zone":"here","slots":64,"state":")" + state + '"' + told + '}';
    }

    /// Requests that went on behind an event.
    [[nodiscard]] auto resumed() const -> std::size_t
    {
        const auto all = upstream.requests();
        return static_cast<std::size_t>(std::count_if(all.begin(), all.end(), isResume));
    }
    [[nodiscard]] auto requests() const -> std::size_t { return upstream.requests().size(); }

    std::string version;
    Ending ending = Ending::Whole;
    std::function<void()> answered; ///< Called as the engine answers.
    ScriptedUpstream upstream;

private:
    static auto isResume(const std::string &request) -> bool
    {
        return !headerOf(request, "Last-Event-Id").empty();
    }

    auto answer(ScriptedConnection &connection, const std::string &request) const -> void
    {
        const auto head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + headerOf(request, "X-Attempt-Id")
            + "\r\nX-Response-Seal: seal\r\nContent-Type: text/event-stream\r\n"
              "Transfer-Encoding: chunked\r\n\r\n";
        const auto first = isResume(request) ? 2 : 1;
        if (answered)
            answered();
        if (ending == Ending::ResetAtOnce)
            return connection.sendThenReset("");
        if (ending == Ending::Reset)
            return connection.sendThenReset(head + eventChunk(first));
        if (ending == Ending::Silent)
            return connection.send(head + eventChunk(first));
        std::string events;
        for (int id = first; id <= 3; ++id)
            events += eventChunk(id);
        connection.send(head + events + std::string(lastChunk));
    }
};

} // namespace applehatch::gateway::testing
