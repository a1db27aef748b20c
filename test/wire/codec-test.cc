#include "applehatch/wire/codec.h"

#include "message-generators.h"

#include <boost/test/unit_test.hpp>

namespace applehatch::wire {

BOOST_AUTO_TEST_SUITE(codec)

BOOST_AUTO_TEST_CASE(every_message_and_digest_survives_the_trip)
{
    BOOST_TEST(rc::check("messages", [](const core::Message &message) {
        const auto bytes = encodeMessage(message);
        const auto read = decodeMessage(bytes);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->index() == message.index());
        RC_ASSERT(describe(*read) == describe(message));
    }));
    BOOST_TEST(rc::check("digests", [](const core::Digest &digest) {
        const auto bytes = encodeDigest(digest);
        RC_PRE(bytes.size() <= maxDatagramBytes);
        const auto read = decodeDigest(bytes);
        RC_ASSERT(read.has_value());
        RC_ASSERT(*read == digest);
    }));
}

BOOST_AUTO_TEST_CASE(ages_are_rounded_up_so_that_passing_on_never_makes_an_entry_younger)
{
    core::Digest digest;
    digest.entries.push_back({});
    digest.entries[0].upstream = 1;
    digest.entries[0].age = std::chrono::microseconds(1001);
    const auto read = decodeDigest(encodeDigest(digest));
    BOOST_REQUIRE(read);
    BOOST_TEST((read->entries[0].age == std::chrono::milliseconds(2)));
}

// Guards against crashing on, or accepting, arbitrary bytes from anyone who reaches the port, or
// unknown values from a peer of another version. Either would lose the callers' requests.
BOOST_AUTO_TEST_CASE(garbage_is_refused)
{
    core::Digest digest;
    digest.entries.push_back({});
    digest.entries[0].upstream = 1;
    auto badState = digest;
    badState.entries[0].state = static_cast<core::UpstreamState>(9);
    auto noUpstream = digest;
    noUpstream.entries[0].upstream = 0;
    const auto whole = encodeDigest(digest);
    const std::string zeros("\x10\x05\x00\xff\x00\xff\x00\xff", 8);
    const std::vector<std::string> digests{
        {},
        "x",
        std::string(64, '\xff'),
        std::string(maxDatagramBytes, '\0'),
        std::string(maxDatagramBytes + 1, '\0'),
        whole.substr(0, whole.size() / 2),
        zeros,
        encodeDigest(badState),
        encodeDigest(noUpstream),
    };
    for (std::size_t row = 0; row < digests.size(); ++row)
        BOOST_TEST(!decodeDigest(digests[row]), "digest row " << row);

    core::Refusal refusal;
    refusal.failure.kind = static_cast<core::ErrorKind>(0);
    core::Refusal unknownRun;
    unknownRun.failure.run = static_cast<core::Run>(7);
    core::Submit priority;
    priority.terms.priority = 10;
    core::Head status;
    status.status = 99;
    const auto submit = encodeMessage(core::Submit{});
    const std::vector<std::string> messages{
        {},
        "x",
        std::string(64, '\xff'),
        std::string(64, '\0'),
        submit.substr(0, submit.size() / 16 * 8),
        std::string(maxMessageBytes + 8, '\0'),
        encodeMessage(refusal),
        encodeMessage(unknownRun),
        encodeMessage(priority),
        encodeMessage(status),
    };
    for (std::size_t row = 0; row < messages.size(); ++row)
        BOOST_TEST(!decodeMessage(messages[row]), "message row " << row);
}

// Guards against a crash when bytes are corrupted in transit: the decoder returns a message or
// nothing.
BOOST_AUTO_TEST_CASE(flipped_and_cut_bytes_never_crash)
{
    BOOST_TEST(rc::check("flips", [](const core::Message &message, const core::Digest &digest) {
        auto bytes = encodeMessage(message);
        auto packed = encodeDigest(digest);
        for (auto *text : {&bytes, &packed}) {
            const auto position = *rc::gen::inRange<std::size_t>(0, text->size());
            (*text)[position] = static_cast<char>(*rc::gen::arbitrary<std::uint8_t>());
            (void)decodeMessage(*text);
            (void)decodeDigest(*text);
            text->resize(position);
            (void)decodeMessage(*text);
            (void)decodeDigest(*text);
        }
    }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace applehatch::wire
