#include "applehatch/process/settings-feed.h"

#include "applehatch/emulator/platform.h"
#include "applehatch/experiment/eventually.h"
#include "applehatch/telemetry/logger.h"

#include <boost/test/unit_test.hpp>

#include <atomic>

namespace applehatch::process {

namespace {

using experiment::eventually;

constexpr auto ownIp = "127.0.0.1";

/// Settings with two members, so that both watch the service.
auto textWith(int queueLimit) -> std::string
{
    std::string rows;
    for (const auto *name : {"e1", "e2"}) {
        const auto at = std::string("\"") + ownIp + ":1" + name[1];
        rows += std::string(rows.empty() ? "" : ",") + R"({"name": ")" + name
            + R"(", "dataCenter": "bole", "sidecar": )" + at + R"(1", "digest": )" + at
            + R"(2", "upstream": )" + at + "3\"}";
    }
    return R"({"pools": {"p": {"kind": "model", "models": ["m"], "queueLimit": )"
        + std::to_string(queueLimit) + R"(, "members": [)" + rows + "]}}}";
}

/// A feed set up as in a sidecar, which counts the calls of its hooks.
class Host
{
public:
    Host(const emulator::Platform &platform, const std::string &member)
        : loop_(quiet(), {})
        , links_(loop_)
        , feed_(fileOf(platform, member), addresses_, loop_, links_, hooks())
    {
        feed_.start();
    }

    ~Host()
    {
        feed_.stop();
        loop_.stop();
    }
    Host(const Host &) = delete;
    auto operator=(const Host &) -> Host & = delete;

    auto feed() -> SettingsFeed & { return feed_; }

    /// Newest settings index and host list version that the hooks received.
    [[nodiscard]] auto inForce() const -> core::SettingsIndex { return inForce_; }
    [[nodiscard]] auto hostList() const -> std::uint64_t { return hostList_; }

    /// Number of calls of both hooks.
    [[nodiscard]] auto told() const -> std::size_t { return told_; }

private:
    static auto quiet() -> wire::LinkHooks
    {
        return {[](wire::LinkId) {},
                [](wire::LinkId, const core::Message &) {},
                [](wire::LinkId) {},
                {},
                {}};
    }

    static auto fileOf(const emulator::Platform &platform, const std::string &member)
        -> std::shared_ptr<const settings::ProcessFile>
    {
        auto file = std::make_shared<settings::ProcessFile>();
        file->name = member;
        file->team = "t";
        file->pool = "p";
        file->member = member;
        file->dataCenter = "bole";
        file->settings = platform.address();
        file->hostList = platform.address();
        return file;
    }

    auto hooks() -> SettingsFeedHooks
    {
        return {
            [this](const core::SettingsPtr &settings) {
                inForce_ = settings->index;
                ++told_;
            },
            [this](const core::HostList &list) {
                hostList_ = list.version;
                ++told_;
            },
        };
    }

    std::atomic<core::SettingsIndex> inForce_{0};
    std::atomic<std::uint64_t> hostList_{0};
    std::atomic<std::size_t> told_{0};
    AddressTable addresses_;
    wire::LinkLoop loop_;
    PeerLinks links_;
    SettingsFeed feed_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(settings_feed)

// A process stops while the settings change. Its components are destroyed one by one, and a feed
// that still reports a change makes the node use destroyed components: the process crashes instead
// of exiting with 0.
BOOST_AUTO_TEST_CASE(a_stopped_feed_calls_no_hooks)
{
    telemetry::startLog();
    emulator::Platform platform;
    platform.setHost(ownIp, core::HostState::Live);
    const auto first = platform.putTeam("t", textWith(1));
    Host stopped(platform, "e1");
    Host other(platform, "e2");
    const auto bothTold = [&] {
        return stopped.inForce() == first && other.inForce() == first && stopped.hostList() != 0
            && other.hostList() != 0;
    };
    BOOST_REQUIRE(eventually(bothTold));
    stopped.feed().stop();
    const auto told = stopped.told();
    const auto list = other.hostList();
    const auto second = platform.putTeam("t", textWith(2));
    platform.setHost("127.0.0.9", core::HostState::Leaving);
    BOOST_REQUIRE(eventually([&] { return other.inForce() == second && other.hostList() > list; }));
    BOOST_TEST(stopped.told() == told);
    BOOST_TEST(stopped.inForce() == first);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace applehatch::process
