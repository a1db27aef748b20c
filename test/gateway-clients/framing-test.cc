// Clients that send what frames a chunked body without end.
#include "crowd.h"

namespace {

using namespace applehatch::gateway::testing;

constexpr std::size_t clients = 30;
constexpr std::size_t partBytes = 16384;
/// What each client sends, unless it is ended: together far more than the gateway's memory.
constexpr std::size_t parts = 256;

auto playEndless(const std::string &opening, char byte) -> void
{
    CrowdedFleet fleet;
    fleet.add(
        clients,
        {sharedText(chunkedHead() + opening), sharedText(std::string(partBytes, byte)), parts});
    fleet.playAndCheck();
}

} // namespace

BOOST_AUTO_TEST_SUITE(framing)

// Guards against a process that runs out of memory when the trailers behind a body do not end.
BOOST_AUTO_TEST_CASE(trailers_without_end)
{
    playEndless("1\r\nb\r\n0\r\nX-More: ", 'x');
}

// Guards against the same when the trailers are many short lines.
BOOST_AUTO_TEST_CASE(trailer_lines_without_end)
{
    CrowdedFleet fleet;
    std::string lines;
    while (lines.size() < partBytes)
        lines += "A: b\r\n";
    fleet.add(clients, {sharedText(chunkedHead() + "0\r\n"), sharedText(lines), parts});
    fleet.playAndCheck();
}

// Guards against the same when what follows the size of a chunk does not end.
BOOST_AUTO_TEST_CASE(a_chunk_extension_without_end)
{
    playEndless("1;", 'x');
}

// Guards against the same when the size of a chunk does not end.
BOOST_AUTO_TEST_CASE(a_chunk_size_without_end)
{
    playEndless("", '0');
}

BOOST_AUTO_TEST_SUITE_END()
