#include "applehatch/wire/link-loop.h"

#include <algorithm>
#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace applehatch::wire {

namespace {

// Far longer than a busy host needs; reached only when the awaited condition never holds.
constexpr auto patience = std::chrono::seconds(20);

// Records the hooks' calls of one loop and waits for conditions on them.
class Recorder
{
public:
    auto hooks() -> LinkHooks
    {
        LinkHooks hooks;
        hooks.onUp = [this](LinkId link) { change([&] { up.push_back(link); }); };
        hooks.onDown = [this](LinkId link) { change([&] { down.push_back(link); }); };
        hooks.onResponded = [this](LinkId link) { change([&] { responded.push_back(link); }); };
        hooks.onMessage = [this](LinkId link, core::Message message) {
            change([&] { messages.emplace_back(link, std::move(message)); });
        };
        return hooks;
    }

    /// Records each message and then waits for `pause`.
    auto hooksBlockedBy(std::mutex &pause) -> LinkHooks
    {
        auto blocking = hooks();
        blocking.onMessage = [&pause, record = blocking.onMessage](LinkId link,
                                                                   core::Message message) {
            record(link, std::move(message));
            const std::lock_guard wait(pause);
        };
        return blocking;
    }

    template <typename Condition>
    auto waitFor(Condition condition) -> bool
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, patience, condition);
    }

    std::vector<LinkId> up;
    std::vector<LinkId> down;
    std::vector<LinkId> responded;
    std::vector<std::pair<LinkId, core::Message>> messages;

private:
    template <typename Change>
    auto change(Change what) -> void
    {
        const std::lock_guard lock(mutex_);
        what();
        changed_.notify_all();
    }

    std::mutex mutex_;
    std::condition_variable changed_;
};

auto listenOn(LinkLoop &loop) -> core::Address
{
    core::Address bound;
    BOOST_REQUIRE(!loop.listen({"127.0.0.1", 0}, bound));
    return bound;
}

// A TCP listener that accepts in the kernel and never reads.
class SilentListener
{
public:
    SilentListener()
        : socket_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        BOOST_REQUIRE_EQUAL(bind(socket_, reinterpret_cast<sockaddr *>(&address), size), 0);
        BOOST_REQUIRE_EQUAL(listen(socket_, 1), 0);
        getsockname(socket_, reinterpret_cast<sockaddr *>(&address), &size);
        port_ = ntohs(address.sin_port);
    }
    ~SilentListener() { ::close(socket_); }
    SilentListener(const SilentListener &) = delete;
    auto operator=(const SilentListener &) -> SilentListener & = delete;

    [[nodiscard]] auto address() const -> core::Address { return {"127.0.0.1", port_}; }

private:
    int socket_;
    std::uint16_t port_ = 0;
};

auto chunk(std::uint64_t offset) -> core::Message
{
    return core::Chunk{"request", offset, "data"};
}

auto offsetOf(const core::Message &message) -> std::uint64_t
{
    return std::get<core::Chunk>(message).offset;
}

} // namespace

BOOST_AUTO_TEST_SUITE(link_loop)

BOOST_AUTO_TEST_CASE(messages_arrive_in_order_both_ways_from_before_the_link_is_up)
{
    constexpr std::uint64_t count = 20000;
    Recorder near;
    Recorder far;
    LinkLoop server(far.hooks(), {});
    LinkLoop client(near.hooks(), {});
    const auto link = client.open(listenOn(server));
    for (std::uint64_t i = 0; i < count; ++i)
        client.send(link, chunk(i));
    BOOST_REQUIRE(far.waitFor([&] { return far.messages.size() == count; }));
    BOOST_REQUIRE_EQUAL(far.up.size(), 1U);
    for (std::uint64_t i = 0; i < count; ++i)
        server.send(far.up[0], chunk(i));
    BOOST_REQUIRE(near.waitFor([&] { return near.messages.size() == count; }));
    BOOST_TEST(near.up == std::vector<LinkId>{link});
    for (std::uint64_t i = 0; i < count; ++i) {
        BOOST_REQUIRE_EQUAL(offsetOf(near.messages[i].second), i);
        BOOST_REQUIRE_EQUAL(offsetOf(far.messages[i].second), i);
    }
}

BOOST_AUTO_TEST_CASE(the_other_side_of_a_closed_link_is_notified)
{
    Recorder near;
    Recorder far;
    LinkLoop server(far.hooks(), {});
    LinkLoop client(near.hooks(), {});
    const auto link = client.open(listenOn(server));
    BOOST_REQUIRE(near.waitFor([&] { return near.up.size() == 1; }));
    client.close(link);
    BOOST_REQUIRE(far.waitFor([&] { return far.down.size() == 1; }));
    BOOST_TEST(far.down == far.up);
    BOOST_TEST(near.down.empty());
}

// Guards against a caller waiting for an answer that never comes: when a sidecar's host is down or
// its process not yet started, the router must learn at once that nothing accepts the connection.
BOOST_AUTO_TEST_CASE(a_refused_or_unreadable_address_is_reported_down)
{
    core::Address closed;
    {
        const SilentListener listener;
        closed = listener.address();
    }
    Recorder near;
    LinkLoop client(near.hooks(), {});
    for (const auto &address : {closed, core::Address{"not-an-ip", 1}}) {
        const auto link = client.open(address);
        BOOST_TEST(near.waitFor([&] { return !near.down.empty() && near.down.back() == link; }));
    }
    BOOST_TEST(near.up.empty());
}

// Guards against callers hanging on an opening link: when a middlebox loses the connection or the
// peer is paused, the connect succeeds in the kernel and no byte ever comes back.
BOOST_AUTO_TEST_CASE(a_peer_that_accepts_and_stays_silent_is_reported_down)
{
    const SilentListener listener;
    Recorder near;
    LinkLimits limits;
    limits.connectTimeout = std::chrono::milliseconds(50);
    LinkLoop client(near.hooks(), {}, limits);
    const auto link = client.open(listener.address());
    BOOST_REQUIRE(near.waitFor([&] { return !near.down.empty(); }));
    BOOST_TEST(near.down == std::vector<LinkId>{link});
}

// Guards against unbounded queueing for a paused peer while answers for it keep arriving: the
// process would be killed and every other caller's request lost. The link closes at its limit.
BOOST_AUTO_TEST_CASE(a_peer_that_stops_reading_loses_its_link_at_the_cap)
{
    std::mutex pause;
    Recorder near;
    Recorder far;
    auto blocking = far.hooks();
    blocking.onMessage = [&](LinkId, const core::Message &) { const std::lock_guard wait(pause); };
    LinkLoop server(blocking, {});
    LinkLimits limits;
    limits.maxQueuedBytes = 4U << 20U;
    LinkLoop client(near.hooks(), {}, limits);
    const auto link = client.open(listenOn(server));
    BOOST_REQUIRE(near.waitFor([&] { return !near.up.empty(); }));

    const std::unique_lock paused(pause);
    const std::string data(64U << 10U, 'x');
    constexpr int overTheLimit = 1000; // 64 MB: the limit, unanswered batches, both kernels.
    for (int i = 0; i < overTheLimit; ++i)
        client.send(link, core::Chunk{"request", 0, data});
    BOOST_REQUIRE(near.waitFor([&] { return !near.down.empty(); }));
    BOOST_TEST(near.down == std::vector<LinkId>{link});
}

// Guards against one sidecar's stream of chunks keeping a slow router from reading the others.
BOOST_AUTO_TEST_CASE(a_link_that_always_has_more_does_not_hold_up_the_others)
{
    constexpr auto perMessage = std::chrono::milliseconds(1);
    constexpr auto silence = std::chrono::seconds(4); // A sidecar closes a link after this.
    constexpr std::uint64_t count = 20000;
    Recorder near;
    Recorder far;
    auto slow = far.hooks();
    slow.onMessage = [&, record = slow.onMessage](LinkId link, core::Message message) {
        std::this_thread::sleep_for(perMessage);
        record(link, std::move(message));
    };
    LinkLoop server(slow, {});
    LinkLoop flooding(near.hooks(), {});
    LinkLoop quiet(near.hooks(), {});
    const auto address = listenOn(server);
    const auto flood = flooding.open(address);
    for (std::uint64_t i = 0; i < count; ++i)
        flooding.send(flood, chunk(i));
    BOOST_REQUIRE(far.waitFor([&] { return !far.messages.empty(); }));
    quiet.send(quiet.open(address), core::Heartbeat{});
    std::size_t taken = 0;
    const auto isHeard = [&] {
        taken = far.messages.size();
        return std::any_of(far.messages.begin(), far.messages.end(), [](const auto &entry) {
            return std::holds_alternative<core::Heartbeat>(entry.second);
        });
    };
    BOOST_REQUIRE(far.waitFor(isHeard));
    BOOST_TEST(taken < static_cast<std::size_t>(silence / perMessage));
}

// Guards against a slow peer falling further behind because it gets one message per token.
BOOST_AUTO_TEST_CASE(chunks_that_wait_for_a_slow_peer_reach_it_as_few)
{
    constexpr std::size_t count = 5000;
    std::mutex pause;
    Recorder near;
    Recorder far;
    LinkLoop server(far.hooksBlockedBy(pause), {});
    LinkLoop client(near.hooks(), {});
    const auto link = client.open(listenOn(server));
    BOOST_REQUIRE(near.waitFor([&] { return !near.up.empty(); }));
    std::string whole;
    {
        const std::unique_lock paused(pause);
        for (std::size_t number = 0; number < count; ++number) {
            const auto data = "token " + std::to_string(number) + '\n';
            client.send(link, core::Chunk{"request", whole.size(), data});
            whole += data;
            if (number == 0)
                BOOST_REQUIRE(far.waitFor([&] { return far.messages.size() == 1; }));
        }
    }
    client.send(link, core::End{"request", whole.size(), 0, {}});
    BOOST_REQUIRE(
        far.waitFor([&] { return std::holds_alternative<core::End>(far.messages.back().second); }));
    std::string taken;
    for (const auto &[from, message] : far.messages) {
        const auto *chunk = std::get_if<core::Chunk>(&message);
        if (chunk == nullptr)
            continue;
        BOOST_REQUIRE_EQUAL(chunk->offset, taken.size());
        taken += chunk->data;
    }
    BOOST_TEST(taken == whole);
    BOOST_TEST(far.messages.size() < count / 10);
}

// Guards against one RPC envelope per token, which costs both sides more than the token.
BOOST_AUTO_TEST_CASE(tokens_of_many_streams_travel_in_few_batches)
{
    constexpr std::size_t count = 2000;
    constexpr std::size_t streams = 300;
    constexpr auto pace = std::chrono::microseconds(250);
    constexpr auto apart = std::chrono::milliseconds(2);
    constexpr std::size_t slack = 10;
    Recorder near;
    Recorder far;
    LinkLimits limits;
    limits.minRespondedInterval = core::Duration::zero();
    LinkLoop server(far.hooks(), {});
    LinkLoop client(near.hooks(), {}, limits);
    const auto link = client.open(listenOn(server));
    BOOST_REQUIRE(near.waitFor([&] { return !near.up.empty(); }));
    const auto begun = std::chrono::steady_clock::now();
    for (std::size_t number = 0; number < count; ++number) {
        const auto offset = number / streams * 4;
        client.send(link, core::Chunk{std::to_string(number % streams), offset, "data"});
        std::this_thread::sleep_for(pace);
    }
    BOOST_REQUIRE(far.waitFor([&] { return far.messages.size() == count; }));
    const auto took = std::chrono::steady_clock::now() - begun;
    std::size_t batches = 0;
    BOOST_REQUIRE(near.waitFor([&] {
        batches = near.responded.size();
        return batches > 0;
    }));
    BOOST_TEST_MESSAGE(batches << " batches for " << count << " tokens");
    BOOST_TEST(batches <= static_cast<std::size_t>(took / apart) + slack);
}

// Guards against miscounted merged chunks, which would close a link as over its limit.
BOOST_AUTO_TEST_CASE(merged_chunks_are_no_longer_counted_once_they_are_sent)
{
    constexpr std::size_t rounds = 200;
    constexpr std::size_t chunksEach = 100;
    Recorder near;
    Recorder far;
    LinkLoop server(far.hooks(), {});
    LinkLimits limits;
    limits.maxQueuedBytes = 256U << 10U;
    LinkLoop client(near.hooks(), {}, limits);
    const auto link = client.open(listenOn(server));
    std::uint64_t offset = 0;
    for (std::uint64_t round = 0; round < rounds; ++round) {
        for (std::size_t number = 0; number < chunksEach; ++number, offset += 4)
            client.send(link, chunk(offset));
        client.send(link, core::End{"request", offset, round, {}});
        const auto isTaken = [&] {
            const auto *end = far.messages.empty()
                ? nullptr
                : std::get_if<core::End>(&far.messages.back().second);
            return end != nullptr && end->hash == round;
        };
        BOOST_REQUIRE(far.waitFor(isTaken));
    }
}

// Guards against a lost last message when a router and a sidecar stop at the same time, which
// would leave the other side waiting.
BOOST_AUTO_TEST_CASE(what_was_sent_before_a_stop_arrives)
{
    constexpr std::uint64_t count = 1000;
    Recorder near;
    Recorder far;
    LinkLoop server(far.hooks(), {});
    LinkLoop client(near.hooks(), {});
    const auto link = client.open(listenOn(server));
    BOOST_REQUIRE(near.waitFor([&] { return !near.up.empty(); }));
    for (std::uint64_t i = 0; i < count; ++i)
        client.send(link, core::Acknowledge{"request", i, true});
    client.stop();
    BOOST_REQUIRE(far.waitFor([&] { return !far.down.empty(); }));
    BOOST_TEST(far.messages.size() == count);
}

// Guards against messages that lie unread as a process that was held up stops.
BOOST_AUTO_TEST_CASE(what_came_while_the_loop_was_held_up_is_received_before_a_stop)
{
    constexpr std::size_t count = 5000;
    std::mutex pause;
    Recorder near;
    Recorder far;
    LinkLoop server(far.hooksBlockedBy(pause), {});
    LinkLoop client(near.hooks(), {});
    const auto link = client.open(listenOn(server));
    BOOST_REQUIRE(near.waitFor([&] { return !near.up.empty(); }));
    {
        const std::unique_lock paused(pause);
        for (std::uint64_t number = 0; number < count; ++number)
            client.send(link, core::Acknowledge{"request", number, true});
        BOOST_REQUIRE(far.waitFor([&] { return far.messages.size() == 1; }));
    }
    server.awaitQuiet(std::chrono::milliseconds(100), patience);
    server.stop();
    BOOST_TEST(far.messages.size() == count);
}

// Guards against an engine generating for a router whose process is frozen and forwards nothing.
// The kernel of that host still accepts bytes, so only a response of the process shows that it
// runs.
BOOST_AUTO_TEST_CASE(only_a_process_that_takes_messages_responds)
{
    std::mutex pause;
    Recorder near;
    Recorder far;
    LinkLoop server(far.hooksBlockedBy(pause), {});
    LinkLimits limits;
    limits.minRespondedInterval = core::Duration(0);
    LinkLoop client(near.hooks(), {}, limits);
    const auto link = client.open(listenOn(server));
    BOOST_REQUIRE(near.waitFor([&] { return !near.up.empty(); }));
    {
        const std::unique_lock paused(pause);
        client.send(link, chunk(0));
        BOOST_REQUIRE(far.waitFor([&] { return far.messages.size() == 1; }));
        BOOST_TEST(near.waitFor([&] { return near.responded.empty(); }));
    }
    BOOST_REQUIRE(near.waitFor([&] { return !near.responded.empty(); }));
    BOOST_TEST(near.responded.front() == link);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace applehatch::wire
