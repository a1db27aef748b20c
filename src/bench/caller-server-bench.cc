// What a caller's kept connection costs a router: with CivetWeb's thread for each, and on the
// gateway's event loop. Prints one JSON line for each server.
#include "applehatch/gateway/listener.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <civetweb.h>

#include <sys/resource.h>

#include <array>
#include <fstream>
#include <functional>
#include <iostream>
#include <limits>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace {

namespace asio = boost::asio;
using applehatch::gateway::CallerHooks;
using applehatch::gateway::CallerPtr;
using applehatch::gateway::Listener;
using applehatch::gateway::RequestMessage;
using applehatch::gateway::ResponseHead;
using asio::ip::tcp;

constexpr int connections = 300; // A router's open streams at the size to design for.
constexpr int requestsEach = 20;
constexpr std::size_t bodyBytes = 800;

auto residentKb() -> long
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word) {
        long kb = 0;
        if (word == "VmRSS:" && status >> kb)
            return kb;
    }
    return 0;
}

auto processorSeconds() -> double
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval &time) {
        constexpr double microsecond = 1e-6;
        return static_cast<double>(time.tv_sec) + microsecond * static_cast<double>(time.tv_usec);
    };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

/// Opens all connections and sends requests over them in turn; the same work for each server.
auto drive(const std::string &name, std::uint16_t port) -> void
{
    const auto memoryBefore = residentKb();
    const auto processorBefore = processorSeconds();
    asio::io_context loop;
    std::vector<std::unique_ptr<tcp::socket>> sockets;
    for (int i = 0; i < connections; ++i) {
        sockets.push_back(std::make_unique<tcp::socket>(loop));
        sockets.back()->connect({asio::ip::make_address("127.0.0.1"), port});
    }
    const std::string request = "GET / HTTP/1.1\r\nHost: bench\r\n\r\n";
    for (int round = 0; round < requestsEach; ++round) {
        for (auto &socket : sockets) {
            asio::write(*socket, asio::buffer(request));
            std::string answer;
            std::array<char, 4096> part{};
            while (answer.find("\r\n\r\n") == std::string::npos || answer.size() < bodyBytes)
                answer.append(part.data(), socket->read_some(asio::buffer(part)));
        }
    }
    const auto each = static_cast<double>(residentKb() - memoryBefore) / connections;
    const auto perRequest =
        (processorSeconds() - processorBefore) / (connections * requestsEach) * 1e6;
    std::cout << R"({"server":")" << name << R"(","connections":)" << connections << R"(,"kbEach":)"
              << each << R"(,"processorUsEachRequest":)" << perRequest << "}\n";
}

auto runLoop() -> void
{
    asio::io_context loop(1);
    applehatch::gateway::RequestMemory requests(loop, std::numeric_limits<std::size_t>::max() / 2);
    CallerHooks hooks;
    hooks.requests = &requests;
    hooks.answers = &requests.budget();
    hooks.limits = [] { return applehatch::direct::CallerLimits{}; };
    hooks.request = [](const CallerPtr &caller, const RequestMessage &) {
        ResponseHead head;
        head.status = 200;
        caller->answer(std::move(head), std::string(bodyBytes, 'x'));
    };
    Listener listener(loop, std::move(hooks));
    if (listener.open({"127.0.0.1", 0}))
        return;
    const auto port = listener.port();
    auto work = asio::make_work_guard(loop);
    std::thread thread([&loop] { loop.run(); });
    drive("event-loop", port);
    loop.stop();
    thread.join();
}

auto answerCivet(mg_connection *connection, void * /*unused*/) -> int
{
    const std::string body(bodyBytes, 'x');
    mg_printf(connection, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", body.size(),
              body.c_str());
    return 200;
}

auto runCivet() -> void
{
    const auto threads = std::to_string(connections);
    const std::array<const char *, 9> options{"listening_ports",
                                              "127.0.0.1:0",
                                              "num_threads",
                                              threads.c_str(),
                                              "enable_keep_alive",
                                              "yes",
                                              "tcp_nodelay",
                                              "1",
                                              nullptr};
    mg_init_library(0);
    mg_callbacks callbacks{};
    auto *server = mg_start(&callbacks, nullptr, const_cast<const char **>(options.data()));
    if (server == nullptr)
        return;
    mg_set_request_handler(server, "/", answerCivet, nullptr);
    mg_server_port port{};
    mg_get_server_ports(server, 1, &port);
    drive("civetweb", static_cast<std::uint16_t>(port.port));
    mg_stop(server);
    mg_exit_library();
}

} // namespace

auto main() -> int
{
    runLoop();
    runCivet();
    return 0;
}
