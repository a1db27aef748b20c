#include "core/router-fixture.h"

#include "../src/core/router-pools.h"

namespace {

using namespace applehatch::core;
using namespace applehatch::core::test;

struct RefusedRequest
{
    std::string what;
    std::function<void(CallerRequest &)> change;
    ErrorKind kind;
};

} // namespace

BOOST_AUTO_TEST_SUITE(router_pools)

BOOST_AUTO_TEST_CASE(requests_that_no_pool_takes_are_refused_at_once)
{
    const std::vector<RefusedRequest> rows = {
        {"team", [](auto &r) { r.terms.team = "tai"; }, ErrorKind::UnknownCustomer},
        {"customer", [](auto &r) { r.terms.customer = "west"; }, ErrorKind::UnknownCustomer},
        {"model", [](auto &r) { r.terms.model = "poet"; }, ErrorKind::UnknownModel},
        {"path", [](auto &r) { r.terms.model = {}; }, ErrorKind::UnknownPath},
        {"partial segment",
         [](auto &r) {
             r.terms.model = {};
             r.call.path = "/jobsite";
         },
         ErrorKind::UnknownPath},
        {"zero deadline", [](auto &r) { r.deadline = 0ms; }, ErrorKind::BadRequest},
        {"deadline too long", [](auto &r) { r.deadline = 600s + 1us; }, ErrorKind::BadRequest},
        {"ticket", [](auto &r) { r.ticket = "x"; }, ErrorKind::BadRequest},
    };
    for (const auto &row : rows) {
        Bench bench;
        auto request = chatRequest("r1");
        row.change(request);
        bench.feed(request);
        BOOST_TEST_CONTEXT(row.what)
        {
            BOOST_REQUIRE(bench.failures().size() == 1U);
            BOOST_TEST((bench.failures()[0].failure.kind == row.kind));
            BOOST_TEST(Bench::of<OpenLink>(bench.last).empty());
        }
    }
}

BOOST_AUTO_TEST_CASE(a_service_is_found_by_its_longest_prefix)
{
    const auto settings = makeSettings();
    const std::vector<std::pair<std::string, std::string>> rows = {
        {"/jobs", "jobs"},          {"/jobs/7?x=1", "jobs"},
        {"/jobs/urgent", "urgent"}, {"/jobs/urgent/7", "urgent"},
        {"/jobs/urgently", "jobs"}, {"/jobs?all", "jobs"},
    };
    for (const auto &[path, pool] : rows) {
        const auto found = findPool(*settings, serviceRequest("r", "GET").terms, path);
        BOOST_TEST(std::get<PoolRef>(found).pool->name == pool);
    }
}

BOOST_AUTO_TEST_CASE(keys_depend_on_each_of_their_parts)
{
    const auto pool = makePool("drafting", applehatch::settings::PoolKind::Model, 1);
    const auto other = makePool("other", applehatch::settings::PoolKind::Model, 1);
    BOOST_TEST(chatKey(pool, 0) == 0U);
    BOOST_TEST(chatKey(pool, 1) == chatKey(pool, 1));
    BOOST_TEST(chatKey(pool, 1) != chatKey(pool, 2));
    BOOST_TEST(chatKey(pool, 1) != chatKey(other, 1));

    const auto base = serviceRequest("r1", "POST");
    const auto fingerprint = [&](const std::function<void(CallerRequest &)> &change) {
        auto request = base;
        change(request);
        return fingerprintOf(request.terms, request.call);
    };
    const auto same = fingerprint([](auto &r) { r.request = "r2"; });
    BOOST_TEST(same == fingerprint([](auto & /*r*/) {}));
    for (const auto &change : std::vector<std::function<void(CallerRequest &)>>{
             [](auto &r) { r.terms.team = "tai"; }, [](auto &r) { r.terms.customer = "west"; },
             [](auto &r) { r.call.method = "PUT"; }, [](auto &r) { r.call.path = "/jobs/2"; },
             [](auto &r) { r.call.body = std::make_shared<const std::string>("other"); },
             [](auto &r) {
                 r.call.method = "POS";
                 r.call.path = "T/jobs/1";
             }})
        BOOST_TEST(fingerprint(change) != same);
}

BOOST_AUTO_TEST_SUITE_END()
