/// Clients that send what they like, many at a time, and what a gateway must hold meanwhile.
#pragma once

#include "gateway-processes/plain-fleet.h"

#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <chrono>
#include <cstddef>
#include <list>
#include <memory>
#include <string>
#include <utility>

namespace applehatch::gateway::testing {

/// What one client sends, in this order. The parts are shared by all clients that send them.
struct Sending
{
    using Text = std::shared_ptr<const std::string>;

    Text opening;
    Text part = std::make_shared<const std::string>();
    std::size_t parts = 0; ///< How often `part` is sent.
    Text ending = std::make_shared<const std::string>();
    bool readsAnswer = true;
    std::chrono::milliseconds pause{0}; ///< Before each part.
};

inline auto sharedText(std::string text) -> Sending::Text
{
    return std::make_shared<const std::string>(std::move(text));
}

/// A client that sends as fast as it can and stays.
class CrowdClient : public std::enable_shared_from_this<CrowdClient>
{
public:
    CrowdClient(asio::io_context &loop, Sending sending)
        : socket_(loop)
        , pause_(loop)
        , sending_(std::move(sending))
    { }

    /// Returns false if the gateway takes no connection.
    auto start(const core::Address &to) -> bool
    {
        boost::system::error_code error;
        socket_.open(tcp::v4(), error);
        if (!sending_.readsAnswer)
            socket_.set_option(asio::socket_base::receive_buffer_size(smallBuffer), error);
        socket_.connect({asio::ip::make_address(to.ip), to.port}, error);
        if (error)
            return false;
        if (sending_.readsAnswer)
            read();
        write(sending_.opening);
        return true;
    }

    auto close() -> void
    {
        boost::system::error_code error;
        socket_.close(error);
        pause_.cancel();
    }

private:
    /// So that what is not read stays with the gateway.
    static constexpr int smallBuffer = 4096;

    auto write(const Sending::Text &text) -> void
    {
        asio::async_write(socket_, asio::buffer(*text),
                          [self = shared_from_this(), text](auto error, auto) {
                              if (!error)
                                  self->awaitNext();
                          });
    }
    auto awaitNext() -> void
    {
        if (sending_.pause.count() == 0)
            return writeNext();
        pause_.expires_after(sending_.pause);
        pause_.async_wait([self = shared_from_this()](auto aborted) {
            if (!aborted)
                self->writeNext();
        });
    }
    auto writeNext() -> void
    {
        ++step_;
        if (step_ <= sending_.parts)
            write(sending_.part);
        else if (step_ == sending_.parts + 1)
            write(sending_.ending);
    }
    auto read() -> void
    {
        socket_.async_read_some(asio::buffer(buffer_),
                                [self = shared_from_this()](auto error, auto) {
                                    if (!error)
                                        self->read();
                                });
    }

    tcp::socket socket_;
    asio::steady_timer pause_;
    Sending sending_;
    std::size_t step_ = 0;
    std::array<char, 512> buffer_{};
};

/// Limits of the gateway's settings in these tests.
struct StatedLimits
{
    std::size_t memoryMb = 64;
    std::size_t descriptors = 4100;

    [[nodiscard]] auto text() const -> std::string
    {
        return R"("memory-mb":)" + std::to_string(memoryMb) + R"(,"max-fds":)"
            + std::to_string(descriptors);
    }
    /// The platform keeps so many of the descriptors for files.
    static constexpr std::size_t fileDescriptors = 200;
};

/// One gateway with low limits, and a crowd of clients.
class CrowdedFleet : public PlainFleet
{
public:
    /// Largest body that the limits of the users' pages allow.
    static constexpr std::size_t largestBody = 4194304;
    /// The crowd has this long; whoever waits for the gateway then goes on waiting.
    static constexpr auto crowdTime = 4s;

    explicit CrowdedFleet(StatedLimits limits = {},
                          ScriptedConnection::Script script = answerPlainly)
        : PlainFleet(limits.text(), std::move(script))
        , limits_(limits)
    { }
    ~CrowdedFleet() { leave(); }
    CrowdedFleet(const CrowdedFleet &) = delete;
    auto operator=(const CrowdedFleet &) -> CrowdedFleet & = delete;

    /// So many clients come, and send while the loop runs.
    auto add(std::size_t clients, const Sending &sending) -> void
    {
        addAt(gateway().callers, clients, sending);
    }
    /// The same at another address of the gateway.
    auto addAt(const core::Address &address, std::size_t clients, const Sending &sending) -> void
    {
        constexpr std::size_t atOnce = 50;
        for (std::size_t number = 1; number <= clients; ++number) {
            const auto client = std::make_shared<CrowdClient>(loop, sending);
            if (client->start(address))
                crowd_.push_back(client);
            if (number % atOnce == 0)
                runFor(loop, 2ms);
        }
    }
    /// Lets the crowd do what it came for.
    auto play() -> void { runFor(loop, crowdTime); }
    auto leave() -> void
    {
        for (const auto &client : crowd_)
            client->close();
        crowd_.clear();
        runFor(loop, 50ms);
    }

    /// Checks what must hold whatever clients do: the process lives within its limits, and serves
    /// an ordinary request and one of the largest legal size.
    auto check(const std::string &when) -> void
    {
        checkLimits(when);
        BOOST_TEST(isServed(100), "an ordinary request, " + when);
        BOOST_TEST(isServed(largestBody), "the largest request, " + when);
        checkLimits(when + ", after requests");
    }
    /// Plays a crowd, which stays meanwhile, and checks the gateway; then again without the crowd.
    auto playAndCheck() -> void
    {
        play();
        check("while the crowd stays");
        leave();
        check("after the crowd has left");
    }

    [[nodiscard]] auto openDescriptors() -> std::size_t
    {
        return applehatch::testing::descriptorsOf(gateway().id());
    }

private:
    auto checkLimits(const std::string &when) -> void
    {
        BOOST_REQUIRE_MESSAGE(gateway().isRunning(),
                              "the process lives, " + when + ": " + gateway().logEnd());
        const auto peak = memoryOf(gateway().id(), "VmHWM");
        BOOST_TEST_MESSAGE(when << ": at most " << peak / mebibyte << " MiB, now "
                                << memoryOf(gateway().id(), "VmRSS") / mebibyte << " MiB, "
                                << openDescriptors() << " descriptors");
        if (isFreedAtOnce)
            BOOST_TEST(peak < limits_.memoryMb * mebibyte, "memory, " + when);
        BOOST_TEST(openDescriptors() < limits_.descriptors - StatedLimits::fileDescriptors,
                   "descriptors, " + when);
    }
    auto isServed(std::size_t bodyBytes) -> bool
    {
        auto &caller = addCaller(bodyBytes, "Connection: close\r\n");
        runUntil(loop, [&] { return caller.ended; });
        if (!caller.received.starts_with("HTTP/1.1 200"))
            BOOST_TEST_MESSAGE("answer: " << caller.received << "; log: " << gateway().logEnd());
        return caller.received.starts_with("HTTP/1.1 200") && caller.received.ends_with("done");
    }

    StatedLimits limits_;
    std::list<std::shared_ptr<CrowdClient>> crowd_;
};

/// Head of a request whose body follows in chunks.
inline auto chunkedHead() -> std::string
{
    return "POST /once/x HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: crowd\r\n"
           "Transfer-Encoding: chunked\r\n\r\n";
}

/// Head of a request whose body has this length.
inline auto lengthHead(std::size_t bytes) -> std::string
{
    return "POST /once/x HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: crowd\r\nContent-Length: "
        + std::to_string(bytes) + "\r\n\r\n";
}

} // namespace applehatch::gateway::testing
