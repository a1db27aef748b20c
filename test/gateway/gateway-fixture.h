/// A gateway, scripted upstreams and callers on one event loop of the test's own thread.
#pragma once

#include "applehatch/gateway/gateway-host.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <unistd.h>

#include <array>
#include <charconv>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace applehatch::gateway::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

/// Limit on waiting for something that must happen; far longer than it takes.
constexpr auto testTimeout = 20s;

/// Runs the loop until `condition` holds or `limit` has passed; returns whether it holds.
template <typename Condition>
auto runUntil(asio::io_context &loop, Condition condition,
              std::chrono::milliseconds limit = testTimeout) -> bool
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        loop.restart();
        loop.run_for(2ms);
    }
    return condition();
}

/// Lets the loop run for `time`.
inline auto runFor(asio::io_context &loop, std::chrono::milliseconds time) -> void
{
    runUntil(
        loop, [] { return false; }, time);
}

/// Whether `text` contains a complete message: its head and as many bytes as its Content-Length.
inline auto isWholeRequest(const std::string &text) -> bool
{
    const auto head = text.find("\r\n\r\n");
    if (head == std::string::npos)
        return false;
    constexpr std::string_view name = "Content-Length: ";
    const auto at = text.find(name);
    if (at == std::string::npos || at > head)
        return true;
    std::size_t length = 0;
    std::from_chars(text.data() + at + name.size(), text.data() + text.size(), length);
    return text.size() >= head + 4 + length;
}

/// One connection that a scripted upstream accepted.
class ScriptedConnection : public std::enable_shared_from_this<ScriptedConnection>
{
public:
    using Script = std::function<void(ScriptedConnection &, const std::string &request)>;

    ScriptedConnection(tcp::socket socket, Script script)
        : socket_(std::move(socket))
        , script_(std::move(script))
    { }

    auto start() -> void { read(); }

    auto send(std::string text) -> void
    {
        auto buffer = std::make_shared<std::string>(std::move(text));
        asio::async_write(socket_, asio::buffer(*buffer),
                          [self = shared_from_this(), buffer](auto, auto) {});
    }

    /// Sends `text` and resets the connection 50 ms later, so that the peer reads the text first.
    auto sendThenReset(std::string text) -> void
    {
        send(std::move(text));
        const auto timer = std::make_shared<asio::steady_timer>(socket_.get_executor(), 50ms);
        timer->async_wait([self = shared_from_this(), timer](auto) { self->reset(); });
    }

    auto close() -> void
    {
        boost::system::error_code error;
        socket_.shutdown(tcp::socket::shutdown_send, error);
    }

    auto reset() -> void
    {
        boost::system::error_code error;
        socket_.set_option(asio::socket_base::linger(true, 0), error);
        socket_.close(error);
        ended = true;
    }

    std::vector<std::string> requests;
    bool ended = false; ///< The gateway closed the connection, or the script reset it.

private:
    auto read() -> void
    {
        socket_.async_read_some(asio::buffer(buffer_),
                                [self = shared_from_this()](auto error, auto count) {
                                    if (error) {
                                        self->ended = true;
                                        return;
                                    }
                                    self->text_.append(self->buffer_.data(), count);
                                    if (isWholeRequest(self->text_)) {
                                        self->requests.push_back(std::exchange(self->text_, {}));
                                        self->script_(*self, self->requests.back());
                                    }
                                    if (!self->ended)
                                        self->read();
                                });
    }

    tcp::socket socket_;
    Script script_;
    std::array<char, 65536> buffer_{};
    std::string text_;
};

/// An upstream whose script writes the exact bytes of each answer.
class ScriptedUpstream
{
public:
    ScriptedUpstream(asio::io_context &loop, std::string instance,
                     ScriptedConnection::Script script)
        : name(std::move(instance))
        , acceptor_(loop, {asio::ip::make_address("127.0.0.1"), 0})
        , script_(std::move(script))
    {
        accept();
    }

    [[nodiscard]] auto entry(const std::string &service) const -> direct::Upstream
    {
        direct::Upstream upstream;
        upstream.instance = name;
        upstream.id = core::stableHash(name);
        upstream.service = service;
        upstream.address = {"127.0.0.1", acceptor_.local_endpoint().port()};
        upstream.dataCenter = "here";
        upstream.slots = 8;
        return upstream;
    }

    [[nodiscard]] auto requests() const -> std::vector<std::string>
    {
        std::vector<std::string> all;
        for (const auto &connection : connections)
            all.insert(all.end(), connection->requests.begin(), connection->requests.end());
        return all;
    }

    /// Accepts no further connections.
    auto closeListener() -> void { acceptor_.close(); }

    std::string name;
    std::vector<std::shared_ptr<ScriptedConnection>> connections;

private:
    auto accept() -> void
    {
        acceptor_.async_accept([this](auto error, tcp::socket socket) {
            if (error)
                return;
            connections.push_back(std::make_shared<ScriptedConnection>(std::move(socket), script_));
            connections.back()->start();
            accept();
        });
    }

    tcp::acceptor acceptor_;
    ScriptedConnection::Script script_;
};

/// A caller's connection; keeps everything that it received.
class Caller
{
public:
    Caller(asio::io_context &loop, const core::Address &to)
        : loop_(loop)
        , socket_(loop)
    {
        socket_.connect({asio::ip::make_address(to.ip), to.port});
        read();
    }

    auto send(const std::string &text) -> void { asio::write(socket_, asio::buffer(text)); }

    /// Sends what may be larger than the kernel holds for a connection, while the loop runs.
    auto sendLarge(std::string text) -> void
    {
        large_ = std::move(text);
        asio::async_write(socket_, asio::buffer(large_), [](auto, auto) {});
    }

    auto disconnect() -> void
    {
        boost::system::error_code error;
        socket_.close(error);
    }

    /// Closes the connection with a reset.
    auto reset() -> void
    {
        boost::system::error_code error;
        socket_.set_option(asio::socket_base::linger(true, 0), error);
        socket_.close(error);
    }

    /// Sends a byte; returns whether the connection still takes it.
    auto canSend() -> bool
    {
        boost::system::error_code error;
        asio::write(socket_, asio::buffer("x", 1), error);
        return !error;
    }

    /// Waits until `text` has been received.
    auto receives(const std::string &text) -> bool
    {
        return runUntil(loop_, [&] { return received.find(text) != std::string::npos; });
    }

    auto seesClose() -> bool
    {
        return runUntil(loop_, [&] { return ended; });
    }

    std::string received;
    bool ended = false;

private:
    auto read() -> void
    {
        socket_.async_read_some(asio::buffer(buffer_), [this](auto error, auto count) {
            if (error == asio::error::operation_aborted)
                return;
            if (error) {
                ended = true;
                return;
            }
            received.append(buffer_.data(), count);
            read();
        });
    }

    asio::io_context &loop_;
    tcp::socket socket_;
    std::string large_; // Being sent.
    std::array<char, 65536> buffer_{};
};

/// Returns the parts that `text` names, separated by commas, and a last one that all prompts share.
inline auto readTestPrompt(std::string_view text) -> direct::Prompt
{
    direct::Prompt prompt;
    for (auto rest = text;; rest.remove_prefix(rest.find(',') + 1)) {
        prompt.push_back({core::stableHash(rest.substr(0, rest.find(','))), 100});
        if (rest.find(',') == std::string_view::npos)
            break;
    }
    prompt.push_back({1, 10});
    return prompt;
}

/// Header names used only by these tests; the gateway has none of its own.
inline auto testVocabulary() -> Vocabulary
{
    Vocabulary vocabulary;
    vocabulary.requestId = "Request-Id";
    vocabulary.deadline = "Time-Left-Ms";
    vocabulary.proof = "Ran-By";
    vocabulary.notRun = "Not-Run";
    vocabulary.expectInstance = "Only-At";
    vocabulary.customer = "For-Customer";
    vocabulary.priority = "Urgency";
    vocabulary.loadReport = "Load";
    vocabulary.prompt = "Prompt-Parts";
    vocabulary.fetchFrom = "Fetch-Context";
    vocabulary.lastEventId = "Last-Event-ID";
    vocabulary.resumes = "First-Request";
    vocabulary.leaving = "Going-Away";
    vocabulary.restRequest = "Rest-Ms";
    vocabulary.keyScheme = "Bearer";
    vocabulary.routerOnly = {"Reserve", "Fetch-Context"};
    vocabulary.endToEnd = {"Request-Id", "Prompt-Parts"};
    vocabulary.readPrompt = readTestPrompt;
    vocabulary.tokens = "Token-Counts";
    vocabulary.readLoad = [](std::string_view) { return std::nullopt; };
    vocabulary.readLeaving = [](std::string_view text) { return text == "yes"; };
    vocabulary.readRestRequest = [](std::string_view text) {
        return std::chrono::milliseconds(std::stoi(std::string(text)));
    };
    vocabulary.readMaxTokens = [](std::string_view text) {
        return static_cast<std::uint32_t>(std::stoul(std::string(text)));
    };
    return vocabulary;
}

/// Routes of one host: `/safe/`, `/once/`, `/stream/` (not resumable) and `/resume/`.
inline auto testConfiguration(std::uint64_t version = 1, const std::string &key = "key-1")
    -> std::shared_ptr<direct::Configuration>
{
    auto configuration = std::make_shared<direct::Configuration>();
    configuration->version = version;
    const auto add = [&](const std::string &prefix, direct::RouteKind kind, unsigned attempts) {
        direct::Route route;
        route.name = prefix;
        route.host = "api.example";
        route.prefix = prefix;
        route.kind = kind;
        route.targets = {{"pool", 1}};
        route.timeout = 3s;
        route.objective = 400ms;
        route.maxEventGap = 400ms;
        route.attempts = attempts;
        route.resumable = prefix == "/resume/";
        configuration->add(std::move(route));
    };
    add("/safe/", direct::RouteKind::Safe, 2);
    add("/once/", direct::RouteKind::Unsafe, 1);
    add("/stream/", direct::RouteKind::Stream, 1);
    add("/resume/", direct::RouteKind::Stream, 2);
    configuration->add({"acme", std::nullopt}, {key});
    return configuration;
}

/// Returns a loopback address that no other process of these tests uses, with a new port each time.
/// A port that was free a moment ago may be taken by another process meanwhile.
inline auto ownAddress() -> core::Address
{
    static std::uint16_t port = 20000;
    const auto process = static_cast<unsigned>(::getpid());
    const auto ip = "127." + std::to_string(64 + ((process >> 16U) & 63U)) + '.'
        + std::to_string((process >> 8U) & 255U) + '.' + std::to_string(process & 255U);
    return {ip, ++port};
}

/// Settings of a gateway at addresses of its own, which knows `seeds`.
inline auto testSettings(std::vector<core::Address> seeds) -> GatewaySettings
{
    GatewaySettings made;
    made.name = "gateway";
    made.dataCenter = "here";
    made.callers = ownAddress();
    made.readiness = ownAddress();
    made.metrics = ownAddress();
    made.peers = ownAddress();
    made.seeds = std::move(seeds);
    made.retries.extra = 1000; // A newly started process has a small share of it.
    return made;
}

/// A gateway and the registry contents that it decodes.
class Gateway
{
public:
    explicit Gateway(asio::io_context &loop, std::vector<core::Address> seeds = {})
        : loop_(loop)
        , settings(testSettings(std::move(seeds)))
        , host(loop, settings, testVocabulary(), [this](const auto &) { return registry; })
    {
        const auto error = host.start();
        if (error)
            throw boost::system::system_error(error);
    }

    /// Applies configuration and upstreams as if the registry had been read.
    auto applyRegistry(std::shared_ptr<direct::Configuration> configuration,
                       direct::UpstreamList upstreams) -> void
    {
        registry.configuration = std::move(configuration);
        registry.upstreams = std::move(upstreams);
        ++revision_;
        host.registryAnswered();
        host.registryRead({revision_, {{"all", std::to_string(revision_), revision_}}});
    }

    auto caller() -> Caller { return {loop_, settings.callers}; }

    /// Sets the time from the stop request to the end of the process.
    auto setStopTimeout(Duration timeout) -> void
    {
        settings.stopTimeout = timeout;
        host.reload(settings);
    }

    DecodedRegistry registry;

private:
    asio::io_context &loop_;
    std::uint64_t revision_ = 0;

public:
    GatewaySettings settings;
    GatewayHost host;
};

/// Returns the metrics as an operator scrapes them.
inline auto scrape(asio::io_context &loop, const Gateway &gateway) -> std::string
{
    Caller scraper(loop, gateway.settings.metrics);
    scraper.send("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n");
    scraper.receives("applehatch_peers");
    return scraper.received;
}

/// Returns the status that the load balancer sees.
inline auto readinessStatus(asio::io_context &loop, const Gateway &gateway) -> std::string
{
    Caller probe(loop, gateway.settings.readiness);
    probe.send("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n");
    probe.receives("\r\n\r\n");
    return probe.received.substr(9, 3);
}

/// A request of a caller with a valid key.
inline auto requestText(const std::string &path, const std::string &id,
                        const std::string &extraHeaders = {}, const std::string &body = "hello")
    -> std::string
{
    return "POST " + path + " HTTP/1.1\r\nHost: api.example\r\nRequest-Id: " + id
        + "\r\nAuthorization: Bearer key-1\r\n" + extraHeaders
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Returns the value of a header in a request or response; empty when it is absent.
inline auto headerOf(const std::string &text, const std::string &name) -> std::string
{
    const auto at = text.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return {};
    const auto from = at + name.size() + 4;
    return text.substr(from, text.find("\r\n", from) - from);
}

/// The complete plain answer of a correct upstream to `request`.
inline auto plainAnswer(const std::string &request, const std::string &body) -> std::string
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(request, "Request-Id")
        + "\r\nRan-By: proof\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A script that gives each request the complete plain answer `body`.
inline auto answersWith(std::string body) -> ScriptedConnection::Script
{
    return [body = std::move(body)](ScriptedConnection &connection, const std::string &request) {
        connection.send(plainAnswer(request, body));
    };
}

/// The head of the streamed answer of a correct upstream to `request`.
inline auto streamHead(const std::string &request) -> std::string
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: " + headerOf(request, "Request-Id")
        + "\r\nRan-By: proof\r\nContent-Type: text/event-stream\r\n"
          "Transfer-Encoding: chunked\r\n\r\n";
}

/// One event of a stream, framed as a chunk.
inline auto eventChunk(int id) -> std::string
{
    return chunkText("id: " + std::to_string(id) + "\ndata: piece-" + std::to_string(id) + "\n\n");
}

} // namespace applehatch::gateway::testing
