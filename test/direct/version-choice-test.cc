// At which version a stream begins, and how a router that has just begun finds that out.
#include "engine-pool.h"

#include "applehatch/direct/version-choice.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace applehatch::direct;
using namespace std::chrono_literals;

constexpr auto start = Instant(1000s);
constexpr auto maxAge = Duration(14s);
constexpr StreamKey streamCount = 2000;

/// A registry whose lists a router follows, and remembers with the streams that begin.
class Release
{
public:
    /// Engines of the version join one after the other.
    auto join(const std::string &version, std::size_t count) -> void
    {
        for (std::size_t i = 0; i < count; ++i) {
            Upstream upstream;
            upstream.instance = "engine-" + std::to_string(++engines_);
            upstream.service = "pool";
            upstream.version = version;
            upstream.entryRevision = ++revision;
            list.push_back(upstream);
            changes.push_back({upstream, false});
            follow();
        }
    }
    /// The oldest engines of the version leave one after the other.
    auto leave(const std::string &version, std::size_t count) -> void
    {
        for (std::size_t i = 0; i < count; ++i) {
            const auto first = std::find_if(list.begin(), list.end(), [&](const Upstream &each) {
                return each.version == version;
            });
            changes.push_back({*first, true});
            changes.back().upstream.entryRevision = ++revision;
            list.erase(first);
            follow();
        }
    }
    auto pass(Duration time) -> void { now += time; }
    /// Streams with these keys begin.
    auto begin(StreamKey first, StreamKey count) -> void
    {
        for (auto stream = first; stream < first + count; ++stream)
            began[stream] = *router.versionFor("pool", stream);
    }
    /// A router that has just begun and has read the history, which has all changes or, if it
    /// `isShort`, none.
    [[nodiscard]] auto beginner(bool isShort = false) const -> VersionChoice
    {
        VersionChoice beginner;
        beginner.setUpstreams(list, revision, now);
        if (!isShort) {
            std::map<std::string, Upstream> written;
            for (const auto &[upstream, removed] : changes) {
                if (removed) {
                    const auto &before = written.at(upstream.instance);
                    beginner.noteServed(before, {before.entryRevision, upstream.entryRevision},
                                        now);
                }
                written[upstream.instance] = upstream;
            }
        }
        beginner.noteKnownSince(now - 20s, isShort ? revision : 0);
        return beginner;
    }

    std::uint64_t revision = 0;
    Instant now = start;
    UpstreamList list;
    VersionChoice router;
    std::map<StreamKey, std::string> began;

    struct Change
    {
        Upstream upstream;
        bool removed = false;
    };
    std::vector<Change> changes;

private:
    auto follow() -> void { router.setUpstreams(list, revision, now); }

    std::size_t engines_ = 0;
};

struct Found
{
    std::size_t right = 0;
    std::size_t wrong = 0;
};

/// How many streams a router finds at the version that began them, and how many at another.
auto findAll(const Release &release, const VersionChoice &router) -> Found
{
    Found found;
    for (const auto &[stream, version] : release.began) {
        const auto known = router.versionOf("pool", stream, release.now - maxAge);
        if (known)
            ++(*known == version ? found.right : found.wrong);
    }
    return found;
}

} // namespace

BOOST_AUTO_TEST_SUITE(version_choice)

// Guards against versions of which one is left idle while they serve side by side.
BOOST_AUTO_TEST_CASE(each_version_begins_streams_and_the_leading_one_most)
{
    Release release;
    release.join("v1", 6);
    release.join("v2", 6);
    release.begin(1, streamCount);
    const auto second = std::count_if(release.began.begin(), release.began.end(),
                                      [](const auto &stream) { return stream.second == "v2"; });
    BOOST_TEST(second > static_cast<std::ptrdiff_t>(streamCount / 6));
    BOOST_TEST(second < static_cast<std::ptrdiff_t>(streamCount / 3));
}

// Guards against refusing all streams once all routers that knew them have ended.
BOOST_AUTO_TEST_CASE(a_router_that_has_just_begun_finds_most_streams_again)
{
    Release release;
    release.join("v1", 6);
    release.join("v2", 6);
    release.begin(1, streamCount);
    release.pass(5s);
    const auto found = findAll(release, release.beginner());
    BOOST_TEST(found.wrong == 0U);
    BOOST_TEST(found.right > streamCount * 7 / 10);
}

// Guards against refusing streams where nothing joined or left while they ran.
BOOST_AUTO_TEST_CASE(all_streams_are_found_again_if_the_lists_did_not_change)
{
    Release release;
    release.join("v1", 6);
    release.join("v2", 6);
    release.pass(1min);
    release.begin(1, streamCount);
    release.pass(5s);
    BOOST_TEST(findAll(release, release.router).right == streamCount);
    BOOST_TEST(findAll(release, release.beginner(true)).right == streamCount);
}

// Guards against refusing the streams of a router that ended just before a version joined.
BOOST_AUTO_TEST_CASE(streams_that_began_before_a_version_joined_are_found_again)
{
    Release release;
    release.join("v1", 12);
    release.pass(1min);
    release.begin(1, streamCount);
    release.pass(2s);
    release.join("v2", 3);
    release.pass(2s);
    for (const auto &router : {release.router, release.beginner()}) {
        const auto found = findAll(release, router);
        BOOST_TEST(found.wrong == 0U);
        BOOST_TEST(found.right > streamCount * 8 / 10);
    }
}

// Guards against streams that go on at another version, whatever joins and leaves meanwhile.
BOOST_AUTO_TEST_CASE(no_stream_is_found_at_another_version_during_a_release)
{
    Release release;
    release.join("v1", 12);
    release.pass(1min);
    StreamKey next = 1;
    for (int engine = 0; engine < 12; ++engine) {
        release.begin(next, 100);
        next += 100;
        release.join("v2", 1);
        release.begin(next, 100);
        next += 100;
        release.leave("v1", 1);
        release.pass(500ms);
        BOOST_TEST(findAll(release, release.router).wrong == 0U);
        BOOST_TEST(findAll(release, release.beginner()).wrong == 0U);
    }
}

// Guards against believing a list that is older than what the router has heard of.
BOOST_AUTO_TEST_CASE(without_the_lists_of_the_time_nothing_is_found)
{
    Release release;
    release.join("v1", 6);
    release.join("v2", 6);
    release.begin(1, 10);
    VersionChoice beginner;
    beginner.setUpstreams(release.list, release.revision, release.now);
    BOOST_TEST(findAll(release, beginner).right == 0U);
}

// Guards against taking an upstream of which only the name is known for one of the same version.
BOOST_AUTO_TEST_CASE(an_upstream_that_left_unnamed_makes_only_its_own_streams_uncertain)
{
    Release release;
    release.join("v1", 12);
    release.pass(1min);
    release.begin(1, streamCount);
    auto beginner = release.beginner(true);
    beginner.noteUnknown("engine-unknown", {0, release.revision + 1}, release.now);
    const auto found = findAll(release, beginner);
    BOOST_TEST(found.right > streamCount * 8 / 10);
    BOOST_TEST(found.right < streamCount);
}

// Guards against lists that are forgotten and then taken for ones that never stood.
BOOST_AUTO_TEST_CASE(more_lists_than_are_remembered_leave_streams_uncertain)
{
    Release release;
    release.join("v1", 2);
    release.begin(1, 10);
    for (std::size_t i = 0; i <= VersionChoice::capacity; ++i) {
        release.join("v2", 1);
        release.leave("v2", 1);
    }
    BOOST_TEST(findAll(release, release.router).wrong == 0U);
    BOOST_TEST(findAll(release, release.router).right == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
