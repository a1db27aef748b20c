/// Ordinary callers of the safe and the unsafe route, and the balancer's question each second.
#pragma once

#include "client.h"
#include "gateway.h"
#include "record.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace review {

/// `timeout-ms` of the routes that ordinary callers use, and the half second of rule CONFIG.
inline constexpr Milliseconds callTimeout{600};
inline constexpr Milliseconds lateAnswer{500};

struct CallTotals
{
    std::atomic<int> sent = 0;
    std::atomic<int> answered = 0;
    std::atomic<int> unanswered = 0; ///< At their route's `timeout-ms`.
    std::atomic<int> late = 0;       ///< Of these, half a second later still.
    std::atomic<int> misses = 0;     ///< Questions that the ready address didn't answer with 200.
    std::atomic<int> missesInARow = 0;
};

/// Eight callers on kept channels, each with a call every 100 ms.
class Callers
{
public:
    Callers(const Gateway &gateway, Record &record);
    ~Callers();
    Callers(const Callers &) = delete;
    auto operator=(const Callers &) -> Callers & = delete;

    auto stop() -> void;
    /// Rule CONFIG: of the requests that are still unanswered at their route's `timeout-ms`, more
    /// than half have no answer half a second later. Fewer than eight are not judged.
    [[nodiscard]] auto isRuleBroken() const -> bool;
    [[nodiscard]] auto text() const -> std::string;

private:
    auto callOn(int number) -> void;
    auto watchReady() -> void;

    const Gateway &gateway_;
    Record &record_;
    CallTotals totals_;
    std::atomic<bool> isOver_ = false;
    std::vector<std::thread> threads_;
};

} // namespace review
