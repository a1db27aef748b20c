#include "applehatch/telemetry/logger.h"

#include "applehatch/telemetry/bounded-output.h"

#include <easylogging++.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <ctime>
#include <iostream>
#include <string>

INITIALIZE_EASYLOGGINGPP

namespace applehatch::telemetry {

namespace {

constexpr const char *loggerId = "applehatch";
constexpr auto millisecondsPerSecond = std::chrono::milliseconds(std::chrono::seconds(1)).count();

// UTC, so that lines from hosts in different time zones are comparable.
auto formatTime() -> std::string
{
    using std::chrono::milliseconds;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto sinceEpoch = std::chrono::duration_cast<milliseconds>(now).count();
    const auto seconds = static_cast<std::time_t>(sinceEpoch / millisecondsPerSecond);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, sizeof("2026-01-01T00:00:00")> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const auto fraction =
        std::to_string(millisecondsPerSecond + sinceEpoch % millisecondsPerSecond);
    return std::string(date.data()) + '.' + fraction.substr(1) + 'Z';
}

auto formatLine(std::string_view level, std::string_view text) -> std::string
{
    auto result = "time=" + formatTime() + " level=";
    result.append(level).append(" ").append(text);
    return result;
}

} // namespace

auto startLog() -> void
{
    // Never destroyed: the logging library may write until the process exits.
    static auto *const output = new BoundedOutput(STDOUT_FILENO);
    std::cout.rdbuf(output);
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::getLogger(loggerId);
    el::Loggers::reconfigureLogger(loggerId, configuration);
}

auto writeLog(LogLevel level, std::string_view text) -> void
{
    switch (level) {
    case LogLevel::Info:
        CLOG(INFO, loggerId) << formatLine("info", text);
        return;
    case LogLevel::Warning:
        CLOG(WARNING, loggerId) << formatLine("warning", text);
        return;
    case LogLevel::Error:
        CLOG(ERROR, loggerId) << formatLine("error", text);
        return;
    }
}

} // namespace applehatch::telemetry
