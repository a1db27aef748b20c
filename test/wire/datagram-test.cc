#include "applehatch/wire/datagram.h"

#include "applehatch/experiment/socket.h"
#include "applehatch/wire/codec.h"

#include <boost/test/unit_test.hpp>

#include <atomic>
#include <mutex>

namespace applehatch::wire {

namespace {

struct Received
{
    std::mutex mutex;
    std::vector<std::pair<core::Digest, core::Address>> digests;
    std::atomic<int> malformed{0};

    auto hooks() -> DigestHooks
    {
        DigestHooks hooks;
        hooks.onDigest = [this](core::Digest digest, const core::Address &from) {
            const std::lock_guard lock(mutex);
            digests.emplace_back(std::move(digest), from);
        };
        hooks.onMalformed = [this] { ++malformed; };
        return hooks;
    }

    auto count() -> std::size_t
    {
        const std::lock_guard lock(mutex);
        return digests.size();
    }
};

auto digestOf(std::size_t entries) -> core::Digest
{
    core::Digest digest;
    digest.settingsIndex = 7;
    digest.entries.resize(entries);
    for (std::size_t index = 0; index < entries; ++index)
        digest.entries[index].upstream = core::stableHash(std::to_string(index));
    return digest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(datagrams)

// Guards against malformed datagrams, which anyone can send, or a digest larger than a datagram
// stopping the exchange of load: every router would then place requests by outdated load.
BOOST_AUTO_TEST_CASE(digests_arrive_with_their_sender_past_garbage_and_oversize)
{
    Received near;
    Received far;
    DigestSocket sender(near.hooks());
    DigestSocket receiver(far.hooks());
    core::Address from;
    core::Address to;
    BOOST_REQUIRE(!sender.bind({"127.0.0.1", 0}, from));
    BOOST_REQUIRE(!receiver.bind({"127.0.0.1", 0}, to));

    experiment::sendDatagram(to, std::string(40, '\xff'));
    experiment::sendDatagram(to, std::string(maxDatagramBytes + 100, '\0'));
    sender.send(to, digestOf(500)); // Larger than a datagram: not sent.
    sender.send({"not-an-ip", 1}, digestOf(1));
    sender.send(to, digestOf(3));
    BOOST_REQUIRE(experiment::eventually([&] { return far.count() == 1; }));
    BOOST_TEST((far.digests[0].first == digestOf(3)));
    BOOST_TEST((far.digests[0].second == from));
    BOOST_TEST(experiment::eventually([&] { return far.malformed == 2; }));

    core::Address again;
    DigestSocket second(near.hooks());
    BOOST_TEST((second.bind(to, again) == std::errc::address_in_use));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace applehatch::wire
