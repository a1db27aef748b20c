// Clients that send large bodies of legal size at once, most of them without their end.
#include "crowd.h"

namespace {

using namespace applehatch::gateway::testing;

constexpr std::size_t largeBody = 4000000;
constexpr std::size_t largeClients = 60;
/// One client in so many sends its body to the end.
constexpr std::size_t wholeShare = 10;

/// Adds clients that stop just short of the end, and a few that do not.
auto addMostShort(CrowdedFleet &fleet, std::size_t clients, const Sending &shortOfEnd,
                  const Sending &whole) -> void
{
    for (std::size_t number = 0; number < clients; number += wholeShare) {
        fleet.add(wholeShare - 1, shortOfEnd);
        fleet.add(1, whole);
    }
}

/// Bodies that come as parts of this size, the last one a byte short.
auto playLength(std::size_t clients, std::size_t bytes, std::size_t partBytes) -> void
{
    CrowdedFleet fleet;
    const auto parts = (bytes - 1) / partBytes;
    const auto part = sharedText(std::string(partBytes, 'b'));
    const auto rest = bytes - 1 - parts * partBytes;
    const auto opening = sharedText(lengthHead(bytes));
    addMostShort(fleet, clients, {opening, part, parts, sharedText(std::string(rest, 'b'))},
                 {opening, part, parts, sharedText(std::string(rest + 1, 'b'))});
    fleet.playAndCheck();
}

/// Bodies of chunks of this size, of which the last one lacks its last byte.
auto playChunked(std::size_t clients, std::size_t bytes, std::size_t chunkBytes) -> void
{
    CrowdedFleet fleet;
    const auto chunk = sharedText(applehatch::gateway::chunkText(std::string(chunkBytes, 'b')));
    const auto chunks = bytes / chunkBytes - 1;
    const auto last = chunk->substr(0, chunk->size() - 3);
    const auto opening = sharedText(chunkedHead());
    addMostShort(fleet, clients, {opening, chunk, chunks, sharedText(last)},
                 {opening, chunk, chunks + 1, sharedText("0\r\n\r\n")});
    fleet.playAndCheck();
}

/// Bodies of chunks of one byte, sent many chunks at a time.
auto playTinyChunks(std::size_t clients, std::size_t bytes) -> void
{
    constexpr std::size_t chunksAtOnce = 5000;
    CrowdedFleet fleet;
    std::string chunks;
    for (std::size_t number = 0; number < chunksAtOnce; ++number)
        chunks += "1\r\nb\r\n";
    const auto part = sharedText(chunks);
    const auto opening = sharedText(chunkedHead());
    const auto parts = bytes / chunksAtOnce;
    addMostShort(fleet, clients, {opening, part, parts, sharedText("1\r\n")},
                 {opening, part, parts, sharedText("0\r\n\r\n")});
    fleet.playAndCheck();
}

} // namespace

BOOST_AUTO_TEST_SUITE(bodies)

// Guards against large bodies that never end and leave no room for those of others.
BOOST_AUTO_TEST_CASE(large_bodies_that_stop_short)
{
    playLength(largeClients, largeBody, largeBody - 1);
}

// Guards against the same when the bodies come in pieces.
BOOST_AUTO_TEST_CASE(large_bodies_in_pieces_that_stop_short)
{
    playLength(largeClients, largeBody, 16384);
}

// Guards against many bodies of usual size that together take more memory than there is.
BOOST_AUTO_TEST_CASE(a_thousand_bodies_of_usual_size_that_stop_short)
{
    playLength(1200, 65000, 65000 - 1);
}

// Guards against bodies of unknown length that wait for one another's room without end.
BOOST_AUTO_TEST_CASE(bodies_of_two_large_chunks_that_stop_short)
{
    playChunked(largeClients, largeBody, largeBody / 2);
}

// Guards against the same when there are many chunks.
BOOST_AUTO_TEST_CASE(bodies_of_many_chunks_that_stop_short)
{
    playChunked(largeClients, largeBody, 20000);
}

// Guards against the same when the chunks are of usual size and the bodies too.
BOOST_AUTO_TEST_CASE(a_thousand_bodies_of_two_chunks_that_stop_short)
{
    playChunked(1200, 65000, 32500);
}

// Guards against bodies of which almost all is framing.
BOOST_AUTO_TEST_CASE(bodies_of_tiny_chunks_that_stop_short)
{
    playTinyChunks(largeClients, 400000);
}

BOOST_AUTO_TEST_SUITE_END()
