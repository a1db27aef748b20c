// A stopping gateway takes plain requests until a second before it ends, and cuts those that need
// longer than that.
#include "deployment.h"

#include <csignal>

using namespace review;

namespace {

constexpr double workTime = 1.5; // Of a booking; the route allows 4 s.
constexpr double graceTime = 8;  // grace-s
constexpr double spacing = 0.1;  // Between requests, over the whole zone.
constexpr double playTime = 22;

struct Asked
{
    std::string attempt;
    std::string gateway;
    double sentAt = 0;
    double sinceTerm = -1; ///< At that gateway, when the request was sent.
    double took = 0;
    int status = 0;
    Ended ended = Ended::Late;
};

std::mutex mutex;
std::vector<Asked> asked;
std::map<std::string, double> stoppedAt;

auto ask(Gateway &gateway) -> void
{
    Asked one;
    one.attempt = newAttempt();
    one.gateway = gateway.place().name;
    const auto connection = Connection::open(gateway.front(), 1);
    one.sentAt = seconds();
    const Request request{"POST", "/book/1", one.attempt, "key-a", 4000, "slot"};
    Message answer;
    if (connection && connection->write(request.text()))
        one.ended = readMessage(*connection, answer, 4.5);
    one.took = seconds() - one.sentAt;
    one.status = answer.status();
    const std::lock_guard lock(mutex);
    const auto stop = stoppedAt.find(one.gateway);
    if (stop != stoppedAt.end())
        one.sinceTerm = one.sentAt - stop->second;
    asked.push_back(one);
}

} // namespace

auto main(int argc, char **argv) -> int
{
    Record record(caseFolder(argc, argv) + "/record.txt");
    Hosts hosts;
    Store store(hosts.ip(100));
    Runs runs;
    std::vector<std::unique_ptr<Engine>> engines;
    for (int i = 0; i < 4; ++i) {
        engines.push_back(std::make_unique<Engine>(
            store, runs, Address{hosts.ip(50 + i), 0}, "booking-" + std::to_string(i), "booking",
            "z1", 6, [](Connection &connection, const Message &request) {
                sleepFor(workTime);
                connection.write(
                    answerHead(200, request, "Keep-Alive: timeout=5\r\nContent-Length: 6")
                    + "booked");
            }));
        engines.back()->enter();
    }
    const auto route = routeOf("book", "/book/", "unsafe", "booking", {{"slo-ms", 3000}});
    store.put(
        "op/config",
        configurationOf(10, Json::array({route}),
                        {{{"name", "booking"}, {"health-path", "/healthz"}, {"max-conns", 500}}},
                        {"key-a"}));
    const auto gateways = startGateways(hosts, store, {"z1", "z1", "z1"});
    if (gateways.empty())
        finish(2);
    Entry entry(gateways);
    sleepFor(4); // Longer than stable-window-ms, so that all are in touch.

    const auto begin = seconds();
    double nextStop = begin + 4;
    std::size_t stopped = 0;
    std::vector<std::thread> requesters;
    while (seconds() - begin < playTime) {
        // Two of three are stopped, one after the other, 1.3 s apart.
        if (!isCalm() && stopped < 2 && seconds() >= nextStop) {
            auto &gateway = *gateways[stopped];
            {
                const std::lock_guard lock(mutex);
                stoppedAt[gateway.place().name] = seconds();
            }
            record.add("SIGTERM for " + gateway.place().name);
            gateway.signal(SIGTERM);
            ++stopped;
            nextStop = seconds() + 1.3;
        }
        for (const auto &gateway : gateways) {
            const auto known = gateway->endText();
            if (!gateway->runs() && known.empty()) {
                record.add(gateway->place().name + " ended: " + gateway->endText());
                gateway->start();
            }
        }
        if (auto *gateway = entry.choose())
            requesters.emplace_back(ask, std::ref(*gateway));
        sleepFor(spacing);
    }
    for (auto &requester : requesters)
        requester.join();

    int broken = 0;
    std::map<std::string, int> counts;
    for (const auto &one : asked) {
        const auto ran = !runs.of(one.attempt).empty();
        ++counts[one.ended == Ended::Whole ? "answered " + std::to_string(one.status)
                                           : endName(one.ended)];
        // Passed on and cut, at a machine that stops, until a second after grace-s; not sent so
        // early that its engine may still be at work in the last sixth of grace-s.
        const auto isCut = one.ended == Ended::Closed || one.ended == Ended::Reset;
        const auto isLost = ran && isCut && one.sinceTerm > 3 && one.took < 3.9
            && one.sinceTerm + one.took <= graceTime + 1;
        if (isLost)
            ++broken;
        if (isCut && ran) {
            char text[200];
            std::snprintf(text, sizeof(text),
                          "%s: %s sent %.2f s after its SIGTERM, run at an engine, %s after %.2f s",
                          isLost ? "LOST" : "cut, excused", one.attempt.c_str(), one.sinceTerm,
                          endName(one.ended).c_str(), one.took);
            record.add(std::string(text) + " at " + one.gateway);
        }
    }
    for (const auto &[name, count] : counts)
        record.add(std::to_string(count) + " requests " + name);
    record.add(broken > 0 ? "LOST broken: " + std::to_string(broken) + " requests" : "LOST held");
    finish(broken > 0 ? 1 : 0);
}
