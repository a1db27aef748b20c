#include "applehatch/direct/directory.h"
#include "applehatch/direct/dispatcher.h"

#include <boost/test/unit_test.hpp>

namespace {

using namespace applehatch;
using namespace applehatch::direct;
using namespace std::chrono_literals;

auto route(const std::string &prefix, const std::string &service) -> Route
{
    Route made;
    made.name = prefix;
    made.host = "a.example";
    made.prefix = prefix;
    made.targets = {{service, 1}};
    return made;
}

auto configuration(std::uint64_t version) -> std::shared_ptr<Configuration>
{
    auto made = std::make_shared<Configuration>();
    made->version = version;
    made->add(route("/", "all"));
    made->add(route("/a/b/", "deep"));
    made->add(route("/a/", "shallow"));
    made->add({"acme", 0}, {"key-1", "key-2"});
    return made;
}

} // namespace

BOOST_AUTO_TEST_SUITE(directory)

BOOST_AUTO_TEST_CASE(the_longest_prefix_wins)
{
    const auto loaded = configuration(1);
    BOOST_TEST(loaded->findRoute("a.example", "/a/b/c")->name == "/a/b/");
    BOOST_TEST(loaded->findRoute("a.example", "/a/bc")->name == "/a/");
    BOOST_TEST(loaded->findRoute("a.example", "/x")->name == "/");
    BOOST_TEST(loaded->findRoute("b.example", "/a/") == nullptr);
}

BOOST_AUTO_TEST_CASE(keys_identify_their_customer)
{
    const auto loaded = configuration(1);
    BOOST_TEST(loaded->findCustomer("key-2")->name == "acme");
    BOOST_TEST(loaded->findCustomer("key-3") == nullptr);
}

// Two versions arrive in the wrong order, as when a peer reports an older one. Falling back to it
// would make a revoked key valid again.
BOOST_AUTO_TEST_CASE(an_older_version_changes_nothing)
{
    Dispatcher dispatcher({"here", 1}, {}, Instant());
    BOOST_TEST(dispatcher.setConfiguration(configuration(5)));
    BOOST_TEST(!dispatcher.setConfiguration(configuration(4)));
    BOOST_TEST(dispatcher.configuration()->version == 5);
}

// A route is split between two services by weight; each gets its share of the requests.
BOOST_AUTO_TEST_CASE(a_split_route_keeps_to_its_weights)
{
    auto loaded = std::make_shared<Configuration>();
    loaded->version = 1;
    auto split = route("/", "");
    split.targets = {{"old", 90}, {"new", 10}};
    loaded->add(split);
    Dispatcher dispatcher({"here", 1}, {}, Instant());
    dispatcher.setConfiguration(loaded);
    int toNew = 0;
    for (int i = 0; i < 2000; ++i) {
        const auto admitted = dispatcher.admit("a.example", "/x", std::nullopt);
        toNew += std::get<Permit>(admitted).serviceName == "new" ? 1 : 0;
    }
    BOOST_TEST(toNew > 140);
    BOOST_TEST(toNew < 260);
}

BOOST_AUTO_TEST_SUITE_END()
