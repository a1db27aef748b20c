#include "applehatch/telemetry/logger.h"
#include "applehatch/telemetry/metrics.h"

#include <boost/test/unit_test.hpp>

#include <iostream>
#include <regex>
#include <sstream>

namespace applehatch::telemetry {

BOOST_AUTO_TEST_SUITE(telemetry)

BOOST_AUTO_TEST_CASE(a_log_line_has_time_and_level_and_one_line)
{
    startLog();
    std::ostringstream captured;
    auto *const console = std::cout.rdbuf(captured.rdbuf());
    writeLog(LogLevel::Info, "event=started name=a");
    writeLog(LogLevel::Error, "event=%msg");
    std::cout.rdbuf(console);
    const std::regex lines(
        R"(time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=info event=started name=a\n)"
        R"(time=[^ ]+ level=error event=%msg\n)");
    BOOST_TEST(std::regex_match(captured.str(), lines), captured.str());
}

BOOST_AUTO_TEST_CASE(a_scrape_updates_all_values)
{
    Metrics metrics;
    addProcessMetrics(metrics);
    auto &total = metrics.counter({"a_total", "help"}, {{"kind", "x"}});
    double sourceTotal = 7;
    metrics.onScrape([&] { advanceTo(total, sourceTotal); });
    BOOST_TEST(metrics.scrape().find("a_total{kind=\"x\"} 7") != std::string::npos);
    sourceTotal = 5; // A counter must never decrease: rates over it would become negative.
    const auto text = metrics.scrape();
    BOOST_TEST(text.find("a_total{kind=\"x\"} 7") != std::string::npos, text);
    for (const auto *name : {"process_cpu_seconds_total ", "process_resident_memory_bytes "})
        BOOST_TEST(text.find(name) != std::string::npos, name);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace applehatch::telemetry
