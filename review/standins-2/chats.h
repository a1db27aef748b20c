/// Streams of a resumable route through three gateways, which requesters take up again.
#pragma once

#include "engine.h"
#include "fleet.h"

#include <memory>
#include <string>
#include <vector>

namespace review {

struct ChatOptions
{
    int firstVersion = 12; ///< Engines of version v1 from the start.
    int secondVersion = 0; ///< The same of v2.
    int joining = 0;       ///< Engines of v2 that start later, `joinAfter` the kill.
    int killed = 1;        ///< Gateways that are killed; they start again 0.3 s later.
    Milliseconds joinAfter{0};
    Milliseconds away{0}; ///< From the kill until the streams are taken up.
};

/// 40 streams are read for two seconds. Then gateways are killed; without the disruption only the
/// channels of their requesters end. These take their streams up later, at other gateways, while 40
/// new streams are sent.
class Chats
{
public:
    Chats(const ChatOptions &chats, Record &record, const std::string &folder);

    /// Waits until all gateways are ready and know each other.
    auto isReady() -> bool;
    /// Plays the case; gives the exit code.
    auto run() -> int;

private:
    struct Totals
    {
        std::atomic<int> takenUp = 0;
        std::atomic<int> wentOn = 0;
        std::atomic<int> sentAnew = 0;
        std::atomic<int> begunAnew = 0;
    };

    auto startGateway(int number) -> void;
    auto addEngine(const std::string &version) -> void;
    [[nodiscard]] auto front(int number) const -> Endpoint;
    auto stream(int number) -> void;
    auto takeUp(int number, int last, Clock::time_point begun) -> bool;
    auto begin(int number) -> void;

    ChatOptions chats_;
    Record &record_;
    std::string folder_;
    Store store_;
    std::vector<std::unique_ptr<Engine>> engines_;
    std::vector<GatewayOptions> options_;
    std::vector<std::unique_ptr<Gateway>> running_;
    Totals totals_;
};

} // namespace review
